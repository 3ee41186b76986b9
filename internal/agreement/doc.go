// Package agreement implements the replicated log of table changes for a
// fleet in which no machine has a disk.
//
// The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", USENIX ATC 2014) with pre-vote, learners, leader
// leases and membership changes of one voter at a time, by joint consensus
// where one takes another's place (Ongaro, "Consensus: Bridging Theory and
// Practice", 2014, chapters 4, 6 and 9). In place of stable storage, a process that restarts
// is never its former self: it has a new ProcessID, holds no vote and counts
// in no quorum until a configuration that contains the new identity has been
// committed. A vote or an acknowledgement can therefore not be forgotten
// while it counts.
//
// The voters are of two roles. Replicas receive frequent heartbeats and stand
// for election soon after the leader falls silent. Witnesses hold the same
// log, vote and acknowledge, but hear heartbeats rarely and stand for election
// late, so that a log whose replicas are all gone still continues. An entry is
// committed when a majority of all voters holds it. If a majority of the voters
// is lost at once, the log is formed anew from what all daemons hold.
//
// Machine is deterministic: it is given messages, proposals, membership and
// the time, and returns effects. It has no clock, no I/O and no goroutine.
package agreement
