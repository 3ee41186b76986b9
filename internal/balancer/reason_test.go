package balancer

import (
	"testing"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
)

// TestEveryOutcomeHasAReason guards against a new outcome of a step that is not
// mapped to a reason, which would panic in the balancer.
func TestEveryOutcomeHasAReason(t *testing.T) {
	checkReasons(t, "encap", reasonOfEncap[:], len(encap.Outcomes()))
	checkReasons(t, "packet", reasonOfPacket[:], len(packet.Outcomes()))
	checkReasons(t, "lookup", reasonOfRoute[:], len(lookup.Outcomes()))
}

func checkReasons(t *testing.T, step string, reasons []Reason, outcomes int) {
	t.Helper()
	if len(reasons) != outcomes {
		t.Fatalf("%s: %d reasons for %d outcomes", step, len(reasons), outcomes)
	}
	for outcome, reason := range reasons {
		if (reason == Forwarded) != (outcome == 0) {
			t.Errorf("%s: outcome %d is counted as reason %s", step, outcome, reason)
		}
	}
}
