package daemon

import (
	"github.com/go-kit/kit/metrics"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/balancer"
	"github.com/vanetiller/vanetiller/internal/cluster"
	"github.com/vanetiller/vanetiller/internal/platform"
)

// reasonLabel is the label with the reason in the counter of packets that an agent
// dropped.
const reasonLabel = "reason"

func newBalancerMetrics(deps dependencies) balancer.Metrics {
	return balancer.Metrics{
		Forwarded: deps.metrics.Counter("balancer_forwarded_packets_total", "Packets sent to an agent."),
		Dropped: deps.metrics.Counter("balancer_dropped_packets_total",
			"Datagrams of the fabric that were not sent on, by reason.", balancer.ReasonLabel),
	}
}

func newBalancerGauges(deps dependencies) balancerGauges {
	return balancerGauges{
		tableVersion: deps.metrics.Gauge("table_version", "Version of the table in force."),
		unavailableRows: deps.metrics.Gauge("unavailable_rows",
			"Rows that get no new flows since their agent is down or leaving."),
		machines: deps.metrics.Gauge("platform_machines",
			"Machines that the platform lists, by role and state.", "role", "state"),
	}
}

func newAPIRequests(deps dependencies) metrics.Counter {
	return deps.metrics.Counter("api_requests_total",
		"Answers of the administration API, by operation and HTTP status.", adminapi.OperationLabel, adminapi.StatusLabel)
}

func newClusterMetrics(deps dependencies) cluster.Metrics {
	return cluster.Metrics{
		Bytes: deps.metrics.Counter("cluster_bytes_total",
			"Bytes exchanged with other balancers, headers of datagrams included.", cluster.DirectionLabel),
		Malformed:   deps.metrics.Counter("cluster_malformed_total", "Messages of other balancers that could not be read."),
		Members:     deps.metrics.Gauge("cluster_members", "Balancers of the fleet, by state.", cluster.StateLabel),
		HeldVersion: deps.metrics.Gauge("cluster_held_version", "Newest version of the table that is held."),
	}
}

const serviceLabel = "service"

// pollerMetrics holds the metrics that the pollers of the configuration and the
// machines service share.
type pollerMetrics struct {
	polls    metrics.Counter
	revision metrics.Gauge
}

func newPollerMetrics(deps dependencies) pollerMetrics {
	return pollerMetrics{
		polls: deps.metrics.Counter("platform_polls_total",
			"Requests to the platform, by service and outcome.", serviceLabel, platform.OutcomeLabel),
		revision: deps.metrics.Gauge("platform_revision",
			"Newest revision received from the platform, by service.", serviceLabel),
	}
}

func (p pollerMetrics) forService(service string) platform.PollerMetrics {
	return platform.PollerMetrics{
		Polls:    p.polls.With(serviceLabel, service),
		Revision: p.revision.With(serviceLabel, service),
	}
}

func newAgentMetrics(deps dependencies) agent.Metrics {
	return agent.Metrics{
		DroppedPackets: deps.metrics.Counter("agent_dropped_packets_total",
			"Packets that were discarded, by reason.", reasonLabel),
		ForwardedPackets: deps.metrics.Counter("agent_forwarded_packets_total", "Packets passed along to other agents."),
		DeliveredPackets: deps.metrics.Counter("agent_delivered_packets_total", "Packets given to the local transport stack."),
		MessagesSent:     deps.metrics.Counter("agent_messages_sent_total", "Messages sent to other agents."),
		RefusedFlows:     deps.metrics.Counter("agent_refused_flows_total", "Flows refused before their handshake completed."),
		OpenFlows:        deps.metrics.Gauge("agent_open_flows", "Open flows."),
	}
}
