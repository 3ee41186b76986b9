package flownet

import (
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// Service describes one service of a scenario.
type Service struct {
	Name      string
	Endpoints int
	Slots     int
	// QueueLimit is how many requests an endpoint queues beyond those in its slots.
	QueueLimit int
}

// RequestClass describes the requests of one route.
type RequestClass struct {
	Name    string
	Service string
	Address segment.Address
	// RequestsPerSecond is the total rate of all zones.
	RequestsPerSecond float64
	// MeanServiceTime is the mean time for which an endpoint processes a request.
	MeanServiceTime time.Duration
	// RequestPackets is the number of packets of a request; 0 means one. The client sends
	// them in order and waits for PacketInterval after each acknowledgment.
	RequestPackets int
	PacketInterval time.Duration
	// ResponsePackets is the number of packets of a response.
	ResponsePackets int
	// TargetLatency is the latency objective. Timeout is the time after which the client
	// gives up.
	TargetLatency time.Duration
	Timeout       time.Duration
	// Retryable is set if clients retry a request after any failure.
	Retryable bool
	Priority  uint8
}

// Scenario describes a fleet and its traffic.
type Scenario struct {
	Name           string
	Zones          []string
	InterZoneDelay time.Duration
	Balancers      int
	Services       []Service
	Classes        []RequestClass
}

func routeAddress(number byte) segment.Address {
	return segment.Address{IP: [4]byte{198, 51, 100, number}, Port: 443}
}

// Scenarios returns the scenarios that are modelled on the deployments of users.
func Scenarios() []Scenario { return []Scenario{casablanca(), kolkata(), sahel()} }

// ScenarioByName returns the scenario of the given name: one of Scenarios, or "large". It
// returns an error if there is none.
func ScenarioByName(name string) (Scenario, error) {
	for _, shape := range append(Scenarios(), large()) {
		if shape.Name == name {
			return shape, nil
		}
	}
	return Scenario{}, errors.Errorf("unknown shape %q", name)
}

func casablanca() Scenario {
	return Scenario{
		Name:           "casablanca",
		Zones:          []string{"casablanca-1", "casablanca-2", "casablanca-3"},
		InterZoneDelay: 500 * time.Microsecond,
		Balancers:      6,
		Services: []Service{
			{Name: "transcription", Endpoints: 7, Slots: 7, QueueLimit: 28},
			{Name: "audio", Endpoints: 3, Slots: 7, QueueLimit: 28},
		},
		Classes: []RequestClass{
			{
				Name: "poll", Service: "transcription", Address: routeAddress(1), RequestsPerSecond: 290, MeanServiceTime: 55 * time.Millisecond,
				ResponsePackets: 2, TargetLatency: 250 * time.Millisecond, Timeout: 2500 * time.Millisecond, Retryable: true, Priority: 2,
			},
			{
				Name: "submit", Service: "transcription", Address: routeAddress(2), RequestsPerSecond: 83, MeanServiceTime: 72 * time.Millisecond,
				ResponsePackets: 1, TargetLatency: 300 * time.Millisecond, Timeout: 3 * time.Second, Priority: 1,
			},
			{
				Name: "fetch", Service: "audio", Address: routeAddress(3), RequestsPerSecond: 25, MeanServiceTime: 5 * time.Millisecond,
				ResponsePackets: 12, TargetLatency: 500 * time.Millisecond, Timeout: 5 * time.Second, Retryable: true, Priority: 2,
			},
			{
				Name: "upload", Service: "audio", Address: routeAddress(4), RequestsPerSecond: 10, MeanServiceTime: 5 * time.Millisecond,
				RequestPackets: 10, PacketInterval: 300 * time.Millisecond, ResponsePackets: 1, TargetLatency: 6 * time.Second, Timeout: 12 * time.Second, Priority: 1,
			},
		},
	}
}

func kolkata() Scenario {
	return Scenario{
		Name:           "kolkata",
		Zones:          []string{"kolkata-1", "kolkata-2", "kolkata-3", "kolkata-4"},
		InterZoneDelay: 1400 * time.Microsecond,
		Balancers:      4,
		Services: []Service{
			{Name: "lookup", Endpoints: 7, Slots: 3, QueueLimit: 12},
			{Name: "export", Endpoints: 4, Slots: 3, QueueLimit: 12},
		},
		Classes: []RequestClass{
			{
				Name: "suggest", Service: "lookup", Address: routeAddress(1), RequestsPerSecond: 290, MeanServiceTime: 22 * time.Millisecond,
				ResponsePackets: 2, TargetLatency: 120 * time.Millisecond, Timeout: 800 * time.Millisecond, Retryable: true, Priority: 2,
			},
			{
				Name: "submit", Service: "lookup", Address: routeAddress(2), RequestsPerSecond: 83, MeanServiceTime: 29 * time.Millisecond,
				ResponsePackets: 1, TargetLatency: 150 * time.Millisecond, Timeout: time.Second, Priority: 1,
			},
			{
				Name: "export", Service: "export", Address: routeAddress(3), RequestsPerSecond: 25, MeanServiceTime: 5 * time.Millisecond,
				ResponsePackets: 12, TargetLatency: 500 * time.Millisecond, Timeout: 3 * time.Second, Retryable: true, Priority: 2,
			},
			{
				Name: "import", Service: "export", Address: routeAddress(4), RequestsPerSecond: 10, MeanServiceTime: 5 * time.Millisecond,
				RequestPackets: 10, PacketInterval: 300 * time.Millisecond, ResponsePackets: 1, TargetLatency: 6 * time.Second, Timeout: 12 * time.Second, Priority: 1,
			},
		},
	}
}

// sahel has streams that end within the drain time of an endpoint. It has so many endpoints
// that balancers delegate the search for the owner of a flow to agents.
func sahel() Scenario {
	return Scenario{
		Name:           "sahel",
		Zones:          []string{"sahel-1", "sahel-2", "sahel-3", "sahel-4"},
		InterZoneDelay: 1400 * time.Microsecond,
		Balancers:      6,
		Services: []Service{
			{Name: "ledger", Endpoints: 16, Slots: 5, QueueLimit: 20},
			{Name: "intake", Endpoints: 4, Slots: 5, QueueLimit: 20},
		},
		Classes: []RequestClass{
			{
				Name: "stream", Service: "ledger", Address: routeAddress(1), RequestsPerSecond: 30, MeanServiceTime: 40 * time.Millisecond,
				RequestPackets: 7, PacketInterval: 400 * time.Millisecond, ResponsePackets: 2, TargetLatency: 4 * time.Second, Timeout: 8 * time.Second,
				Retryable: true, Priority: 2,
			},
			{
				Name: "tap", Service: "ledger", Address: routeAddress(2), RequestsPerSecond: 83, MeanServiceTime: 52 * time.Millisecond,
				ResponsePackets: 1, TargetLatency: 250 * time.Millisecond, Timeout: 2500 * time.Millisecond, Priority: 1,
			},
			{
				Name: "upload", Service: "intake", Address: routeAddress(3), RequestsPerSecond: 10, MeanServiceTime: 5 * time.Millisecond,
				RequestPackets: 10, PacketInterval: 30 * time.Millisecond, ResponsePackets: 1, TargetLatency: time.Second, Timeout: 5 * time.Second, Priority: 2,
			},
		},
	}
}

// large has so many balancers that only a few of them watch the store. It has so many
// endpoints that balancers delegate the search for the owner of a flow to agents.
func large() Scenario {
	return Scenario{
		Name:           "large",
		Zones:          []string{"large-1", "large-2", "large-3", "large-4", "large-5"},
		InterZoneDelay: 900 * time.Microsecond,
		Balancers:      60,
		Services: []Service{
			{Name: "transcription", Endpoints: 110, Slots: 2, QueueLimit: 8},
			{Name: "audio", Endpoints: 25, Slots: 2, QueueLimit: 8},
		},
		Classes: []RequestClass{
			{
				Name: "poll", Service: "transcription", Address: routeAddress(1), RequestsPerSecond: 290, MeanServiceTime: 55 * time.Millisecond,
				ResponsePackets: 2, TargetLatency: 500 * time.Millisecond, Timeout: 4 * time.Second, Retryable: true, Priority: 2,
			},
			{
				Name: "submit", Service: "transcription", Address: routeAddress(2), RequestsPerSecond: 83, MeanServiceTime: 72 * time.Millisecond,
				ResponsePackets: 1, TargetLatency: 600 * time.Millisecond, Timeout: 4 * time.Second, Priority: 1,
			},
			{
				Name: "upload", Service: "audio", Address: routeAddress(4), RequestsPerSecond: 10, MeanServiceTime: 5 * time.Millisecond,
				RequestPackets: 10, PacketInterval: 300 * time.Millisecond, ResponsePackets: 1, TargetLatency: 6 * time.Second, Timeout: 12 * time.Second, Priority: 1,
			},
		},
	}
}

// routes returns the routes at the start.
func (s Scenario) routes() []directory.Route {
	var routes []directory.Route
	for _, class := range s.Classes {
		routes = append(routes, directory.Route{
			Name: class.Name, IP: class.Address.IP, Port: class.Address.Port,
			WeightedServices: []directory.WeightedService{{Service: class.Service, Weight: 1}},
			Priority:         class.Priority, TargetLatency: class.TargetLatency, Timeout: class.Timeout, Retryable: class.Retryable,
		})
	}
	return routes
}
