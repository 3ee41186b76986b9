// This file implements the computation of the cost at the capacity target from
// measured slopes.

package slopes

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Line is one cost of one role at the target.
type Line struct {
	Role string
	// Quantity names the cost, Formula tells how it follows from measurements,
	// which it names in italics.
	Quantity string
	Formula  string
	Value    float64
	Unit     string
	// Goal is the largest allowed value; zero means that there is none.
	Goal float64
}

// Met reports whether the value keeps the goal, if there is one.
func (l Line) Met() bool { return l.Goal == 0 || l.Value <= l.Goal }

// calculator looks up measurements and notes the first that is missing.
type calculator struct {
	report Report
	err    error
}

// at returns the fitted cost at a size.
func (c *calculator) at(name string, size float64) float64 {
	fitted := c.fit(name)
	return fitted.At(size)
}

func (c *calculator) slope(name string) float64 { return c.fit(name).Slope }

func (c *calculator) fit(name string) Fit {
	measured, exists := c.report.Measurement(name)
	if !exists || measured.Fit == nil {
		if c.err == nil {
			c.err = errors.Errorf("measurement %q is missing", name)
		}
		return Fit{}
	}
	return *measured.Fit
}

func (c *calculator) largest(name string) float64 {
	measured, exists := c.report.Measurement(name)
	if !exists && c.err == nil {
		c.err = errors.Errorf("measurement %q is missing", name)
	}
	return measured.Largest()
}

// Capacity returns the costs at the target. It fails if a measurement is
// missing.
func (r Report) Capacity() ([]Line, error) {
	calculate := &calculator{report: r}
	var lines []Line
	lines = append(lines, balancerLines(calculate)...)
	lines = append(lines, registryLines(calculate)...)
	lines = append(lines, daemonLines(calculate)...)
	lines = append(lines, configurationLines(calculate)...)
	lines = append(lines, agentLines(calculate)...)
	lines = append(lines, replicaLines(calculate)...)
	return lines, calculate.err
}

// Units of lines.
const (
	unitBytes       = "bytes"
	unitBytesSecond = "bytes/s"
	unitCore        = "% of a core"
	unitNanoseconds = "ns"
	unitMilli       = "ms"
)

const (
	percentPerNanosecond = 100e-9
	milliPerNanosecond   = 1e-6
)

func balancerLines(c *calculator) []Line {
	const role = "balancer"
	return []Line{
		{role, "lookup tables", "2 × _lookup service_ at 1,500 (the old one lives while the new one is built)",
			2 * c.at("lookup service", targetServices), unitBytes, goalMemory},
		{role, "packet", "_balancer packet_ at 1,500 services", c.at("balancer packet", targetServices), unitNanoseconds, 0},
		{role, "lookup table at the start", "_lookup build_ at 12,000 rows",
			c.at("lookup build", targetAgents) * milliPerNanosecond, unitMilli, 0},
		{role, "lookup table after a change", "_lookup rebuild_ at 12,000 rows",
			c.at("lookup rebuild", targetAgents) * milliPerNanosecond, unitMilli, 0},
		{role, "processor for changes", "(changes + rows going down and up) × _lookup rebuild_",
			(changesPerSecond + livenessChanges) * c.at("lookup rebuild", targetAgents) * percentPerNanosecond, unitCore, goalProcessor * 100},
	}
}

func registryLines(c *calculator) []Line {
	const role = "registry of agents"
	heartbeats := agentsPerDaemon / heartbeatInterval
	unheard := float64(rowsPerService - 1)
	return []Line{
		{role, "heartbeats and grants, all rows heard", "21.8 agents × _heartbeat and grant_ at 0 / 1 s",
			heartbeats * c.at("heartbeat and grant", 0), unitBytesSecond, goalBytes},
		{role, "heartbeats and grants, rows of other daemons unheard", "21.8 agents × _heartbeat and grant_ at 7 / 1 s",
			heartbeats * c.at("heartbeat and grant", unheard), unitBytesSecond, goalBytes},
		{role, "table slices, mean", "1,500 changes a day × 21.8 agents × _table slice_ at 8",
			changesPerSecond * agentsPerDaemon * c.at("table slice", rowsPerService), unitBytesSecond, goalBytes},
		{role, "table slices, worst 10 s", "one change × 21.8 agents × _table slice_ at 8 / 10 s",
			agentsPerDaemon * c.at("table slice", rowsPerService) / 10, unitBytesSecond, goalBytes},
		{role, "state", "_registry row_ at 12,000 + 2 × _table row_ at 12,000",
			c.at("registry row", targetAgents) + 2*c.at("table row", targetAgents), unitBytes, goalMemory},
		{role, "processor for heartbeats", "21.8 a second × _heartbeat_ at 12,000 rows",
			heartbeats * c.at("heartbeat", targetAgents) * percentPerNanosecond, unitCore, goalProcessor * 100},
		{role, "processor for liveness", "10 a second × _liveness look_ at 12,000 rows",
			looksPerSecond * c.at("liveness look", targetAgents) * percentPerNanosecond, unitCore, goalProcessor * 100},
		{role, "heartbeats if every daemon must hear every agent", "12,000 agents × _heartbeat and grant_ at 0 / 1 s",
			targetAgents * c.at("heartbeat and grant", 0), unitBytesSecond, goalBytes},
		{role, "processor if every daemon must hear every agent", "12,000 a second × _heartbeat_ at 12,000 rows",
			targetAgents * c.at("heartbeat", targetAgents) * percentPerNanosecond, unitCore, goalProcessor * 100},
	}
}

// daemonLines sum up what one daemon spends.
func daemonLines(c *calculator) []Line {
	const role = "daemon, without what daemons tell each other"
	unheard := float64(rowsPerService - 1)
	heartbeats := agentsPerDaemon / heartbeatInterval
	traffic := heartbeats*c.at("heartbeat and grant", unheard) +
		changesPerSecond*agentsPerDaemon*c.at("table slice", rowsPerService)
	processor := heartbeats*c.at("heartbeat", targetAgents) +
		looksPerSecond*c.at("liveness look", targetAgents) +
		(changesPerSecond+livenessChanges)*c.at("lookup rebuild", targetAgents) +
		changesPerSecond*c.at("registry publish", targetAgents)
	memory := 2*c.at("lookup service", targetServices) + 2*c.at("table row", targetAgents) +
		c.at("registry row", targetAgents)
	return []Line{
		{role, "traffic", "heartbeats and grants with unheard rows + table slices, mean", traffic, unitBytesSecond, goalBytes},
		{role, "processor", "heartbeats + liveness + lookup tables + _registry publish_ for each change",
			processor * percentPerNanosecond, unitCore, goalProcessor * 100},
		{role, "memory", "lookup tables + state of the registry", memory, unitBytes, goalMemory},
	}
}

func configurationLines(c *calculator) []Line {
	const role = "table from the platform"
	return []Line{
		{role, "polling, if the service ignores conditional requests", "2 polls a second × _platform answer_ at 12,000 rows",
			pollsPerSecond * c.at("platform answer", targetAgents), unitBytesSecond, goalBytes},
		{role, "processor for polling, if the service ignores conditional requests", "2 polls a second × _table parse_ at 12,000 rows",
			pollsPerSecond * c.at("table parse", targetAgents) * percentPerNanosecond, unitCore, goalProcessor * 100},
		{role, "one change of the platform's configuration, to one daemon, over 10 s", "_platform answer_ at 12,000 rows / 10 s",
			c.at("platform answer", targetAgents) / 10, unitBytesSecond, goalBytes},
		{role, "one change of the platform's configuration, parsed", "_table parse_ at 12,000 rows",
			c.at("table parse", targetAgents) * milliPerNanosecond, unitMilli, 0},
	}
}

func agentLines(c *calculator) []Line {
	const role = "agent"
	remembered := openPerAgent + newPerAgent*closedSeconds + newPerAgent*(flowSeconds+remoteSeconds)
	return []Line{
		{role, "open flows", "1,417 × _open flow_", openPerAgent * c.slope("open flow"), unitBytes, 0},
		{role, "flows remembered, at most", "(1,417 open + 385 ended in 60 s + 5,267 handed over, if all are) × _open flow_",
			remembered * c.slope("open flow"), unitBytes, 0},
		{role, "views", "17 × _view row_ at 8", rememberedViews * c.at("view row", rowsPerService), unitBytes, 0},
		{role, "flood, answered", "ceiling of _flood_", c.largest("flood"), unitBytes, 0},
		{role, "flood, unanswered", "ceiling of _flood unanswered_", c.largest("flood unanswered"), unitBytes, 0},
		{role, "queries and replies", "6.4 flows a second × 2 (sent and received) × _question bytes_ at 8",
			newPerAgent * 2 * c.at("question bytes", rowsPerService), unitBytesSecond, 0},
		{role, "processor for new flows", "6.4 a second × _new flow_ at 8", newPerAgent * c.at("new flow", rowsPerService) * percentPerNanosecond, unitCore, 0},
		{role, "known packet", "_known packet_ at 1,417 flows", c.at("known packet", openPerAgent), unitNanoseconds, 0},
		{role, "forwarded packet", "_forwarded packet_ at 5,267 flows", c.at("forwarded packet", newPerAgent*(flowSeconds+remoteSeconds)), unitNanoseconds, 0},
	}
}

func replicaLines(c *calculator) []Line {
	const role = "table replica"
	const historyLimit = 2000
	return []Line{
		{role, "state", "_replica state_ at 12,000 + _replica history_ at 2,000",
			c.at("replica state", targetAgents) + c.at("replica history", historyLimit), unitBytes, goalMemory},
		{role, "snapshot", "_snapshot_ at 12,000", c.at("snapshot", targetAgents), unitBytes, 0},
		{role, "processor for changes", "1,500 a day × _change applied_ at 12,000",
			changesPerSecond * c.at("change applied", targetAgents) * percentPerNanosecond, unitCore, goalProcessor * 100},
		{role, "one change to one other replica, mean", "1,500 a day × _change_ at 1", changesPerSecond * c.at("change", 1), unitBytesSecond, goalBytes},
		{role, "one import of the platform's revision to one other replica, over 10 s", "_import_ at 12,000 / 10 s",
			c.at("import", targetAgents) / 10, unitBytesSecond, goalBytes},
		{role, "one import applied", "_import applied_ at 12,000", c.at("import applied", targetAgents) * milliPerNanosecond, unitMilli, 0},
	}
}

// CapacityMarkdown returns the lines as a table.
func CapacityMarkdown(lines []Line) string {
	var text strings.Builder
	text.WriteString("| role | cost | formula | at the target | goal | |\n|---|---|---|---:|---:|---|\n")
	for _, line := range lines {
		goal, verdict := "", ""
		if line.Goal > 0 {
			goal = figure(line.Goal) + " " + line.Unit
			verdict = "met"
		}
		if !line.Met() {
			verdict = fmt.Sprintf("**not met**, %s times the goal", figure(line.Value/line.Goal))
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %s %s | %s | %s |\n",
			line.Role, line.Quantity, line.Formula, figure(line.Value), line.Unit, goal, verdict)
	}
	return text.String()
}
