package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanetiller/vanetiller/internal/platform"
	"github.com/vanetiller/vanetiller/internal/table"
)

// The size of the table at the scale that the product targets.
const (
	targetServices       = 1500
	targetRowsPerService = 8
)

func targetConfiguration(b *testing.B) []byte {
	var target table.Table
	target.Version = 1
	for service := range targetServices {
		target.Services = append(target.Services, table.Service{
			ID:       table.ServiceID(service + 1),
			Name:     fmt.Sprintf("service-%d", service),
			Address:  table.Endpoint(fmt.Sprintf("198.18.%d.%d:443", service/250, service%250+1)),
			Protocol: table.ProtocolTCP,
			Owner:    fmt.Sprintf("team-%d", service%40),
		})
		for row := range targetRowsPerService {
			number := service*targetRowsPerService + row
			target.Backends = append(target.Backends, table.Backend{
				ID:          table.BackendID(number + 1),
				Service:     table.ServiceID(service + 1),
				Name:        fmt.Sprintf("service-%d-%d", service, row),
				Incarnation: 1,
				Agent:       table.Endpoint(fmt.Sprintf("10.%d.%d.%d:6081", number/62500, number/250%250, number%250+1)),
				Weight:      10, ConnectionLimit: 2000,
			})
		}
	}
	encoded, err := json.Marshal(map[string]any{"revision": 7, "table": &target})
	if err != nil {
		b.Fatal(err)
	}
	return encoded
}

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return countingConn{accepted, l.bytes}, err
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.bytes.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.bytes.Add(int64(count))
	return count, err
}

// BenchmarkUnchangedPoll measures a poll of an unchanged configuration at the target size, from
// a platform with entity tags and from one without. The time includes the server's work.
func BenchmarkUnchangedPoll(b *testing.B) {
	body := targetConfiguration(b)
	for _, tag := range []string{"", `"7"`} {
		name := "tagged"
		if tag == "" {
			name = "untagged"
		}
		b.Run(name, func(b *testing.B) { benchmarkPoll(b, body, tag) })
	}
}

func benchmarkPoll(b *testing.B, body []byte, tag string) {
	var bytesMoved atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if tag != "" {
			writer.Header().Set("ETag", tag)
		}
		http.ServeContent(writer, request, "configuration.json", time.Time{}, bytes.NewReader(body))
	}))
	server.Listener = countingListener{server.Listener, &bytesMoved}
	server.Start()
	defer server.Close()
	client, err := platform.NewClient(platform.ClientConfig{ConfigurationURL: server.URL, MachinesURL: server.URL, Timeout: longTimeout})
	if err != nil {
		b.Fatal(err)
	}
	poll := func() {
		if _, err := client.Configuration(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	poll()
	bytesMoved.Store(0)
	for b.Loop() {
		poll()
	}
	b.ReportMetric(float64(bytesMoved.Load())/float64(b.N), "wire-B/op")
}
