package directory_test

import (
	"testing"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// FuzzAdopt gives a machine any bytes as the state of a peer.
func FuzzAdopt(f *testing.F) {
	machine := directory.New()
	machine.Changes(0, []directory.Item{configurationItem(4, 2), endpointItem("a", 3, endpoint("s", true))}, 3)
	state := machine.State(0)
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
		adopting := directory.New()
		adopting.Adopt(0, read)
		adopting.Snapshot().All()
	})
}
