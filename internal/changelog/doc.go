// Package changelog implements the replicated state machine that applies changes
// to the configuration table of services and back ends. Its input is a log
// of committed changes. It accepts or rejects each change, and records the outcome and
// the history for the administration API.
//
// State is deterministic: two processes that start from the same snapshot and apply
// the same changes in the same order reach equal states with equal encodings. The
// outcome of a rejected change contains a Refusal, whose text is part of the state
// and of its encoding. A change is applied completely or not at all.
package changelog
