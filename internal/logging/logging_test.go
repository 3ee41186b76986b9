package logging_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/logging"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

type logLine struct {
	Time    string `json:"time"`
	Level   string `json:"level"`
	Message string `json:"msg"`
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Rows    int    `json:"rows"`
}

var _ = Describe("New", func() {
	It("writes JSON lines with name, zone and the fields of derived loggers", func() {
		var output bytes.Buffer
		logger := logging.New(&output, log.InfoLevel, "balancer-1", "casablanca-1")
		logger.Debug("not written")
		logger.With("rows", 7).Warn("table\nreplaced")

		decoder := json.NewDecoder(&output)
		decoder.DisallowUnknownFields()
		var written logLine
		Expect(decoder.Decode(&written)).To(Succeed())
		Expect(decoder.More()).To(BeFalse())
		at, err := time.Parse(time.RFC3339Nano, written.Time)
		Expect(err).NotTo(HaveOccurred())
		Expect(at.Location()).To(Equal(time.UTC))
		written.Time = ""
		Expect(written).To(Equal(logLine{
			Level: "warn", Message: "table\nreplaced", Name: "balancer-1", Zone: "casablanca-1", Rows: 7,
		}))
	})
})
