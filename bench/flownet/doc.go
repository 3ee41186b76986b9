// Package flownet simulates a load-balanced fleet in virtual time and checks that
// it keeps its guarantees. Its input is a scenario (zones, services, request
// classes), a seed and a schedule of random events, such as crashes, drains and
// store outages. Its output is a report of served requests and violated guarantees.
//
// The simulation runs the balancer and agent logic of package relay unchanged.
// Clients, endpoints, the fabric that hashes packets over the ready balancers, and
// the store of the configuration and the endpoints' entries are simulated. Packets
// use the encoding of package segmenttest. The same options give the same run.
//
// The checker observes what clients and endpoints observe and counts each violation.
package flownet
