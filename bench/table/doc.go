// Package table is the experiment that changes one table through the daemons of
// a cluster while daemons are killed and paused, and checks that every change
// that was answered as accepted stays in force everywhere.
//
// Daemons are real processes on loopback addresses of their own; operators use
// the administration API over TLS.
package table
