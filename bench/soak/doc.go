// Package soak tests the guarantees that vanetiller-relay gives to its users while faults are
// injected. It runs real processes on loopback addresses and takes a seed, a duration and a
// number of faults. It reports how many requests were served and how often each guarantee was
// violated.
//
// The faults come from outside the processes. Signals kill, pause and stop them. A proxy
// delays, resets, blocks in one direction or stalls their connections to the store. The store
// refuses and throttles requests, does not answer, or compacts its history. Simulated clients,
// routers and endpoints of different speeds carry flows meanwhile, at times as many as the
// endpoints can serve. A checker detects violations from what the clients and endpoints
// observe.
//
// The schedule of faults depends only on the seed. The timing of packets and processes does
// not, so a failure may need several runs to reproduce. Storage and the system clock are not
// disturbed: the processes use no storage, and they use the time of day only to number their
// incarnations. Datagrams between daemons do not pass a proxy and are not disturbed.
package soak
