package daemon

import (
	"github.com/go-kit/kit/metrics"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/balancer"
	"github.com/vanetiller/vanetiller/internal/cluster"
	"github.com/vanetiller/vanetiller/internal/platform"
)

// reasonLabel is the label of the agent's dropped packets.
const reasonLabel = "reason"

func newBalancerMetrics(shared parts) balancer.Metrics {
	return balancer.Metrics{
		Forwarded: shared.metrics.Counter("balancer_forwarded_packets_total", "Packets sent to an agent."),
		Dropped: shared.metrics.Counter("balancer_dropped_packets_total",
			"Datagrams of the fabric that were not sent on, by reason.", balancer.ReasonLabel),
	}
}

func newBalancerGauges(shared parts) balancerGauges {
	return balancerGauges{
		tableVersion: shared.metrics.Gauge("table_version", "Version of the table in force."),
		unavailableRows: shared.metrics.Gauge("unavailable_rows",
			"Rows that get no new flows since their agent is down or leaving."),
		machines: shared.metrics.Gauge("platform_machines",
			"Machines that the platform lists, by role and state.", "role", "state"),
	}
}

func newAPIRequests(shared parts) metrics.Counter {
	return shared.metrics.Counter("api_requests_total",
		"Answers of the administration API, by operation and HTTP status.", adminapi.OperationLabel, adminapi.StatusLabel)
}

func newClusterMetrics(shared parts) cluster.Metrics {
	return cluster.Metrics{
		Bytes: shared.metrics.Counter("cluster_bytes_total",
			"Bytes exchanged with other balancers, headers of datagrams included.", cluster.DirectionLabel),
		Malformed:   shared.metrics.Counter("cluster_malformed_total", "Messages of other balancers that could not be read."),
		Members:     shared.metrics.Gauge("cluster_members", "Balancers of the fleet, by state.", cluster.StateLabel),
		HeldVersion: shared.metrics.Gauge("cluster_held_version", "Newest version of the table that is held."),
	}
}

const serviceLabel = "service"

// pollerMetrics are shared by the pollers of both services of the platform.
type pollerMetrics struct {
	polls    metrics.Counter
	revision metrics.Gauge
}

func newPollerMetrics(shared parts) pollerMetrics {
	return pollerMetrics{
		polls: shared.metrics.Counter("platform_polls_total",
			"Requests to the platform, by service and outcome.", serviceLabel, platform.OutcomeLabel),
		revision: shared.metrics.Gauge("platform_revision",
			"Newest revision received from the platform, by service.", serviceLabel),
	}
}

func (p pollerMetrics) of(service string) platform.PollerMetrics {
	return platform.PollerMetrics{
		Polls:    p.polls.With(serviceLabel, service),
		Revision: p.revision.With(serviceLabel, service),
	}
}

func newAgentMetrics(shared parts) agent.Metrics {
	return agent.Metrics{
		DroppedPackets: shared.metrics.Counter("agent_dropped_packets_total",
			"Packets that were discarded, by reason.", reasonLabel),
		ForwardedPackets: shared.metrics.Counter("agent_forwarded_packets_total", "Packets passed along to other agents."),
		DeliveredPackets: shared.metrics.Counter("agent_delivered_packets_total", "Packets given to the local transport stack."),
		MessagesSent:     shared.metrics.Counter("agent_messages_sent_total", "Messages sent to other agents."),
		RefusedFlows:     shared.metrics.Counter("agent_refused_flows_total", "Flows refused before their handshake completed."),
		OpenFlows:        shared.metrics.Gauge("agent_open_flows", "Open flows."),
	}
}
