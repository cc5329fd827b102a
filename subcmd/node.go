package subcmd

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"bilberryshelf/boot"
	"bilberryshelf/logs"
	"bilberryshelf/meter"
	"bilberryshelf/setup"
)

// nodeFlags are the flags of the node-entry and node-guard commands.
type nodeFlags struct {
	Settings string `long:"settings" required:"yes" env:"BILBERRYSHELF_SETTINGS" description:"the settings file"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"the least level that is logged"`
}

// run reads the settings, builds the daemon and serves until a stop signal. On
// SIGHUP it reads and checks the settings file again and logs whether it
// changed; changes take effect at the next start.
func (no nodeFlags) run(read func(string) (setup.NodeSettings, error), build func(setup.NodeSettings, log.Logger, *meter.Set) (boot.Daemon, error)) error {
	me := &meter.Set{}
	wr := logs.New(os.Stdout, me)
	defer wr.Close()
	lg := log.With(wr.Logger(), "at", log.DefaultTimestampUTC)
	lg = level.NewFilter(lg, level.Allow(level.ParseDefault(no.LogLevel, level.InfoValue())))
	se, err := read(no.Settings)
	if err != nil {
		logs.Error(lg, "invalid settings", "file", no.Settings, "err", err)
		return withExitCode(ExitUsage, err)
	}
	lg = log.With(lg, "node", se.Name)
	logs.RedirectStandard(lg)
	logs.Info(lg, "starting", "domain", se.Place.FailureDomain, "memory", int64(se.Instance.Memory), "cores", se.Instance.Cores)
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	go func() {
		for range hups {
			reread, err := read(no.Settings)
			logs.Info(lg, "settings file checked again", "changed", reread != se, "err", err)
		}
	}()
	da, err := build(se, lg, me)
	if err != nil {
		logs.Error(lg, "start failed", "err", err)
		return err
	}
	err = runDaemon(da)
	logs.Info(lg, "ended", "err", err)
	return err
}

type nodeEntryCommand struct {
	nodeFlags
}

// Execute runs an entry on the platform.
func (co *nodeEntryCommand) Execute([]string) error {
	return co.run(setup.ReadNodeEntry, boot.NodeEntry)
}

type nodeGuardCommand struct {
	nodeFlags
}

// Execute runs a guard on the platform.
func (co *nodeGuardCommand) Execute([]string) error {
	return co.run(setup.ReadNodeGuard, boot.NodeGuard)
}
