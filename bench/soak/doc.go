// Package soak runs real processes of vanetiller-relay on loopback addresses under a
// seeded schedule of faults that come from outside them: signals that kill, pause and
// stop them, a proxy that delays, resets, cuts one way or silences their connections
// to the store, and a store that refuses, throttles, is silent and forgets. Stand-ins
// of clients, endpoints of unlike speed and routers carry flows meanwhile, at times as
// many as the endpoints can serve, and a ledger checks what users are promised, from what
// these see.
//
// The schedule depends on the seed alone; the times at which packets and processes
// run do not, so that a fault may need several runs to show again. The processes use
// no storage, and of the time of day only the numbers of their incarnations, so that
// neither is disturbed. Datagrams between daemons go straight and are not disturbed.
package soak
