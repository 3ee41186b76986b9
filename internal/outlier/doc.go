// Package outlier decides from the outcomes of real traffic whether an endpoint gets new
// flows. It sends no probes of its own (passive health checking, or outlier detection, as in
// Envoy; failure accrual, as in Finagle).
//
// A Detector runs in the agent beside the endpoint. It sees every outcome, ejects the
// endpoint when too many are bad, and readmits it by single trial flows. A ServiceHealth in a
// balancer compares the endpoints of a service by the reports of their detectors. It overrides
// ejections where the service, rather than single endpoints, is at fault.
//
// Both are deterministic: the caller passes the time, measured from a start of its choice.
//
// In an emulation of 60 machines without outlier detection, 12 of 35 endpoints crashed. Half
// of all requests were then not served for four seconds, since an endpoint that returns every
// flow at once looks idle. Where one in five endpoints answered every request with an error,
// these kept their share of the requests.
package outlier
