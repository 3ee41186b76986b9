// Package requestqueue decides which of the requests that wait for an endpoint gets its next
// free slot.
//
// An agent passes the waiting requests with their priority, start time, latency objective and
// timeout, together with the capacity of the endpoint. A Scheduler returns the request that
// is served next and the reason.
//
// The choice matters only under overload, when there are more requests than slots, for
// example after a power loss, when requests that are already late wait beside fresh ones.
// Requests then differ in priority, latency objective and timeout, and the choice decides which
// of them are answered in time, late or not at all.
//
// The package is deterministic: the caller passes the time, and all times count from one
// start that the caller chooses.
package requestqueue
