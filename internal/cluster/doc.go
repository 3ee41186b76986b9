// Package cluster connects a daemon with the other daemons of its fleet. From their
// messages and the time it finds out which daemons run (package membership), which version
// of the table each has applied (dissemination) and which agents run (liveness). It gives
// the daemon the newest table, the conditions of agents that report to other daemons, and
// the data that the administration API shows.
//
// The table belongs to the configuration service, which every daemon polls. A daemon that
// is behind, for instance because it cannot reach the service, fetches the table from
// another daemon. The daemons run no consensus protocol, and what they hold is lost when
// they stop.
//
// Node gives the three state machines the clock and one network address, and leaves all
// decisions to them. Messages are UDP datagrams; tables are sent over TCP connections to
// the same address. The reasons are in docs/design/0008-cluster-wiring.md.
package cluster
