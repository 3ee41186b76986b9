// Package outlier judges endpoints by what becomes of what they are given, with no probe of
// its own (passive health checking, or outlier detection, as in Envoy; failure accrual, as
// in Finagle).
//
// A Detector beside the endpoint sees every outcome and decides whether the endpoint shall
// get new flows; a Panel at a balancer compares the endpoints of a service and overrules
// detectors where the service rather than single endpoints is at fault. Both are
// deterministic: times come in, measured from a start of the caller's, and nothing is
// called.
//
// Without it 35 endpoints of which 12 had crashed left half of all requests unserved for
// four seconds, since an endpoint that returns every flow at once looks idle; and one in
// five that answered every request with an error went on getting its share (60 emulated
// machines).
package outlier
