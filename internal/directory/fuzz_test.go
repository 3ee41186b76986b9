package directory_test

import (
	"testing"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// FuzzAdopt gives a machine any bytes as the state of a peer.
func FuzzAdopt(f *testing.F) {
	machine := directory.NewReplica()
	machine.ApplyChanges(0, []directory.Item{configurationItem(4, 2), endpointItem("a", 3, endpoint("s", true)), zoneItem(closedZone, 3, true)}, 3)
	state := machine.FullState(0)
	encoded, err := state.MarshalMsg(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		var read directory.State
		if _, err := read.UnmarshalMsg(data); err != nil {
			return
		}
		adopting := directory.NewReplica()
		adopting.ApplyState(0, read)
		adopting.Snapshot().All()
	})
}

// FuzzUpdate gives a balancer any bytes as an update of another.
func FuzzUpdate(f *testing.F) {
	teller := newParticipant(directory.Member{Peer: 1})
	teller.list(0, 5, announcing(2, 3)...)
	teller.spread.StateSent(0, 2)
	teller.machine.ApplyChanges(0, []directory.Item{zoneItem(closedZone, 6, true)}, 6)
	question := directory.Update{RequestsChanges: true, Confirmation: true, RequestID: 3, State: teller.spread.Summary(0)}
	for _, outgoing := range append(teller.spread.StoreAnswered(0), directory.Outgoing{Update: question}) {
		encoded, err := outgoing.Update.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var read directory.Update
		if _, err := read.UnmarshalMsg(data); err != nil {
			return
		}
		told := newParticipant(directory.Member{Peer: 2})
		told.list(0, 3)
		for _, peer := range []directory.Peer{1, 1, 3} {
			_, _, answers := told.spread.Receive(0, peer, read)
			for _, answer := range answers {
				encoded, err := answer.Update.MarshalMsg(nil)
				if err != nil || len(encoded) > directory.MaxUpdateSize {
					t.Fatalf("an answer of %d bytes: %v", len(encoded), err)
				}
			}
		}
		if age := told.spread.ConfirmedAt(); age > 0 {
			t.Fatalf("confirmed in the future: %s", age)
		}
	})
}
