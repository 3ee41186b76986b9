// Package membership maintains, in each daemon of a fleet, the list of the running daemons.
// From the messages of the others and the time, it decides which daemons have joined,
// failed or left, and which zones are reachable. Its callers use the result to choose
// peers.
//
// Machine is a deterministic state machine. It probes the members of its own zone as SWIM
// does (ping, indirect ping, suspicion, refutation) and pings a random member of each other
// zone at a lower rate. Only members that probe a member declare it failed, normally those
// of its zone. Members of other zones only record whether the whole zone is reachable.
// Changes are attached to pings as updates. Digests per zone detect updates that were
// missed. The reasons are in docs/design/0005-membership.md.
//
// Machine does no I/O and reads no clock: Tick and Receive take the time and return
// effects. Package transport sends and receives its messages over UDP.
package membership
