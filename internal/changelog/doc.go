// Package changelog implements the replicated state machine that applies changes
// to the configuration table of services and back ends. Its input is the sequence
// of changes that a log has committed. For each change it decides whether the change
// is accepted, and it records the outcome and the history for the administration
// API.
//
// State is deterministic: processes that apply the same changes to the same
// snapshot have equal states with equal encodings. The text of refusals is part
// of the state. A change is applied completely or not at all.
package changelog
