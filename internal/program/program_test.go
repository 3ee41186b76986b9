package program_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/program"
	"github.com/vanetiller/vanetiller/internal/settings"
)

func TestProgram(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Program")
}

const validSettings = `name = "agent-1"
zone = "zone-1"
[observability]
listen = "127.0.0.1:0"
[relay]
peers = "127.0.0.1:6181"
[relay.agent]
service = "lookup"
endpoint = "127.0.0.1:8081"
emitted = "127.0.0.1:8082"
`

// fakeServer records the calls of Reload and ReloadFailed.
type fakeServer struct {
	reloaded chan *settings.Settings
	failed   chan error
}

func (s fakeServer) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
func (s fakeServer) Reload(changed *settings.Settings) { s.reloaded <- changed }
func (s fakeServer) ReloadFailed(err error)            { s.failed <- err }

var _ = Describe("Program", func() {
	var (
		server  fakeServer
		file    string
		reload  chan os.Signal
		stop    context.CancelFunc
		status  chan int
		started program.Program
	)

	BeforeEach(func() {
		// A goroutine may outlast its spec. It uses its own copies, because the
		// setup of the next spec overwrites the shared variables.
		own := fakeServer{make(chan *settings.Settings, 1), make(chan error, 1)}
		server = own
		file = filepath.Join(GinkgoT().TempDir(), "settings.toml")
		Expect(os.WriteFile(file, []byte(validSettings), 0o600)).To(Succeed())
		reload = make(chan os.Signal, 1)
		status = make(chan int, 1)
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		loaded := make(chan struct{})
		started = program.Program{Name: "p", New: func(*settings.Settings, io.Writer) (program.Server, error) {
			close(loaded)
			return own, nil
		}}
		running, ownFile, ownReload, ownStatus := started, file, reload, status
		go func() {
			ownStatus <- running.RunCommand(ctx, ownReload, []string{"-settings", ownFile}, io.Discard, io.Discard)
		}()
		DeferCleanup(stop)
		Eventually(loaded).Should(BeClosed())
	})

	It("reloads the settings on a signal and keeps running", func() {
		Expect(os.WriteFile(file, []byte(validSettings+"[log]\nlevel = \"debug\"\n"), 0o600)).To(Succeed())
		reload <- syscall.SIGHUP
		var changed *settings.Settings
		Eventually(server.reloaded).Should(Receive(&changed))
		Expect(changed.Log.Level).To(Equal(log.DebugLevel))
		Expect(status).NotTo(Receive())
		stop()
		Eventually(status).Should(Receive(Equal(program.ExitSuccess)))
	})

	It("reports invalid settings on reload and keeps running", func() {
		Expect(os.WriteFile(file, []byte("name = 1\n"), 0o600)).To(Succeed())
		reload <- syscall.SIGHUP
		Eventually(server.failed).Should(Receive(MatchError(ContainSubstring("name: must be a string"))))
		Expect(status).NotTo(Receive())
	})

	DescribeTable("writes the log to the stream that LogToStdout selects", func(toStdout bool) {
		var stdout, stderr bytes.Buffer
		logging := program.Program{Name: "p", LogToStdout: toStdout, New: func(_ *settings.Settings, log io.Writer) (program.Server, error) {
			_, _ = io.WriteString(log, "line")
			return nil, errors.New("cannot start")
		}}
		Expect(logging.RunCommand(context.Background(), nil, []string{"-settings", file}, &stdout, &stderr)).To(Equal(program.ExitFailure))
		Expect(stdout.String() == "line").To(Equal(toStdout))
		Expect(stderr.String()).To(ContainSubstring("p: cannot start"))
	},
		Entry("standard output", true),
		Entry("standard error", false),
	)

	It("exits with the usage status if New rejects the settings", func() {
		var stderr bytes.Buffer
		rejecting := program.Program{Name: "p", New: func(*settings.Settings, io.Writer) (program.Server, error) {
			return nil, settings.Errors{{Key: "relay", Rule: "is not for this program"}}
		}}
		Expect(rejecting.RunCommand(context.Background(), nil, []string{"-settings", file}, io.Discard, &stderr)).To(Equal(program.ExitUsage))
		Expect(stderr.String()).To(ContainSubstring("relay: is not for this program"))
	})
})
