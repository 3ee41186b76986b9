package agreement_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// benchSeed is the seed of the measured clusters.
const benchSeed = 7

func votersOnly(voters int) shape {
	return shape{machines: voters, zones: voters, replicas: voters, seed: benchSeed}
}

// setWeight is a change of one cell of row 1, another one for each number.
func setWeight(number uint32) *changelog.Change {
	weight := number % table.MaxWeight
	return &changelog.Change{
		ID: changelog.ChangeID(fmt.Sprintf("weight-%d", number)), Base: 1, Who: "operator", Why: "test",
		Cells: []changelog.CellUpdate{{Backend: 1, Weight: &weight}},
	}
}

func formed(b *testing.B, of shape) *cluster {
	b.Helper()
	c := newCluster(of)
	if !c.waitFormed(10 * time.Minute) {
		b.Fatalf("%s: not formed", c)
	}
	c.advance(10 * time.Second)
	return c
}

// BenchmarkChange measures the work of all voters together for one change, and
// the bytes of all messages, encoding included. Time is virtual; the changes
// come one per virtual second, so that the idle work of a second is included.
func BenchmarkChange(b *testing.B) {
	for _, voters := range []int{3, 5, 11, 33} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			c := formed(b, votersOnly(voters))
			idle, _ := c.idleTraffic()
			c.accept(addRow(1), time.Second)
			c.sentBytes = 0
			changes := uint32(0)
			for b.Loop() {
				changes++
				if !c.accept(setWeight(changes), time.Second) {
					b.Fatal("change not accepted")
				}
				c.advance(time.Second)
			}
			b.ReportMetric(float64(c.sentBytes)/float64(changes)-idle, "bytes/change")
		})
	}
}

// idleTraffic returns the bytes and the number of all messages in a second
// without changes.
func (c *cluster) idleTraffic() (bytes, messages float64) {
	const seconds = 60
	c.sentBytes, c.sentCount = 0, 0
	c.advance(seconds * time.Second)
	return float64(c.sentBytes) / seconds, float64(c.sentCount) / seconds
}

// BenchmarkIdleSecond measures the work and the bytes of all voters together
// in one virtual second without changes.
func BenchmarkIdleSecond(b *testing.B) {
	shapes := []shape{votersOnly(3), votersOnly(5), defaultShape, {machines: 66, zones: 11, replicas: 5, witnesses: 28, seed: benchSeed}}
	for _, of := range shapes {
		b.Run(fmt.Sprintf("replicas=%d/witnesses=%d", of.replicas, of.witnesses), func(b *testing.B) {
			c := formed(b, of)
			bytes, messages := c.idleTraffic()
			for b.Loop() {
				c.advance(time.Second)
			}
			b.ReportMetric(bytes, "bytes/idle-s")
			b.ReportMetric(messages, "messages/idle-s")
		})
	}
}

// BenchmarkEntryMemory measures the memory of one entry in one process.
func BenchmarkEntryMemory(b *testing.B) {
	const entries = 20_000
	encoded, err := addRow(1).MarshalMsg(nil)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		parameters := agreement.DefaultParameters(agreement.ProcessID{Machine: 1, Start: 1}, "a")
		parameters.MinimumVoters, parameters.MinimumZones = 1, 1
		machine := agreement.New(0, parameters)
		machine.Found(0, nil)
		before := heapBytes()
		for number := range entries {
			machine.Propose(0, agreement.ProposalID(fmt.Sprintf("row-%d", number)), slices.Clone(encoded))
		}
		used := heapBytes() - before
		b.ReportMetric(float64(used)/entries, "bytes/entry")
		b.ReportMetric(float64(len(encoded)), "payload-bytes")
		runtime.KeepAlive(machine)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}

// BenchmarkRecovery measures, in virtual time over many seeds, how long no
// change is taken after processes are restarted.
func BenchmarkRecovery(b *testing.B) {
	const seeds = 100
	cases := []struct {
		name string
		loss float64
		lost func(*cluster) []agreement.ProcessID
		form bool
	}{
		{"leader", 0, leaderOf, false},
		{"leader/loss=5%", 0.05, leaderOf, false},
		{"leader/loss=20%", 0.2, leaderOf, false},
		{"replicas", 0, replicasOf, false},
		{"replicas/loss=5%", 0.05, replicasOf, false},
		{"replicas/loss=20%", 0.2, replicasOf, false},
		{"voters", 0, votersOf, true},
		{"voters/loss=5%", 0.05, votersOf, true},
	}
	for _, measured := range cases {
		b.Run(measured.name, func(b *testing.B) {
			var times []time.Duration
			for b.Loop() {
				times = nil
				for seed := range uint64(seeds) {
					times = append(times, recovery(b, seed, measured.loss, measured.form, measured.lost))
				}
			}
			slices.Sort(times)
			b.ReportMetric(times[seeds/2].Seconds(), "median-s")
			b.ReportMetric(times[seeds*9/10].Seconds(), "p90-s")
			b.ReportMetric(times[seeds-1].Seconds(), "worst-s")
		})
	}
}

func leaderOf(c *cluster) []agreement.ProcessID { return []agreement.ProcessID{c.leader().id} }

func replicasOf(c *cluster) []agreement.ProcessID {
	var replicas []agreement.ProcessID
	for _, member := range c.leader().machine.Voters().Members {
		if member.Role == agreement.RoleReplica {
			replicas = append(replicas, member.ID)
		}
	}
	return replicas
}

func votersOf(c *cluster) []agreement.ProcessID {
	var voters []agreement.ProcessID
	for _, member := range c.leader().machine.Voters().Voters() {
		voters = append(voters, member.ID)
	}
	return voters
}

func recovery(b *testing.B, seed uint64, loss float64, form bool, lost func(*cluster) []agreement.ProcessID) time.Duration {
	b.Helper()
	of := defaultShape
	of.seed = seed
	of.disseminated = form
	c := formed(b, of)
	c.advance(time.Duration(seed) * 137 * time.Millisecond)
	c.loss = loss
	for _, id := range lost(c) {
		c.restart(int(id.Machine - 1))
	}
	start := c.now
	if !c.accept(addRow(1), time.Hour) {
		b.Fatalf("%s: takes no change", c)
	}
	if len(c.checker.violations) > 0 {
		b.Fatalf("%s: %v", c, c.checker.violations)
	}
	return c.now - start
}
