// This file implements the run of all measurements.

package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

// Options choose what is measured.
type Options struct {
	// Only names measurements; empty means all.
	Only []string
	// Progress receives a line for each measurement; nil means none.
	Progress io.Writer
}

// Report holds the measurements of a run.
type Report struct {
	Go         string `json:"go"`
	Processors int    `json:"processors"`
	// Load is the machine's load average over a minute when the run began;
	// zero if the system does not tell.
	Load         float64       `json:"load"`
	Measurements []Measurement `json:"measurements"`
}

// Run takes the measurements one after another. It fails if ctx ends or a name
// in Only is unknown.
func Run(ctx context.Context, options Options) (Report, error) {
	chosen, err := choose(options.Only)
	if err != nil {
		return Report{}, err
	}
	progress := options.Progress
	if progress == nil {
		progress = io.Discard
	}
	logger := log.NewWithOptions(progress, log.Options{Formatter: log.JSONFormatter})
	report := Report{Go: runtime.Version(), Processors: runtime.NumCPU(), Load: loadAverage()}
	for _, next := range chosen {
		measured, err := next.run(ctx)
		if err != nil {
			return Report{}, err
		}
		if !isUnfitted(measured.Name) {
			fitted := FitOf(measured.Points)
			measured.Fit = &fitted
		}
		logger.Info("measured", "name", measured.Name, "points", measured.Points)
		report.Measurements = append(report.Measurements, measured)
	}
	return report, nil
}

// loadAverage reads the load average over a minute from the system.
func loadAverage() float64 {
	var load float64
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	if _, err := fmt.Sscan(string(content), &load); err != nil {
		return 0
	}
	return load
}

func experiments() []experiment {
	return slices.Concat(memoryExperiments(), processorExperiments(), trafficExperiments(),
		replicaExperiments(), unfittedExperiments())
}

// unfittedExperiments are those of costs that stop growing or do not grow with
// the driver, to which no line is fitted.
func unfittedExperiments() []experiment {
	return slices.Concat(floodExperiments(), movementExperiments())
}

func isUnfitted(name string) bool {
	return slices.ContainsFunc(unfittedExperiments(), func(known experiment) bool { return known.name == name })
}

func choose(only []string) ([]experiment, error) {
	if len(only) == 0 {
		return experiments(), nil
	}
	var chosen []experiment
	for _, name := range only {
		index := slices.IndexFunc(experiments(), func(known experiment) bool { return known.name == name })
		if index < 0 {
			return nil, errors.Errorf("unknown measurement %q", name)
		}
		chosen = append(chosen, experiments()[index])
	}
	return chosen, nil
}

// Measurement returns the measurement with the given name.
func (r Report) Measurement(name string) (Measurement, bool) {
	for _, measured := range r.Measurements {
		if measured.Name == name {
			return measured, true
		}
	}
	return Measurement{}, false
}

// Encode returns the JSON form of the report.
func (r Report) Encode() ([]byte, error) {
	encoded, err := json.MarshalIndent(r, "", "  ")
	return encoded, errors.Wrap(err, "report")
}
