// Package requestqueue decides which of the requests that wait for an endpoint gets its next
// free slot.
//
// The load that it answers: more requests than slots; a backlog of requests that are late
// already beside fresh ones, as after a loss of power; kinds of requests whose priority,
// latency objective and timeout differ. It matters little which request goes first while
// there is room; under this load it decides who is served in time, who late and who not at
// all.
//
// Everything in it is deterministic: requests and times come in, a choice comes out. Times
// are measured from a start of the caller's.
package requestqueue
