package relay_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/vanetiller/vanetiller/bench/relay"
)

// BenchmarkCompare reports the balancer beside the bare relay. Run it with -benchtime 1x,
// because one iteration is a whole comparison of about half a minute.
func BenchmarkCompare(b *testing.B) {
	conditions := []struct{ sockets, agents, payload int }{
		{sockets: 1, agents: 4, payload: 1000},
		{sockets: 1, agents: 32, payload: 1000},
		{sockets: 1, agents: 256, payload: 1000},
		{sockets: 1, agents: 4, payload: 100},
		{sockets: 2, agents: 4, payload: 1000},
		{sockets: 4, agents: 4, payload: 1000},
	}
	for _, condition := range conditions {
		options := relay.DefaultOptions()
		options.Sockets = condition.sockets
		options.Senders = 2 * condition.sockets
		options.Sinks = condition.agents
		options.Payload = condition.payload
		name := fmt.Sprintf("sockets=%d/agents=%d/payload=%d", condition.sockets, condition.agents, condition.payload)
		b.Run(name, func(b *testing.B) { benchmarkCompare(b, options) })
	}
}

func benchmarkCompare(b *testing.B, options relay.Options) {
	for b.Loop() {
		report, err := relay.Compare(context.Background(), options)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(report.RelativeRate(), "relative-rate")
		reportMeasurement(b, "bare", report.Bare)
		reportMeasurement(b, "balancer", report.Balancer)
	}
}

func reportMeasurement(b *testing.B, name string, measurement relay.Measurement) {
	b.ReportMetric(measurement.PacketsPerSecond, name+"-packets/s")
	b.ReportMetric(measurement.ReceivedShare, name+"-received")
	b.ReportMetric(float64(measurement.DelayP50.Microseconds()), name+"-p50-us")
	b.ReportMetric(float64(measurement.DelayP99.Microseconds()), name+"-p99-us")
	b.Logf("%s: rounds of %.0f packets/s, %d delays", name, measurement.RoundRates, measurement.DelaySamples)
}
