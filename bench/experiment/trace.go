// This file implements the list of noteworthy flows that a run leaves beside
// the logs of the daemons.

package experiment

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/caller"
)

// FlowRecord is one line of the list.
type FlowRecord struct {
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Kind    caller.Kind    `json:"kind"`
	Outcome caller.Outcome `json:"outcome"`
	Cause   caller.Cause   `json:"cause,omitempty"`
	Detail  string         `json:"detail,omitempty"`
	// Caller is the address of the caller, if the flow was established.
	Caller netip.AddrPort `json:"caller"`
	// Accepted names the back ends whose agents accepted the connection.
	Accepted []string `json:"accepted"`
	// Backends have seen a request of the flow.
	Backends []string `json:"backends"`
	// Started and Ended are seconds since the start of the run, as in the
	// progress lines.
	Started float64 `json:"started_s"`
	Ended   float64 `json:"ended_s"`
	// HandshakeTime is the time of the handshake in seconds.
	HandshakeTime float64 `json:"opening_s"`
}

const (
	traceName     = "flows.jsonl"
	traceFileMode = 0o600
	// slowOpening is the time of a handshake from which it is noteworthy: one
	// retransmission of the first packet.
	slowOpening = 900 * time.Millisecond
)

// writeTrace lists the flows that did not complete or opened slowly.
func (c *Cluster) writeTrace(results []caller.Result) error {
	path := filepath.Join(c.fleet.Directory(), traceName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, traceFileMode)
	if err != nil {
		return errors.Wrap(err, "list of flows")
	}
	encoder := json.NewEncoder(file)
	for _, result := range results {
		if result.Outcome == caller.OutcomeCompleted && result.HandshakeTime < slowOpening {
			continue
		}
		if err := encoder.Encode(c.flowRecord(result)); err != nil {
			file.Close()
			return errors.Wrap(err, "list of flows")
		}
	}
	return errors.Wrap(file.Close(), "list of flows")
}

func (c *Cluster) flowRecord(result caller.Result) FlowRecord {
	return FlowRecord{
		ID:            result.Plan.ID,
		Service:       result.Plan.Service.Name,
		Kind:          result.Plan.Kind,
		Outcome:       result.Outcome,
		Cause:         result.Cause,
		Detail:        result.Detail,
		Caller:        result.Caller,
		Accepted:      c.openings.acceptors(result.Caller, result.Started, result.Ended),
		Backends:      c.ledger.BackendsOf(result.Plan.ID),
		Started:       result.Started.Sub(c.started).Seconds(),
		Ended:         result.Ended.Sub(c.started).Seconds(),
		HandshakeTime: result.HandshakeTime.Seconds(),
	}
}
