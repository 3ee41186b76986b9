// Package liveness implements how daemons tell each other which agents run, so
// that an agent needs to report to one or two daemons only.
//
// Each daemon claims a condition for every agent that reports to it. Changes
// are pushed to a few members of each region, zone and the own zone, which push
// them on; digests by zone, and then by daemon, find what was missed. An agent
// runs if any reachable daemon claims so. The reasons are in
// docs/design/0008-cluster-wiring.md.
//
// Machine is deterministic: it does no I/O and reads no clock.
package liveness
