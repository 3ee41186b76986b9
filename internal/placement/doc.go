// Package placement chooses the endpoint that gets a new flow.
//
// The chooser of an endpoint is a balancer. It passes what it has recorded about each
// candidate: the slots of the endpoint, the flows that the balancer itself has placed there,
// the load that the endpoint's agent reported, its relative speed and its zone. The package
// returns the candidate with the shortest expected time to an answer. It also provides the
// estimators behind these inputs: the processing time of an endpoint and the slots that flows
// of other balancers occupy.
//
// Many balancers feed the same endpoints, and each of them sees only a few of the requests
// that an endpoint works on. Endpoints differ in speed, demand changes within seconds and
// differs between zones, and some requests take several times as long as others.
//
// The package is deterministic: the caller passes the time and the source of randomness.
package placement
