package relay_test

import (
	"context"
	"testing"

	"github.com/vanetiller/vanetiller/bench/relay"
)

// BenchmarkCompare reports the balancer beside the bare relay. Run it with
// -benchtime 1x: one iteration is a whole comparison.
func BenchmarkCompare(b *testing.B) {
	for _, sockets := range []int{1, 2, 4} {
		options := relay.DefaultOptions()
		options.Sockets = sockets
		options.Senders = 2 * sockets
		b.Run("sockets="+string(rune('0'+sockets)), func(b *testing.B) {
			for b.Loop() {
				report, err := relay.Compare(context.Background(), options)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(report.Bare.PacketsPerSecond, "bare-packets/s")
				b.ReportMetric(report.Balancer.PacketsPerSecond, "balancer-packets/s")
				b.ReportMetric(report.RelativeRate(), "relative-rate")
				b.ReportMetric(report.Balancer.Received, "balancer-received")
				b.ReportMetric(report.Bare.Received, "bare-received")
				b.ReportMetric(float64(report.Bare.DelayP50.Microseconds()), "bare-p50-us")
				b.ReportMetric(float64(report.Bare.DelayP99.Microseconds()), "bare-p99-us")
				b.ReportMetric(float64(report.Balancer.DelayP50.Microseconds()), "balancer-p50-us")
				b.ReportMetric(float64(report.Balancer.DelayP99.Microseconds()), "balancer-p99-us")
				b.Log(report.Bare.Rounds, report.Balancer.Rounds)
			}
		})
	}
}
