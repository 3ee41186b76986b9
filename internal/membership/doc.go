// Package membership implements how daemons know each other: who has joined,
// who has failed, who has left, and which zones cannot be reached.
//
// Machine is a deterministic state machine. It probes the members of its own
// zone as SWIM does (ping, indirect ping, suspicion, refutation) and keeps
// contact with every other zone by a slower random ping. A member is declared
// failed only by members that probe it, normally those of its own zone; of
// another zone a member knows only whether it can be reached. Changes travel
// as updates attached to the pings, and digests by zone find what was missed.
// The reasons are in docs/design/0005-membership.md.
//
// The machine does no I/O and reads no clock: Tick and Receive take the time
// and return effects. Package transport carries its messages over UDP.
package membership
