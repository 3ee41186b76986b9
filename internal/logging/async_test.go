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

// blockingWriter blocks writes until the channel open is closed.
type blockingWriter struct {
	open chan struct{}
	text bytes.Buffer
}

func (w *blockingWriter) Write(data []byte) (int, error) {
	<-w.open
	return w.text.Write(data)
}

var _ = Describe("AsyncWriter", func() {
	It("writes all lines in order before Close returns", func() {
		output := &blockingWriter{open: make(chan struct{})}
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

	It("does not block if its output blocks, and logs the number of dropped lines", func() {
		output := &blockingWriter{open: make(chan struct{})}
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
