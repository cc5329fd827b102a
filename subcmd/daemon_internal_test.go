package subcmd

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/boot"
)

// drainingRunner takes a while to stop.
type drainingRunner struct {
	started, stopping, done chan struct{}
}

func (dr *drainingRunner) Run() error {
	close(dr.started)
	<-dr.done
	return nil
}

func (dr *drainingRunner) Stop() {
	close(dr.stopping)
	time.Sleep(500 * time.Millisecond)
	close(dr.done)
}

func (dr *drainingRunner) Done() <-chan struct{} { return dr.done }

// Guards against requests that are cut off since a second SIGTERM ends the process while it
// drains. Without the fix, the signal ends the test itself.
func TestSecondSignalDoesNotCutTheDrain(t *testing.T) {
	dr := &drainingRunner{started: make(chan struct{}), stopping: make(chan struct{}), done: make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- runDaemon(boot.Daemon{Runner: dr}) }()
	<-dr.started
	signalSelf := func() { require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM)) }
	time.Sleep(100 * time.Millisecond) // the actor for signals starts after the runner
	signalSelf()
	<-dr.stopping
	for range 3 {
		signalSelf()
		time.Sleep(50 * time.Millisecond)
	}
	require.NoError(t, <-ended)
	<-dr.done
}
