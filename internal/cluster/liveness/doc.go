// Package liveness lets the daemons of a fleet share which agents run, so that an agent
// needs to report to only one or two daemons. From the claims of all reachable daemons, it
// decides for its daemon which condition each agent has.
//
// Each daemon claims a condition for every agent that reports to it. Changed claims are
// pushed to a few members of each region, of each zone of the own region and of the own
// zone, which push them on. Digests per zone, and then per daemon, detect claims that were
// missed. An agent is alive if any reachable daemon claims so. The reasons are in
// docs/design/0008-cluster-wiring.md.
//
// Machine is a deterministic state machine: it does no I/O and reads no clock.
package liveness
