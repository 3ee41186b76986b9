package encap_test

import (
	"testing"

	"github.com/vanetiller/vanetiller/internal/encap"
)

func BenchmarkDecodePlain(b *testing.B) {
	benchmarkDecode(b, encap.NewEncoder().AppendPlain(nil, make([]byte, 1000)))
}

// BenchmarkDecodeRouted measures the cost of the routing option for an agent.
func BenchmarkDecodeRouted(b *testing.B) {
	benchmarkDecode(b, encap.NewEncoder().AppendRouted(nil, 9, sampleRouting, make([]byte, 1000)))
}

func benchmarkDecode(b *testing.B, data []byte) {
	decoder := encap.NewDecoder()
	var datagram encap.Datagram
	b.ReportAllocs()
	for b.Loop() {
		if outcome := decoder.DecodeInto(data, &datagram); outcome != encap.Decoded {
			b.Fatal(outcome)
		}
	}
}
