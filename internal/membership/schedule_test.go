// This file checks random schedules of faults. Once the faults have ended, the view of
// every member must become correct within a limit of virtual time.

package membership_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/virtualnet"
)

const scheduleLimit = 3 * time.Minute

// TestRandomSchedules checks that once the faults have ended no running member remains
// declared failed, and no stopped one remains declared alive.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if wrong := runRandomSchedule(t, nil); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

func runRandomSchedule(t *rapid.T, mutate func(*process, []membership.Effect) []membership.Effect) string {
	cluster := newFleet(rapid.Uint64().Draw(t, "seed"), layout{members: 14, zones: 3, zonesInRegion: 2},
		virtualnet.Config{Loss: 0.02, Duplication: 0.02, Jitter: 5 * time.Millisecond})
	cluster.seedCount = len(cluster.addresses)
	cluster.mutate = mutate
	cluster.startAll(time.Second, 20*time.Second)
	for range rapid.IntRange(1, 10).Draw(t, "faults") {
		injectFault(t, cluster)
		cluster.network.Run(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
	}
	endFaults(cluster)
	_, wrong := cluster.runUntilAgreed(scheduleLimit)
	return wrong
}

func injectFault(t *rapid.T, cluster *fleet) {
	address := rapid.SampledFrom(cluster.addresses).Draw(t, "address")
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		if len(cluster.processes) > 2 {
			cluster.kill(address)
		}
	case 1:
		cluster.kill(address)
		cluster.start(address)
	case 2:
		cluster.network.Pause(virtualnet.NodeID(address))
	case 3:
		cluster.network.Resume(virtualnet.NodeID(address))
	case 4:
		zone := cluster.zoneAt(address)
		cluster.partitionZones(func(candidate membership.Zone) bool { return candidate == zone })
	case 5:
		cluster.network.SetPartition(func(from, to virtualnet.NodeID) bool {
			return (from < virtualnet.NodeID(address)) != (to < virtualnet.NodeID(address))
		})
	case 6:
		cluster.network.SetPartition(nil)
	case 7:
		cluster.network.SetLoss(rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"))
	}
}

func endFaults(cluster *fleet) {
	cluster.network.SetPartition(nil)
	cluster.network.SetLoss(0.02)
	for _, address := range cluster.addresses {
		cluster.network.Resume(virtualnet.NodeID(address))
	}
}

// TestRandomSchedulesDetectInjectedFaults checks that the check above can fail: some random
// schedule must detect each fault that is injected into the machine.
func TestRandomSchedulesDetectInjectedFaults(t *testing.T) {
	faults := map[string]func(*process, []membership.Effect) []membership.Effect{
		"refutations are not sent":      withoutRefutations,
		"failures are not gossiped":     withoutFailures,
		"failed members are not pinged": withoutReconnects,
	}
	for name, mutate := range faults {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 0; seed < 40 && !found; seed++ {
				generated := rapid.Custom(func(t *rapid.T) bool { return runRandomSchedule(t, mutate) != "" })
				found = generated.Example(seed)
			}
			if !found {
				t.Error("no schedule of 40 detected the injected fault")
			}
		})
	}
}

func withoutRefutations(_ *process, effects []membership.Effect) []membership.Effect {
	for index := range effects {
		effects[index].Message.Sender.Refutations = 0
		for number := range effects[index].Message.Updates {
			effects[index].Message.Updates[number].Refutations = 0
		}
	}
	return effects
}

func withoutFailures(_ *process, effects []membership.Effect) []membership.Effect {
	for index := range effects {
		var kept []membership.Update
		for _, update := range effects[index].Message.Updates {
			if update.State != membership.StateFailed {
				kept = append(kept, update)
			}
		}
		effects[index].Message.Updates = kept
	}
	return effects
}

func withoutReconnects(sender *process, effects []membership.Effect) []membership.Effect {
	var kept []membership.Effect
	for _, effect := range effects {
		known, exists := sender.machine.Member(effect.To)
		lost := !exists || known.State == membership.StateFailed
		if effect.Kind == membership.EffectSend && lost && effect.Message.Kind == membership.KindPing {
			continue
		}
		kept = append(kept, effect)
	}
	return kept
}
