// Package cluster joins the state machines by which daemons know each other
// and share one table to one address and the clock: membership finds the other
// daemons, agreement decides on changes of the table among the voters, and
// dissemination brings each version to all.
//
// Node drives them and decides nothing that they could decide. Small messages
// travel as UDP datagrams; a message that does not fit in one, and a table,
// over a TCP connection to the same address. The reasons are in
// docs/design/0008-cluster-wiring.md.
package cluster
