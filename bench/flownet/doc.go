// Package flownet plays the balancers and agents of package relay in virtual
// time against stand-ins for everything around them: clients that open flows,
// endpoints that hold them, a fabric that hashes packets over the ready
// balancers, and a store with the configuration and the endpoints' entries.
//
// A run is determined by its seed. A ledger sees what clients and endpoints see
// and counts broken promises. The deciding parts are those of the daemons;
// packets have the encoding of package segmenttest.
package flownet
