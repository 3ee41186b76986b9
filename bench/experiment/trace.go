// This file writes the list of flows that failed or opened slowly, next to the logs of the
// daemons.

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
	// Backends names the back ends that received a request of the flow.
	Backends []string `json:"backends"`
	// Started and Ended are in seconds since the start of the run, as in the progress lines.
	Started float64 `json:"started_s"`
	Ended   float64 `json:"ended_s"`
	// HandshakeTime is in seconds.
	HandshakeTime float64 `json:"opening_s"`
}

const (
	traceName     = "flows.jsonl"
	traceFileMode = 0o600
	// slowHandshake is the duration from which a handshake is listed. It corresponds to one
	// retransmission of the first packet.
	slowHandshake = 900 * time.Millisecond
)

// writeTrace writes the flows that did not complete or opened slowly to a file.
func (c *Cluster) writeTrace(results []caller.Result) error {
	path := filepath.Join(c.fleet.Directory(), traceName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, traceFileMode)
	if err != nil {
		return errors.Wrap(err, "write the list of flows")
	}
	encoder := json.NewEncoder(file)
	for _, result := range results {
		if result.Outcome == caller.OutcomeCompleted && result.HandshakeTime < slowHandshake {
			continue
		}
		if err := encoder.Encode(c.flowRecord(result)); err != nil {
			file.Close()
			return errors.Wrap(err, "write the list of flows")
		}
	}
	return errors.Wrap(file.Close(), "write the list of flows")
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
		Accepted:      c.acceptances.acceptingBackends(result.Caller, result.Started, result.Ended),
		Backends:      c.recorder.BackendsOf(result.Plan.ID),
		Started:       result.Started.Sub(c.started).Seconds(),
		Ended:         result.Ended.Sub(c.started).Seconds(),
		HandshakeTime: result.HandshakeTime.Seconds(),
	}
}
