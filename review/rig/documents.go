//go:build review

package main

import (
	"bytes"
	_ "embed"
	"net/netip"
	"strings"
	"text/template"
)

// The documents of the platform's store, as templates.
var (
	//go:embed entry.json
	entryText string
	//go:embed configuration.json
	configurationText string
	//go:embed configuration.key
	configurationKey string

	entryTemplate         = template.Must(template.New("entry").Parse(entryText))
	configurationTemplate = template.Must(template.New("configuration").Parse(configurationText))
)

// entry is what an endpoint says of itself in the store.
type entry struct {
	Service, Address, State string
	ColdMilliseconds        int64
	// Calls is the number of the write.
	Calls int
	// Born is when the endpoint was started, in Unix milliseconds, 0 to leave it out.
	Born int64
	// Foreign is set for an entry of another writer: it has a version of another type, and neither
	// the number of the write nor the time for which the endpoint is cold.
	Foreign bool
}

// routedService is a service with its route.
type routedService struct {
	Name, Host string
	Port       uint16
}

// configuration is a version of the operator's configuration.
type configuration struct {
	Version     uint64
	Services    []routedService
	ColdSeconds float64
	ColdRate    float64
}

func render(shape *template.Template, document any) []byte {
	var text bytes.Buffer
	if err := shape.Execute(&text, document); err != nil {
		panic("review-rig: rendering a document: " + err.Error())
	}
	return text.Bytes()
}

// putConfiguration writes the next version of the configuration: one route for each service.
func (d *deployment) putConfiguration(services ...string) {
	d.version += 3
	document := configuration{Version: d.version, ColdSeconds: coldStart.Seconds(), ColdRate: d.coldPerS}
	for number, service := range services {
		address := d.routeAddress(number)
		document.Services = append(document.Services, routedService{service, address.AddrPort().Addr().String(), address.Port})
	}
	d.store.PutBytes(strings.TrimSpace(configurationKey), render(configurationTemplate, document))
	d.record.write("the store acknowledges configuration %d with routes of %v", d.version, services)
}

// entryOf returns the entry of an endpoint that is not cold.
func (d *deployment) entryOf(e *endpoint, state string) entry {
	return entry{Service: e.service, Address: netip.AddrPortFrom(netip.AddrFrom4(e.ip), uint16(d.ports.app)).String(), State: state, Calls: 1}
}

// put writes an entry under an id.
func (d *deployment) put(id string, document entry) {
	value := render(entryTemplate, document)
	d.store.PutBytes("servers/"+id, value)
	d.record.write("the store has the entry of %s: %s", id, strings.Join(strings.Fields(string(value)), " "))
}

func (d *deployment) announce(e *endpoint, state string) { d.put(e.id, d.entryOf(e, state)) }

// remove removes an entry.
func (d *deployment) remove(id string) {
	d.store.Delete("servers/" + id)
	d.record.write("the entry of %s is gone", id)
}
