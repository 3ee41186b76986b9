// Package dissemination implements how a new version of the table reaches
// every daemon, and how any daemon finds out which members have it in force.
//
// Machine is a deterministic state machine. A new version is pushed to a few
// members of each region, zone and the own zone, which push it on; the versions
// held travel with the pings of package membership, and whoever is behind pulls
// what it misses from a peer, nearby if possible. A survey asks one member of
// every zone, which asks its zone. The reasons are in
// docs/design/0006-dissemination.md.
//
// Versions are consecutive: a delta leads from one version to the next. The
// machine never goes back to a lower version. It does no I/O and reads no
// clock.
package dissemination
