// Package relay decides where the packets of client connections go in a load balancer that forwards
// whole packets. It has two parts. A Balancer receives the packets of clients and chooses an
// endpoint for each new flow. An Agent runs beside each endpoint, tracks the flows that its
// endpoint holds, and limits the requests that the endpoint works on at a time. A flow is one
// connection of a client to the address of a service; its opening packet is the first that the
// client sends. The input of both parts is packets, messages of each other, snapshots of the
// directory of endpoints, and the time.
//
// The agent of the endpoint that holds a flow is the owner of the flow. Balancers only cache
// owners: a balancer may restart, and the network may move a flow to another balancer at any
// packet. A balancer without a record of a flow asks the agents for its owner, as in Beamer
// (Olteanu et al., "Stateless Datacenter Load-balancing with Beamer", NSDI 2018). An opening packet
// may be offered to several endpoints; the client's first acknowledgment names the one that has the
// flow.
//
// Balancer and Agent are deterministic state machines: they return effects, which the caller
// carries out. They have no clock, no I/O and no goroutine.
package relay
