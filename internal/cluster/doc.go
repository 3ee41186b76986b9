// Package cluster joins the state machines by which daemons know each other to
// one address and the clock: membership finds the other daemons, dissemination
// tells who has which version of the table, and liveness which agents run.
//
// The table itself is the configuration service's, which every daemon polls; one
// that is behind, as when it cannot reach the service, fetches the table from
// another. Nothing is agreed on among daemons: what they hold ends with them.
//
// Node drives the machines and decides nothing that they could decide. Messages
// travel as UDP datagrams, and a table over a TCP connection to the same address.
// The reasons are in docs/design/0008-cluster-wiring.md.
package cluster
