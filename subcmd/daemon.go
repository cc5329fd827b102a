package subcmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"bilberryshelf/boot"
	"bilberryshelf/setup"
)

// daemonFlags are the flags of the entry and guard commands.
type daemonFlags struct {
	Settings string `long:"settings" required:"yes" description:"the settings file"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"the least level that is logged"`
}

func (da daemonFlags) logger() log.Logger {
	lg := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	lg = log.With(lg, "at", log.DefaultTimestampUTC)
	return level.NewFilter(lg, level.Allow(level.ParseDefault(da.LogLevel, level.InfoValue())))
}

// runDaemon runs a daemon with its servers. On SIGINT or SIGTERM the daemon
// drains; its servers close afterwards. A second SIGINT ends the process at once.
func runDaemon(da boot.Daemon) error {
	// The actor for signals stops listening after the first one, which would restore the
	// default action: a second SIGTERM would end the process in the middle of its drain.
	ignored := make(chan os.Signal, 1)
	signal.Notify(ignored, syscall.SIGTERM)
	defer signal.Stop(ignored)
	var gr run.Group
	gr.Add(da.Runner.Run, func(error) {
		da.Runner.Stop()
		<-da.Runner.Done()
	})
	for _, se := range da.Servers {
		gr.Add(se.Run, se.Close)
	}
	gr.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err := gr.Run()
	var received run.SignalError
	if errors.As(err, &received) {
		return nil
	}
	return err
}

type entryCommand struct {
	daemonFlags
}

// Execute runs the entry.
func (co *entryCommand) Execute([]string) error {
	se, err := setup.ReadEntry(co.Settings)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	da, err := boot.Entry(se, co.logger())
	if err != nil {
		return err
	}
	return runDaemon(da)
}

type guardCommand struct {
	daemonFlags
}

// Execute runs the guard.
func (co *guardCommand) Execute([]string) error {
	se, err := setup.ReadGuard(co.Settings)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	da, err := boot.Guard(se, co.logger())
	if err != nil {
		return err
	}
	return runDaemon(da)
}
