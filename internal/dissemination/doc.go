// Package dissemination distributes new versions of the table to every daemon of a fleet
// and finds out which daemons have applied a version. From the live members, the messages
// of other daemons and the time, it decides which daemons to push a version to, to pull it
// from, and to ask whether they have applied it. Its callers apply the versions and send
// the messages.
//
// Machine is a deterministic state machine. It pushes a new version to a few members of
// each region, of each zone of its region and of its own zone, which push it on. The pings
// of package membership carry the version that each member holds. A member that is behind
// pulls the missing versions from another one, a nearby one if possible. A survey asks one
// member of every zone, which asks the members of its zone. The reasons are in
// docs/design/0006-dissemination.md.
//
// Versions are consecutive: a delta leads from one version to the next. The machine never
// returns to a lower version. It does no I/O and reads no clock.
package dissemination
