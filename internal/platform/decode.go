package platform

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

// MaxAnswerSize bounds the body of an answer, in bytes, so that a faulty
// service cannot exhaust the memory of the fleet.
const MaxResponseSize = 32 << 20

// The envelopes take unknown members, so that the platform can add some; the
// table inside is checked strictly.

type configurationAnswer struct {
	Revision Revision        `json:"revision"`
	Table    json.RawMessage `json:"table"`
}

type machinesAnswer struct {
	Revision Revision   `json:"revision"`
	Machines *[]Machine `json:"machines"`
}

func decodeConfiguration(body io.Reader) (Configuration, error) {
	var answer configurationAnswer
	if err := decodeAnswer(body, &answer); err != nil {
		return Configuration{}, err
	}
	if answer.Revision == 0 {
		return Configuration{}, errNoRevision
	}
	if len(answer.Table) == 0 {
		return Configuration{}, errors.New("no table")
	}
	parsed, err := table.Parse(answer.Table)
	if err != nil {
		return Configuration{}, err
	}
	if parsed.Version == 0 {
		return Configuration{}, errors.New("table: version must not be 0")
	}
	return Configuration{answer.Revision, parsed}, nil
}

func decodeMachines(body io.Reader) (Machines, error) {
	var answer machinesAnswer
	if err := decodeAnswer(body, &answer); err != nil {
		return Machines{}, err
	}
	if answer.Revision == 0 {
		return Machines{}, errNoRevision
	}
	if answer.Machines == nil {
		return Machines{}, errors.New("no machines")
	}
	for _, machine := range *answer.Machines {
		if err := machine.validate(); err != nil {
			return Machines{}, err
		}
	}
	return Machines{answer.Revision, *answer.Machines}, nil
}

var errNoRevision = errors.New("no revision, or revision 0")

func decodeAnswer(body io.Reader, target any) error {
	data, err := io.ReadAll(io.LimitReader(body, MaxResponseSize+1))
	if err != nil {
		return unreadable{err}
	}
	if len(data) > MaxResponseSize {
		return errors.Errorf("answer is larger than %d bytes", MaxResponseSize)
	}
	return errors.Wrap(json.Unmarshal(data, target), "answer")
}

// unreadable marks a body that broke off, as opposed to one that is wrong.
type unreadable struct{ cause error }

// Error implements error.
func (u unreadable) Error() string { return "reading the answer: " + u.cause.Error() }

// Unwrap returns the cause.
func (u unreadable) Unwrap() error { return u.cause }
