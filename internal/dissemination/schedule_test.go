// This file checks random schedules of faults and changes: no daemon returns to an older
// version, and all reach the newest one after the faults have ended.

package dissemination_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/virtualnet"
)

const scheduleLimit = 3 * time.Minute

func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if wrong := runRandomSchedule(t, nil); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

func runRandomSchedule(t *rapid.T, mutate func(*dissemination.Message)) string {
	cluster := newFleet(rapid.Uint64().Draw(t, "seed"), 12, 3, 2,
		virtualnet.Config{Loss: 0.05, Duplication: 0.05, Jitter: 20 * time.Millisecond})
	cluster.mutate = mutate
	cluster.startAll(time.Second, 15*time.Second)
	for range rapid.IntRange(1, 12).Draw(t, "events") {
		injectEvent(t, cluster)
		cluster.network.Run(time.Duration(rapid.IntRange(0, 15000).Draw(t, "milliseconds")) * time.Millisecond)
	}
	cluster.network.SetPartition(nil)
	cluster.network.SetLoss(0.05)
	for _, address := range cluster.addresses {
		cluster.network.Resume(virtualnet.NodeID(address))
	}
	_, behind := cluster.runUntilApplied(cluster.newest(), scheduleLimit)
	if len(cluster.violations) > 0 {
		return cluster.violations[0]
	}
	if len(behind) > 0 {
		return behind[0].String() + " has not applied the newest version"
	}
	return ""
}

func injectEvent(t *rapid.T, cluster *fleet) {
	address := rapid.SampledFrom(cluster.addresses).Draw(t, "address")
	_, runs := cluster.daemons[address]
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		if len(cluster.daemons) > 2 {
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
		zone := cluster.zoneOf(address)
		cluster.network.SetPartition(func(from, to virtualnet.NodeID) bool {
			return (cluster.zoneOf(membership.Address(from)) == zone) != (cluster.zoneOf(membership.Address(to)) == zone)
		})
	case 5:
		cluster.network.SetPartition(nil)
	default:
		if runs {
			cluster.publish(address)
		}
	}
}

// TestRandomSchedulesDetectInjectedFaults checks that the check above can fail: some random
// schedule must detect each fault that is injected into the messages.
func TestRandomSchedulesDetectInjectedFaults(t *testing.T) {
	faults := map[string]func(*dissemination.Message){
		"pulls are not answered": func(message *dissemination.Message) {
			if message.Kind == dissemination.KindDeltas || message.Kind == dissemination.KindFetchRequired {
				message.Kind = dissemination.KindStatus
				message.Deltas = nil
			}
		},
		"a delta has the version number of its predecessor": func(message *dissemination.Message) {
			if len(message.Deltas) > 1 {
				message.Deltas = slices.Clone(message.Deltas[1:])
				message.Deltas[0].Version--
			}
		},
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
