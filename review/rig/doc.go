//go:build review

// Command review-rig runs the cases of the review. Each case starts real processes of
// vanetiller-relay on loopback addresses, with stand-ins for clients, endpoints, routers and the
// platform's store, and judges only what those stand-ins see.
package main
