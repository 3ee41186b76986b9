// Package changelog implements the replicated state machine of the
// configuration table: it applies the committed changes, in order, to the
// table and remembers the outcome of each.
//
// State is deterministic: two processes that apply the same changes from the
// same snapshot hold equal states with equal encodings. A change is taken as
// a whole or not at all.
package changelog
