// This file defines the settings and the result of a run.

package table

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// Options are the settings of a run.
type Options struct {
	Daemons int
	Seed    uint64
	// Duration is how long daemons are disturbed and the table is changed.
	Duration time.Duration
	// Directory takes the daemon's binary, settings and logs.
	Directory string
	// Progress receives a line for each event.
	Progress io.Writer
}

const (
	minimumDaemons = 6
	maximumDaemons = 100
)

// Validate returns an error that names the first option that cannot be used.
func (o Options) Validate() error {
	switch {
	case o.Daemons < minimumDaemons || o.Daemons > maximumDaemons:
		return errors.Errorf("-daemons must be from %d to %d", minimumDaemons, maximumDaemons)
	case o.Duration < 0:
		return errors.New("-duration must not be negative")
	case o.Directory == "":
		return errors.New("a directory is required")
	}
	return nil
}

// Result is what a run has measured. Times are in seconds.
type Result struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Daemons    int    `json:"daemons"`
	Voters     int    `json:"voters"`
	// Seconds is how long daemons were disturbed.
	Seconds float64 `json:"seconds"`
	Kills   int     `json:"kills"`
	Pauses  int     `json:"pauses"`
	// ChangesAccepted counts changes of operators that were answered as
	// accepted.
	ChangesAccepted int `json:"changes_accepted"`
	ChangesRefused  int `json:"changes_refused"`
	// ChangesUndecided were not answered with an outcome however often they
	// were repeated.
	ChangesUndecided int `json:"changes_undecided"`
	// Lost counts accepted changes that a daemon does not know at the end.
	Lost int `json:"lost"`
	// Reverted counts cells that differ at the end, on any daemon, from the
	// last accepted change of them.
	Reverted int `json:"reverted"`
	// Behind counts daemons that do not have the newest version at the end.
	Behind int `json:"behind"`
	// PlatformReverted counts cells at the end, on any daemon, that are not as
	// the platform's newest revision has them.
	PlatformReverted int `json:"platform_reverted"`
	// InForce is from the request that was answered as accepted until a daemon
	// that was not disturbed meanwhile has the version in force, over all
	// changes and daemons. It includes the interval of the samples, 0.2 s.
	InForceP50 float64 `json:"in_force_p50_s"`
	InForceMax float64 `json:"in_force_max_s"`
	// AnswerP50 and AnswerMax are from the first attempt to the answer.
	AnswerP50 float64 `json:"answer_p50_s"`
	AnswerMax float64 `json:"answer_max_s"`
	// LeaderGapMax is the longest time in which no daemon reported to lead.
	LeaderGapMax float64 `json:"leader_gap_max_s"`
}

// Kept reports whether no change was lost or reverted and all daemons have the
// newest version.
func (r Result) Kept() bool {
	return r.Lost == 0 && r.Reverted == 0 && r.Behind == 0 && r.PlatformReverted == 0 && r.ChangesAccepted > 0
}
