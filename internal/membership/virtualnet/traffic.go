// This file implements the byte counts of a node.

package virtualnet

import "time"

// peakWindow is the length in seconds of the window of Traffic.Peak.
const peakWindow = 10

// Traffic counts the bytes that a node sent and received, headers included,
// for each second of virtual time.
type Traffic struct{ seconds []int }

func (t *Traffic) add(now time.Duration, bytes int) {
	second := int(now / time.Second)
	for len(t.seconds) <= second {
		t.seconds = append(t.seconds, 0)
	}
	t.seconds[second] += bytes
}

// Mean returns the average bytes a second over the whole seconds from begin to end.
func (t *Traffic) Mean(begin, end time.Duration) float64 {
	total := 0
	first, last := int(begin/time.Second), int(end/time.Second)
	for second := first; second < last; second++ {
		total += t.at(second)
	}
	return float64(total) / float64(max(last-first, 1))
}

// Peak returns the bytes a second in the busiest ten seconds from begin to end.
func (t *Traffic) Peak(begin, end time.Duration) float64 {
	peak, window := 0, 0
	first, last := int(begin/time.Second), int(end/time.Second)
	for second := first; second < last; second++ {
		window += t.at(second)
		if second >= first+peakWindow {
			window -= t.at(second - peakWindow)
		}
		peak = max(peak, window)
	}
	return float64(peak) / peakWindow
}

func (t *Traffic) at(second int) int {
	if second < 0 || second >= len(t.seconds) {
		return 0
	}
	return t.seconds[second]
}
