// This file implements the operators who change the table.

package table

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	operators = 3
	// changeInterval is the time between two changes of one operator.
	changeInterval = time.Second
	// repeatInterval is the time between two attempts of one change.
	repeatInterval = 500 * time.Millisecond
	// patience bounds the attempts of one change.
	patience = time.Minute
	// maximumWeight bounds the weights that operators set.
	maximumWeight = 1000
)

// ledger holds what operators were answered. It is safe for concurrent use.
type ledger struct {
	mutex    sync.Mutex
	accepted []accepted
	refused  int
	// undecided are the rows of changes without an outcome.
	undecided []uint32
	answers   []float64
}

func (l *ledger) accept(change accepted, waited time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.accepted = append(l.accepted, change)
	l.answers = append(l.answers, waited.Seconds())
}

func (l *ledger) refuse() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refused++
}

func (l *ledger) leaveUndecided(row uint32) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.undecided = append(l.undecided, row)
}

// operator changes the weights of rows that no other operator changes.
type operator struct {
	number  int
	cluster *cluster
	ledger  *ledger
	random  *rand.Rand
	changes int
}

func newOperator(number int, changed *cluster, kept *ledger) *operator {
	return &operator{
		number: number, cluster: changed, ledger: kept,
		random: rand.New(rand.NewPCG(changed.options.Seed, uint64(number+1))),
	}
}

// run makes changes until ctx ends. The one under way is finished.
func (o *operator) run(ctx context.Context) {
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.change()
		}
	}
}

// change makes one change, through one daemon after another until it is
// decided.
func (o *operator) change() {
	o.changes++
	row := uint32(o.random.IntN(rows/operators)*operators + o.number + 1)
	weight := uint32(1 + o.random.IntN(maximumWeight))
	id := fmt.Sprintf("operator-%d-%d", o.number, o.changes)
	first := time.Now()
	base, known := o.base()
	for time.Since(first) < patience {
		began := time.Now()
		answer, answered := adminapi.ChangeAnswer{}, false
		if known {
			answer, answered = o.submit(id, row, weight, base)
		} else {
			base, known = o.base()
		}
		switch {
		case answered && answer.Outcome == adminapi.Accepted:
			o.ledger.accept(accepted{
				id: id, row: row, weight: weight, version: uint64(answer.Version), began: began,
			}, time.Since(first))
			return
		case answered && (answer.Outcome == adminapi.Refused || answer.Outcome == adminapi.Conflict):
			o.ledger.refuse()
			return
		}
		time.Sleep(repeatInterval)
	}
	o.ledger.leaveUndecided(row)
}

// anyDaemon returns a random daemon that is not known to be disturbed.
func (o *operator) anyDaemon() *daemon {
	for {
		chosen := o.cluster.daemons[o.random.IntN(len(o.cluster.daemons))]
		if chosen.up() {
			return chosen
		}
	}
}

// base returns the version that a daemon has now.
func (o *operator) base() (table.Version, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	answer, err := o.anyDaemon().client.Table(ctx, "")
	if err != nil {
		return 0, false
	}
	return answer.Table.Version, true
}

func (o *operator) submit(id string, row, weight uint32, base table.Version) (adminapi.ChangeAnswer, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	answer, err := o.anyDaemon().client.Change(ctx, adminapi.ChangeRequest{
		Header: adminapi.Header{ID: id, Reason: "experiment", BaseVersion: &base},
		Parts:  adminapi.Parts{SetCells: []adminapi.CellUpdate{{Backend: table.BackendID(row), Weight: &weight}}},
	})
	return answer, err == nil
}
