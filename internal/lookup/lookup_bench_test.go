package lookup_test

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	benchmarkServices = 1500
	benchmarkRows     = 8
	benchmarkSeed     = 20
)

// randomFlows returns flows to random services of a configuration.
func randomFlows(configuration *table.Table, count int) []packet.Flow {
	random := rand.New(rand.NewPCG(benchmarkSeed, 0))
	flows := make([]packet.Flow, count)
	for i := range flows {
		service := configuration.Services[random.IntN(len(configuration.Services))]
		flows[i] = packet.Flow{
			Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(random.Uint32()), 1}), uint16(random.Uint32())),
			Destination: service.Address.AddrPort(),
			Protocol:    service.Protocol,
		}
	}
	return flows
}

// BenchmarkRoute looks up random flows to all services, so that most lookups miss the
// first levels of the processor cache.
func BenchmarkRoute(b *testing.B) {
	configuration := exampleTable(benchmarkServices, benchmarkRows)
	built := lookup.Build(configuration, lookup.AllAlive)
	const flowCount = 1 << 16
	flows := randomFlows(configuration, flowCount)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, outcome := built.Route(flows[i%flowCount]); outcome != lookup.Routed {
			b.Fatal(outcome)
		}
	}
}

func BenchmarkBuild(b *testing.B) {
	configuration := exampleTable(benchmarkServices, benchmarkRows)
	heap := heapOfBuild(configuration)
	for b.Loop() {
		lookup.Build(configuration, lookup.AllAlive)
	}
	b.ReportMetric(heap/benchmarkServices, "heap-B/service")
}

// BenchmarkRebuildOneService changes the weight of one row before each rebuild.
func BenchmarkRebuildOneService(b *testing.B) {
	configuration := exampleTable(benchmarkServices, benchmarkRows)
	built := lookup.Build(configuration, lookup.AllAlive)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		configuration.Backends[i%len(configuration.Backends)].Weight = uint32(50 + i%100)
		built = lookup.Rebuild(built, configuration, lookup.AllAlive)
	}
}

// heapOfBuild returns the number of bytes that are reachable after a build.
func heapOfBuild(configuration *table.Table) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := lookup.Build(configuration, lookup.AllAlive)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
