// Package admission implements the decision, made beside a back end, which
// flows that back end owns.
//
// Balancers keep no flow state, so the packets of one flow may arrive here
// from any balancer, chosen with any table version. The machine of the row
// that a packet is addressed to either delivers it to its own flow, passes it
// along to the row that owns the flow, or, for a flow it does not know, asks
// the rows that could own it. This is the daisy chaining of Beamer (Olteanu
// et al., "Stateless Datacenter Load-balancing with Beamer", NSDI 2018) with
// one difference: the previous holders are asked once for each flow and the
// answer is kept, so any number of table changes can lie in between.
//
// A new flow is opened by the primary of its hash slot, or by the row that the
// primary hands it to (the power of two choices: Mitzenmacher, IEEE TPDS
// 2001). A row that answers that it does not know a flow promises not to open
// it on its own, so that a flow opens on one row only, whichever versions the
// balancers use. A row opens flows only while it holds a lease; a row that
// does not answer is waited for until its lease must have ended.
//
// Machine is deterministic: it is given packets, messages and the time, and
// returns effects. It has no clock, no I/O and no goroutine.
package admission
