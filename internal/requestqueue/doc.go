// Package requestqueue decides which of the requests that wait for an endpoint gets its next
// free slot.
//
// It is made for the load under which that matters: more requests than slots; requests that
// are late already beside fresh ones, as after a loss of power; kinds of requests whose
// priority, latency objective and timeout differ. The order then decides which requests are
// answered in time, which late and which not at all. While slots are free it plays no part.
//
// The package is deterministic: requests, the time and the capacity come in, a choice comes
// out. All times count from one start, which the caller chooses.
package requestqueue
