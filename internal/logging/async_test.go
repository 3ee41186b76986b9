package logging_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/logging"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	text bytes.Buffer
}

func (g *gate) Write(data []byte) (int, error) {
	<-g.open
	return g.text.Write(data)
}

var _ = Describe("Async", func() {
	It("writes all lines in their order before it closes", func() {
		output := &gate{open: make(chan struct{})}
		close(output.open)
		log := logging.NewAsyncWriter(output)
		for number := range 100 {
			fmt.Fprintf(log, "line %d\n", number)
		}
		log.Close(time.Minute)
		lines := strings.Split(strings.TrimSpace(output.text.String()), "\n")
		Expect(lines).To(HaveLen(100))
		Expect(lines[99]).To(Equal("line 99"))
	})

	It("never blocks on an output that does, and tells how many lines it dropped", func() {
		output := &gate{open: make(chan struct{})}
		log := logging.NewAsyncWriter(output)
		for range 5000 {
			fmt.Fprintln(log, "line")
		}
		close(output.open)
		log.Close(time.Minute)
		written := strings.Count(output.text.String(), "line\n")
		var dropped int
		_, after, _ := strings.Cut(output.text.String(), `"count":`)
		_, err := fmt.Sscanf(after, "%d", &dropped)
		Expect(err).NotTo(HaveOccurred())
		Expect(written + dropped).To(Equal(5000))
		Expect(written).To(BeNumerically(">=", 1024))
	})
})
