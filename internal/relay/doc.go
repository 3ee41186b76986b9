// Package relay implements the two deciding parts of a deployment in which the
// packets of a flow are carried whole: the balancer, which receives clients'
// packets and chooses an endpoint for each new flow, and the agent beside each
// endpoint, which knows the flows that its endpoint holds.
//
// Balancers may be restarted, and the fabric may move a flow from one balancer
// to another at any packet. A balancer that does not know a flow asks the
// agents for its owner, as packets travel in Beamer (Olteanu et al.,
// "Stateless Datacenter Load-balancing with Beamer", NSDI 2018). An opening
// packet may be offered to several endpoints; the client's first
// acknowledgement names the one that has the flow.
//
// Balancer and Agent are deterministic: they are given packets, messages and
// the time, and return effects. They have no clock, no I/O and no goroutine.
package relay
