package dissemination_test

import (
	"flag"
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// scheduleSeed makes the random schedules of faults and changes the same in each run.
// Other schedules can be tried with -rapid.seed.
const scheduleSeed = "20261202"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", scheduleSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestDissemination(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "dissemination")
}
