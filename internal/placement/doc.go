// Package placement chooses the endpoint of a new flow.
//
// The load that it answers: many balancers feed the same endpoints, and each knows few of
// the requests that these work on. Endpoints differ in speed, the demand on them swings
// within seconds and between zones, and single requests take several times as long as
// others.
//
// The package is deterministic: what is known of each candidate goes in, a choice comes
// out, and the caller passes the randomness.
package placement
