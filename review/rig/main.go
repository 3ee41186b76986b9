//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// testCase runs a case on a deployment. With trouble unset it leaves the disruption out. It reports
// whether the rule was broken.
type testCase func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]testCase{
	"reset-after-herd-kill": resetAfterHerdKill,
	"late-openings":         lateOpenings,
	"foreign-entry":         foreignEntry,
	"cold-again":            coldAgain,
	"late-write":            lateWrite,
}

// attempts is how many deployments a case plays at most until the rule is broken, 1 if not named here.
// Whether late-openings breaks its rule depends on the moment of a balancer's last news.
var attempts = map[string]int{"late-openings": 3}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE BINARY RECORD")
		return exitNotRun
	}
	log, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		log.write("not run: %s", err)
		return exitNotRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(directory)
			return
		}
		fmt.Println(directory)
	}()
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		log.write("not run: %s", err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	for attempt := range max(attempts[os.Args[1]], 1) {
		log.write("deployment %d (trouble: %t)", attempt+1, trouble)
		broken, err := play(cases[os.Args[1]], binary, directory, log, trouble)
		switch {
		case err != nil:
			log.write("not run: %s", err)
			fmt.Println("not run:", err)
			return exitNotRun
		case broken:
			log.write("the rule was broken (trouble: %t)", trouble)
			fmt.Println("broken")
			return exitBroken
		}
	}
	log.write("the rule held (trouble: %t)", trouble)
	fmt.Println("held")
	return exitHeld
}

// play plays a case on a new deployment and ends all of its processes.
func play(played testCase, binary, directory string, log *record, trouble bool) (bool, error) {
	d, err := newDeployment(binary, directory, log)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer d.endProcesses()
	return played(ctx, d, trouble)
}
