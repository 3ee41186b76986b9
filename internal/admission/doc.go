// Package admission decides, for one row of the routing table, which flows of
// the service belong to the back end of that row. The agent beside the back end
// runs one Machine for each row that it serves. It passes the callers' packets,
// the messages of other rows, the current table and lease renewals to the
// machine, and carries out the effects that the machine returns: deliver a
// packet locally, forward it to another row, send a message, answer with a
// reset, or drop the packet.
//
// Balancers keep no flow state. The packets of one flow may therefore arrive
// through any balancer, which may have used any table version. A machine
// delivers packets of its own flows and forwards packets of flows whose owner
// it has recorded. For a packet of an unknown flow it queries the rows that
// could own the flow. This is the daisy chaining of Beamer (Olteanu et al.,
// "Stateless Datacenter Load-balancing with Beamer", NSDI 2018) with one
// difference: a row queries the possible owners once for each flow and keeps
// the answer, so the number of table changes since the flow was opened is not
// limited.
//
// The primary row of a flow's hash slot opens a new flow, or hands it over to a
// less loaded row (the power of two choices: Mitzenmacher, IEEE TPDS 2001). A
// row that answers a query with "unknown" promises not to open the flow on its
// own. A flow therefore opens on one row only, whichever table versions the
// balancers use. A row opens flows only while it holds a lease. If a row does
// not answer, the querying row waits until that row's lease must have ended.
//
// Machine is deterministic: packets, messages and the time are its only input.
// It has no clock, no I/O and no goroutine.
package admission
