package agreement_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/agreement"
)

// chooser draws a number from 0 to below n.
type chooser func(label string, n int) int

const (
	scheduleSteps = 40
	// maximumEvents bounds the messages and timers under way; duplicated
	// messages must not multiply.
	maximumEvents = 20_000
	// rapidSeed makes every run draw the same schedules; -rapid.seed draws
	// others.
	rapidSeed = "20261202"
)

// fixSeed gives rapid a fixed seed unless one was given on the command line.
func fixSeed(t *testing.T) {
	t.Helper()
	if given := flag.Lookup("rapid.seed"); given.Value.String() == given.DefValue {
		if err := flag.Set("rapid.seed", rapidSeed); err != nil {
			t.Fatal(err)
		}
	}
}

// schedule makes random faults and proposals happen.
type schedule struct {
	*cluster
	choose   chooser
	proposed uint32
}

// step performs one random event and lets some time pass.
func (s *schedule) step() {
	machine := s.choose("machine", s.machines)
	switch s.choose("event", 13) {
	case 0, 1:
		s.restartIfSurvivable(machine)
	case 2:
		s.restartLeader()
	case 3:
		s.pause(machine)
	case 4:
		s.pauseLeader()
	case 5:
		s.resumeAll()
	case 6:
		s.partition()
	case 7:
		s.isolated = func(_, _ agreement.Zone) bool { return false }
	case 8:
		s.loss = float64(s.choose("loss", 4)) * 0.1
		s.duplicate = float64(s.choose("duplicate", 4)) * 0.1
	case 9:
		s.proposeAt(s.processes[machine])
	case 10:
		if s.disseminated {
			s.restartVoters()
		}
	default:
		if p := s.leader(); p != nil {
			s.proposeAt(p)
		}
	}
	s.advance(time.Duration(s.choose("milliseconds", 1500)) * time.Millisecond)
	if len(s.events) > maximumEvents {
		s.checker.violate("%d events are under way", len(s.events))
	}
}

func (s *schedule) proposeAt(p *process) {
	s.proposed++
	s.propose(p, addRow(s.proposed))
}

// restartIfSurvivable keeps a majority of the voters running, because nothing
// more can happen once it is lost.
func (s *schedule) restartIfSurvivable(machine int) {
	without := s.processes[machine].id
	if s.forgetful || s.survives(without) || (s.disseminated && s.heldWithout(without)) {
		s.restart(machine)
	}
}

// restartVoters restarts all voters that some process knows of, one after
// another at one instant, as far as the committed entries allow.
func (s *schedule) restartVoters() {
	for machine, p := range s.processes {
		if p.machine.Voters().Contains(p.id) {
			s.restartIfSurvivable(machine)
		}
	}
}

// heldWithout reports whether a process other than the given one holds every
// committed entry: the log can then be formed anew.
func (s *schedule) heldWithout(without agreement.ProcessID) bool {
	for _, p := range s.processes {
		term, known := p.machine.TermAt(s.checker.last)
		compacted := p.machine.SnapshotIndex() > s.checker.last
		if p.id != without && (compacted || (known && term == s.checker.entries[s.checker.last].Term)) {
			return true
		}
	}
	return false
}

// survives reports whether every set of voters that may be in force keeps a
// running majority without the process. Such a set is the newest one of a log
// that holds all committed entries.
func (s *schedule) survives(without agreement.ProcessID) bool {
	running := func(m agreement.Member) bool {
		return m.ID != without && s.processes[m.ID.Machine-1].id == m.ID
	}
	for _, p := range s.processes {
		if p.machine.LastIndex() >= s.checker.last && !p.machine.Voters().HasMajority(running) {
			return false
		}
	}
	return true
}

func (s *schedule) restartLeader() {
	if p := s.leader(); p != nil {
		s.restartIfSurvivable(int(p.id.Machine - 1))
	}
}

func (s *schedule) pauseLeader() {
	if p := s.leader(); p != nil {
		s.pause(int(p.id.Machine - 1))
	}
}

func (s *schedule) resumeAll() {
	for machine := range s.processes {
		s.resume(machine)
	}
}

// partition puts every zone on one of two sides; links may fail in one
// direction only.
func (s *schedule) partition() {
	sides := make(map[agreement.Zone]int)
	for zone := range s.zones {
		sides[zoneOf(zone)] = s.choose("side", 2)
	}
	oneWay := s.choose("one way", 4) == 0
	s.isolated = func(from, to agreement.Zone) bool {
		if oneWay {
			return sides[from] < sides[to]
		}
		return sides[from] != sides[to]
	}
}

// heal ends every fault.
func (s *schedule) heal() {
	s.resumeAll()
	s.loss = 0
	s.duplicate = 0
	s.isolated = func(_, _ agreement.Zone) bool { return false }
}

// runSchedule performs a schedule and returns it. It ends with all faults
// healed and time to recover.
func runSchedule(of shape, choose chooser) *schedule {
	s := &schedule{cluster: newCluster(of), choose: choose}
	s.waitFormed(time.Minute)
	for range scheduleSteps {
		s.step()
		if len(s.checker.violations) > 0 {
			return s
		}
	}
	s.heal()
	s.advance(30 * time.Second)
	return s
}

func seededChooser(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 2))
	return func(_ string, n int) int { return random.IntN(n) }
}

func TestSchedules(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		of := shape{
			machines:  8 + rapid.IntRange(0, 4).Draw(t, "machines"),
			zones:     rapid.IntRange(3, 6).Draw(t, "zones"),
			replicas:  rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas"),
			witnesses: rapid.IntRange(0, 3).Draw(t, "witnesses"),
			seed:      rapid.Uint64().Draw(t, "seed"),

			disseminated: rapid.Bool().Draw(t, "disseminated"),
		}
		s := runSchedule(of, func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) })
		if len(s.checker.violations) > 0 {
			t.Fatalf("%s: %v", s, s.checker.violations)
		}
	})
}

// expectRecovery runs seeded schedules and expects changes to be taken after
// the faults: the checks were not passed by standing still.
func expectRecovery(t *testing.T, of shape, seeds uint64, limit time.Duration) {
	t.Helper()
	for seed := range seeds {
		of.seed = seed
		s := runSchedule(of, seededChooser(seed))
		if !s.accept(addRow(100_000), limit) {
			t.Errorf("%s: takes no change after the faults", s)
		}
		if len(s.checker.violations) > 0 {
			t.Errorf("%s: %v", s, s.checker.violations)
		}
	}
}

// TestSchedulesRecover keeps a majority of the voters.
func TestSchedulesRecover(t *testing.T) {
	expectRecovery(t, shape{machines: 10, zones: 5, replicas: 3, witnesses: 2}, 40, 20*time.Second)
}

// TestSchedulesFormAnew keeps one process that holds every committed entry.
func TestSchedulesFormAnew(t *testing.T) {
	of := shape{machines: 10, zones: 5, replicas: 3, witnesses: 2, disseminated: true}
	expectRecovery(t, of, 40, 30*time.Minute)
}

// TestForgottenVoteIsCaught plants a fault: a restarted process keeps its
// identity. The checks must find what that breaks.
func TestForgottenVoteIsCaught(t *testing.T) {
	const seeds = 60
	caught := 0
	for seed := range uint64(seeds) {
		of := shape{machines: 8, zones: 4, replicas: 3, seed: seed, forgetful: true}
		if s := runSchedule(of, seededChooser(seed)); len(s.checker.violations) > 0 {
			caught++
		}
	}
	t.Logf("caught in %d of %d schedules", caught, seeds)
	if caught == 0 {
		t.Fatal("votes that were forgotten went unnoticed")
	}
}

// loseAcknowledgement commits a change with one of two followers cut off,
// restarts the other, and lets these two go on without the leader.
func loseAcknowledgement(t *testing.T, forgetful bool) *cluster {
	t.Helper()
	c := newCluster(shape{machines: 3, zones: 3, replicas: 3, seed: 5, forgetful: forgetful})
	if !c.waitFormed(time.Minute) {
		t.Fatal("no leader")
	}
	first := c.leader()
	behind := c.processes[int(first.id.Machine)%c.machines]
	other := c.processes[int(first.id.Machine+1)%c.machines]
	c.isolated = func(from, to agreement.Zone) bool { return from == behind.zone || to == behind.zone }
	if !c.accept(addRow(1), 5*time.Second) {
		t.Fatal("change not accepted")
	}
	c.isolated = func(from, to agreement.Zone) bool { return (from == first.zone) != (to == first.zone) }
	c.restart(int(other.id.Machine - 1))
	c.advance(20 * time.Second)
	return c
}

// TestForgottenAcknowledgement shows the fault in the smallest case, and that
// new identities prevent it.
func TestForgottenAcknowledgement(t *testing.T) {
	if c := loseAcknowledgement(t, true); len(c.checker.violations) == 0 {
		t.Fatal("an acknowledgement that was forgotten went unnoticed")
	}
	if c := loseAcknowledgement(t, false); len(c.checker.violations) > 0 {
		t.Fatal(c.checker.violations)
	}
}
