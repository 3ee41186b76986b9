// This file writes the settings files of the daemons. One template serves both roles.

package fleet

import (
	"bytes"
	"net/netip"
	"os"
	"text/template"
	"time"

	"github.com/pkg/errors"
)

// AgentBackend holds the settings of a back end beside an agent.
type AgentBackend struct {
	// Service is the service name in the table.
	Service string
	// Name is the row name in the table.
	Name string
	// Address is the address on which the back end listens.
	Address netip.AddrPort
}

// Balancer holds the settings of the balancer role.
type Balancer struct {
	// Listen is the address that receives encapsulated packets.
	Listen netip.AddrPort
	// Control is the address that receives heartbeats.
	Control netip.AddrPort
}

// Agent holds the settings of the agent role.
type Agent struct {
	// Listen is the address that receives encapsulated packets. The agent column of the
	// table rows must have the same address.
	Listen netip.AddrPort
	// Fabric is the address that answers are sent to.
	Fabric netip.AddrPort
	// Daemons are the control addresses that heartbeats are sent to.
	Daemons []netip.AddrPort
	// StopTimeout bounds the duration of a planned stop.
	StopTimeout time.Duration
	// Backends are the back ends beside the agent.
	Backends []AgentBackend
}

// Settings holds the settings of one daemon. Exactly one of Balancer and Agent is set.
type Settings struct {
	Name             string
	Zone             string
	LogLevel         string
	Observability    netip.AddrPort
	ConfigurationURL string
	MachinesURL      string
	PollInterval     time.Duration
	// Baseline names a simpler method that experiments run for comparison. It is empty for the
	// product.
	Baseline string
	Balancer *Balancer
	Agent    *Agent
}

const settingsText = `name = "{{.Name}}"
zone = "{{.Zone}}"

[log]
level = "{{.LogLevel}}"

[observability]
listen = "{{.Observability}}"
{{- with .Balancer}}

[platform]
configuration_url = "{{$.ConfigurationURL}}"
machines_url = "{{$.MachinesURL}}"
poll_interval = "{{$.PollInterval}}"

[control]
listen = "{{.Control}}"

[balancer]
listen = "{{.Listen}}"
sockets = 1
{{- if $.Baseline}}
baseline = "{{$.Baseline}}"
{{- end}}
{{- end}}
{{- with .Agent}}

[agent]
listen = "{{.Listen}}"
fabric = "{{.Fabric}}"
daemons = [{{range $index, $daemon := .Daemons}}{{if $index}}, {{end}}"{{$daemon}}"{{end}}]
stop_timeout = "{{.StopTimeout}}"
{{- if $.Baseline}}
baseline = "{{$.Baseline}}"
{{- end}}
{{- range .Backends}}

[[agent.backend]]
service = "{{.Service}}"
name = "{{.Name}}"
address = "{{.Address}}"
{{- end}}
{{- end}}
`

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// TOML returns the content of the settings file.
func (s Settings) TOML() (string, error) {
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, s); err != nil {
		return "", errors.Wrap(err, "render the settings of a daemon")
	}
	return text.String(), nil
}

const settingsFileMode = 0o600

func (s Settings) write(path string) error {
	text, err := s.TOML()
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, []byte(text), settingsFileMode), "write the settings of a daemon")
}
