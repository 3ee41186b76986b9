// This file implements measurements and the ways to take them.

package slopes

import (
	"context"
	"math"
	"runtime"
	"time"

	"github.com/pkg/errors"
)

// Measurement is one cost at several sizes of its driver.
type Measurement struct {
	// Name identifies the measurement in tables.
	Name string `json:"name"`
	// Cost says what was measured, with its unit.
	Cost string `json:"cost"`
	// Driver says what the sizes count.
	Driver string  `json:"driver"`
	Points []Point `json:"points"`
	// Fit is nil for costs that stop growing or do not grow with the driver.
	Fit *Fit `json:"fit,omitempty"`
}

// Largest returns the largest value of all sizes.
func (m Measurement) Largest() float64 {
	var largest float64
	for _, point := range m.Points {
		largest = max(largest, point.Value)
	}
	return largest
}

// experiment measures one cost.
type experiment struct {
	name   string
	cost   string
	driver string
	sizes  []int
	// measure returns the cost at a size.
	measure func(ctx context.Context, size int) (float64, error)
}

func (e experiment) run(ctx context.Context) (Measurement, error) {
	measured := Measurement{Name: e.name, Cost: e.cost, Driver: e.driver}
	for _, size := range e.sizes {
		if err := ctx.Err(); err != nil {
			return Measurement{}, errors.Wrap(err, e.name)
		}
		value, err := e.measure(ctx, size)
		if err != nil {
			return Measurement{}, errors.Wrap(err, e.name)
		}
		measured.Points = append(measured.Points, Point{float64(size), value})
	}
	return measured, nil
}

// exactly turns a measurement that cannot fail into one of an experiment.
func exactly(measure func(size int) float64) func(context.Context, int) (float64, error) {
	return func(_ context.Context, size int) (float64, error) { return measure(size), nil }
}

// heapOf returns the bytes of the heap that what build returns keeps reachable.
// What build uses must be kept alive by the caller, or its end would count as
// well.
func heapOf(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	// The second collection frees what the first one had finalized.
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}

const (
	// leastRounds and mostRounds bound how often a time is measured, and
	// longestMeasuring for how long once there are enough rounds. The shortest
	// round counts, since other work on the machine can only lengthen it; short
	// rounds are more likely to be left alone.
	leastRounds      = 7
	mostRounds       = 60
	roundLength      = 4 * time.Millisecond
	longestMeasuring = time.Second
)

// nanoseconds returns the time of one operation. The operation is called with
// successive numbers.
func nanoseconds(operation func(number int)) float64 {
	count := calibrate(operation)
	number := count
	shortest := time.Duration(math.MaxInt64)
	began := time.Now()
	for round := range mostRounds {
		if round >= leastRounds && time.Since(began) > longestMeasuring {
			break
		}
		roundBegan := time.Now()
		for range count {
			operation(number)
			number++
		}
		shortest = min(shortest, time.Since(roundBegan))
	}
	return float64(shortest) / float64(count)
}

// calibrate returns how many operations take about the length of a round.
func calibrate(operation func(number int)) int {
	count := 0
	began := time.Now()
	for time.Since(began) < roundLength {
		operation(count)
		count++
	}
	return count
}
