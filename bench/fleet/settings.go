// This file implements the settings files of the daemons: one template for
// both roles.

package fleet

import (
	"bytes"
	"net/netip"
	"os"
	"text/template"
	"time"

	"github.com/pkg/errors"
)

// AgentBackend is one back end beside an agent.
type AgentBackend struct {
	// Service is the service name in the table.
	Service string
	// Name is the row name in the table.
	Name string
	// Address is where the real back end listens.
	Address netip.AddrPort
}

// Balancer holds the settings of the balancer role.
type Balancer struct {
	// Listen is where encapsulated packets arrive.
	Listen netip.AddrPort
	// Control is where heartbeats arrive.
	Control netip.AddrPort
}

// Agent holds the settings of the agent role.
type Agent struct {
	// Listen is where encapsulated packets arrive; it equals the agent column
	// of the rows.
	Listen netip.AddrPort
	// Fabric is where answers go.
	Fabric netip.AddrPort
	// Daemons are the control addresses that get heartbeats.
	Daemons []netip.AddrPort
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// Backends are the back ends beside the agent.
	Backends []AgentBackend
}

// Settings is what one daemon reads at its start. Exactly one of Balancer and
// Agent is set.
type Settings struct {
	Name             string
	Zone             string
	LogLevel         string
	Observability    netip.AddrPort
	ConfigurationURL string
	MachinesURL      string
	PollInterval     time.Duration
	// Baseline names a simpler method that experiments compare with; empty
	// for the product itself.
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

// TOML returns the settings file.
func (s Settings) TOML() (string, error) {
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, s); err != nil {
		return "", errors.Wrap(err, "settings")
	}
	return text.String(), nil
}

const settingsFileMode = 0o600

func (s Settings) write(path string) error {
	text, err := s.TOML()
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, []byte(text), settingsFileMode), "settings file")
}
