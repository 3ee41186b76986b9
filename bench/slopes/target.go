// This file implements the sizes that the design must carry.

package slopes

// The fleet of the capacity target.
const (
	targetDaemons  = 1100
	targetAgents   = 12_000
	targetServices = 1500
	// targetOpenFlows and targetNewFlows, the latter per second, are those of
	// the whole fleet.
	targetOpenFlows = 17_000_000
	targetNewFlows  = 77_000
	// targetChanges, targetRestarts and targetFailures are a day's.
	targetChanges  = 1500
	targetRestarts = 1800
	targetFailures = 22

	secondsPerDay = 86_400
)

// The most that a daemon may spend on control.
const (
	goalProcessor = 0.028 // of one core
	goalMemory    = 32 << 20
	goalBytes     = 3 << 10 // a second
)

// Settings of the product that the computation uses.
const (
	// daemonsPerAgent is the number of daemons an agent must report to, so
	// that the loss of one does not end its lease.
	daemonsPerAgent = 2
	// heartbeatInterval is the longest interval of package control, in
	// seconds.
	heartbeatInterval = 1
	// looksPerSecond is how often the control server looks for agents that are
	// down, besides once for each heartbeat.
	looksPerSecond = 10
	// pollsPerSecond follows from the default poll interval of package
	// settings.
	pollsPerSecond = 2
	// closedSeconds and remoteSeconds are how long package admission remembers
	// an ended flow and the owner of another row's flow.
	closedSeconds = 60
	remoteSeconds = 600
	// rememberedViews is how many views a machine keeps.
	rememberedViews = 17
)

const (
	agentsPerDaemon  = float64(targetAgents) * daemonsPerAgent / targetDaemons
	openPerAgent     = float64(targetOpenFlows) / targetAgents
	newPerAgent      = float64(targetNewFlows) / targetAgents
	flowSeconds      = float64(targetOpenFlows) / targetNewFlows
	changesPerSecond = float64(targetChanges) / secondsPerDay
	// livenessChanges are how often a second a row goes down or comes back.
	livenessChanges = 2 * float64(targetRestarts+targetFailures) / secondsPerDay
)
