package platform

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

// MaxResponseSize limits the body of a response in bytes, so that a faulty service cannot
// exhaust the memory of the fleet.
const MaxResponseSize = 32 << 20

// The outer objects accept unknown members, so that the platform can add some. The table inside
// is decoded strictly.

type configurationResponse struct {
	Revision Revision        `json:"revision"`
	Table    json.RawMessage `json:"table"`
}

type machinesResponse struct {
	Revision Revision   `json:"revision"`
	Machines *[]Machine `json:"machines"`
}

func decodeConfiguration(body io.Reader) (Configuration, error) {
	var response configurationResponse
	if err := decodeJSON(body, &response); err != nil {
		return Configuration{}, err
	}
	if response.Revision == 0 {
		return Configuration{}, errNoRevision
	}
	if len(response.Table) == 0 {
		return Configuration{}, errors.New("response has no table")
	}
	parsed, err := table.Parse(response.Table)
	if err != nil {
		return Configuration{}, err
	}
	if parsed.Version == 0 {
		return Configuration{}, errors.New("table: version must not be 0")
	}
	return Configuration{response.Revision, parsed}, nil
}

func decodeMachines(body io.Reader) (Machines, error) {
	var response machinesResponse
	if err := decodeJSON(body, &response); err != nil {
		return Machines{}, err
	}
	if response.Revision == 0 {
		return Machines{}, errNoRevision
	}
	if response.Machines == nil {
		return Machines{}, errors.New("response has no machines")
	}
	for _, machine := range *response.Machines {
		if err := machine.validate(); err != nil {
			return Machines{}, err
		}
	}
	return Machines{response.Revision, *response.Machines}, nil
}

var errNoRevision = errors.New("response has no revision, or revision 0")

func decodeJSON(body io.Reader, target any) error {
	data, err := io.ReadAll(io.LimitReader(body, MaxResponseSize+1))
	if err != nil {
		return incompleteBody{err}
	}
	if len(data) > MaxResponseSize {
		return errors.Errorf("response is larger than %d bytes", MaxResponseSize)
	}
	return errors.Wrap(json.Unmarshal(data, target), "decoding the response")
}

// incompleteBody marks a body that ended early, as opposed to one with wrong content.
type incompleteBody struct{ cause error }

// Error implements error.
func (u incompleteBody) Error() string { return "reading the response: " + u.cause.Error() }

// Unwrap returns the cause.
func (u incompleteBody) Unwrap() error { return u.cause }
