package flownet

import (
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// Service is one service of a shape.
type Service struct {
	Name      string
	Endpoints int
	Slots     int
	// Queue is how many requests an endpoint keeps beside those it works on.
	Queue int
}

// Class is one kind of request.
type Class struct {
	Name    string
	Service string
	Address segment.Address
	// PerSecond is the number of requests a second in all zones together.
	PerSecond float64
	// Work is the mean time an endpoint works on a request.
	Work time.Duration
	// Pieces is the number of packets of a request, which the client sends one
	// after the other with a pause; 0 means one.
	Pieces int
	Pause  time.Duration
	// Answer is the number of packets of an answer.
	Answer int
	// Target is the latency objective, Timeout the longest useful time.
	Target  time.Duration
	Timeout time.Duration
	// Repeatable is set if clients send a request again after any failure.
	Repeatable bool
	Priority   uint8
}

// Shape describes a fleet and its traffic.
type Shape struct {
	Name      string
	Zones     []string
	ZoneDelay time.Duration
	Balancers int
	Services  []Service
	Classes   []Class
}

func routeAddress(number byte) segment.Address {
	return segment.Address{IP: [4]byte{198, 51, 100, number}, Port: 443}
}

// Shapes lists the shapes of the users.
func Shapes() []Shape { return []Shape{casablanca(), kolkata(), sahel()} }

// ShapeNamed returns the shape of that name, one of the users' or "large". It fails for an
// unknown name.
func ShapeNamed(name string) (Shape, error) {
	for _, shape := range append(Shapes(), large()) {
		if shape.Name == name {
			return shape, nil
		}
	}
	return Shape{}, errors.Errorf("unknown shape %q", name)
}

func casablanca() Shape {
	return Shape{
		Name:      "casablanca",
		Zones:     []string{"casablanca-1", "casablanca-2", "casablanca-3"},
		ZoneDelay: 500 * time.Microsecond,
		Balancers: 6,
		Services: []Service{
			{Name: "transcription", Endpoints: 7, Slots: 7, Queue: 28},
			{Name: "audio", Endpoints: 3, Slots: 7, Queue: 28},
		},
		Classes: []Class{
			{
				Name: "poll", Service: "transcription", Address: routeAddress(1), PerSecond: 290, Work: 55 * time.Millisecond,
				Answer: 2, Target: 250 * time.Millisecond, Timeout: 2500 * time.Millisecond, Repeatable: true, Priority: 2,
			},
			{
				Name: "submit", Service: "transcription", Address: routeAddress(2), PerSecond: 83, Work: 72 * time.Millisecond,
				Answer: 1, Target: 300 * time.Millisecond, Timeout: 3 * time.Second, Priority: 1,
			},
			{
				Name: "fetch", Service: "audio", Address: routeAddress(3), PerSecond: 25, Work: 5 * time.Millisecond,
				Answer: 12, Target: 500 * time.Millisecond, Timeout: 5 * time.Second, Repeatable: true, Priority: 2,
			},
			{
				Name: "upload", Service: "audio", Address: routeAddress(4), PerSecond: 10, Work: 5 * time.Millisecond,
				Pieces: 10, Pause: 300 * time.Millisecond, Answer: 1, Target: 6 * time.Second, Timeout: 12 * time.Second, Priority: 1,
			},
		},
	}
}

func kolkata() Shape {
	return Shape{
		Name:      "kolkata",
		Zones:     []string{"kolkata-1", "kolkata-2", "kolkata-3", "kolkata-4"},
		ZoneDelay: 1400 * time.Microsecond,
		Balancers: 4,
		Services: []Service{
			{Name: "lookup", Endpoints: 7, Slots: 3, Queue: 12},
			{Name: "export", Endpoints: 4, Slots: 3, Queue: 12},
		},
		Classes: []Class{
			{
				Name: "suggest", Service: "lookup", Address: routeAddress(1), PerSecond: 290, Work: 22 * time.Millisecond,
				Answer: 2, Target: 120 * time.Millisecond, Timeout: 800 * time.Millisecond, Repeatable: true, Priority: 2,
			},
			{
				Name: "submit", Service: "lookup", Address: routeAddress(2), PerSecond: 83, Work: 29 * time.Millisecond,
				Answer: 1, Target: 150 * time.Millisecond, Timeout: time.Second, Priority: 1,
			},
			{
				Name: "export", Service: "export", Address: routeAddress(3), PerSecond: 25, Work: 5 * time.Millisecond,
				Answer: 12, Target: 500 * time.Millisecond, Timeout: 3 * time.Second, Repeatable: true, Priority: 2,
			},
			{
				Name: "import", Service: "export", Address: routeAddress(4), PerSecond: 10, Work: 5 * time.Millisecond,
				Pieces: 10, Pause: 300 * time.Millisecond, Answer: 1, Target: 6 * time.Second, Timeout: 12 * time.Second, Priority: 1,
			},
		},
	}
}

// sahel has streams, which end within the time that a leaving endpoint serves on, and
// so many endpoints that balancers leave searches to agents.
func sahel() Shape {
	return Shape{
		Name:      "sahel",
		Zones:     []string{"sahel-1", "sahel-2", "sahel-3", "sahel-4"},
		ZoneDelay: 1400 * time.Microsecond,
		Balancers: 6,
		Services: []Service{
			{Name: "ledger", Endpoints: 16, Slots: 5, Queue: 20},
			{Name: "intake", Endpoints: 4, Slots: 5, Queue: 20},
		},
		Classes: []Class{
			{
				Name: "stream", Service: "ledger", Address: routeAddress(1), PerSecond: 30, Work: 40 * time.Millisecond,
				Pieces: 7, Pause: 400 * time.Millisecond, Answer: 2, Target: 4 * time.Second, Timeout: 8 * time.Second,
				Repeatable: true, Priority: 2,
			},
			{
				Name: "tap", Service: "ledger", Address: routeAddress(2), PerSecond: 83, Work: 52 * time.Millisecond,
				Answer: 1, Target: 250 * time.Millisecond, Timeout: 2500 * time.Millisecond, Priority: 1,
			},
			{
				Name: "upload", Service: "intake", Address: routeAddress(3), PerSecond: 10, Work: 5 * time.Millisecond,
				Pieces: 10, Pause: 30 * time.Millisecond, Answer: 1, Target: time.Second, Timeout: 5 * time.Second, Priority: 2,
			},
		},
	}
}

// large has so many balancers that few of them watch the store, and so many endpoints that
// a search for an owner takes an agent.
func large() Shape {
	return Shape{
		Name:      "large",
		Zones:     []string{"large-1", "large-2", "large-3", "large-4", "large-5"},
		ZoneDelay: 900 * time.Microsecond,
		Balancers: 60,
		Services: []Service{
			{Name: "transcription", Endpoints: 110, Slots: 2, Queue: 8},
			{Name: "audio", Endpoints: 25, Slots: 2, Queue: 8},
		},
		Classes: []Class{
			{
				Name: "poll", Service: "transcription", Address: routeAddress(1), PerSecond: 290, Work: 55 * time.Millisecond,
				Answer: 2, Target: 500 * time.Millisecond, Timeout: 4 * time.Second, Repeatable: true, Priority: 2,
			},
			{
				Name: "submit", Service: "transcription", Address: routeAddress(2), PerSecond: 83, Work: 72 * time.Millisecond,
				Answer: 1, Target: 600 * time.Millisecond, Timeout: 4 * time.Second, Priority: 1,
			},
			{
				Name: "upload", Service: "audio", Address: routeAddress(4), PerSecond: 10, Work: 5 * time.Millisecond,
				Pieces: 10, Pause: 300 * time.Millisecond, Answer: 1, Target: 6 * time.Second, Timeout: 12 * time.Second, Priority: 1,
			},
		},
	}
}

// routes returns the routes at the start.
func (s Shape) routes() []directory.Route {
	var routes []directory.Route
	for _, class := range s.Classes {
		routes = append(routes, directory.Route{
			Name: class.Name, IP: class.Address.IP, Port: class.Address.Port,
			WeightedServices: []directory.WeightedService{{Service: class.Service, Weight: 1}},
			Priority:         class.Priority, TargetLatency: class.Target, Timeout: class.Timeout, Retryable: class.Repeatable,
		})
	}
	return routes
}
