package subcmd

import (
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"bilberryshelf/core"
	"bilberryshelf/entry"
	"bilberryshelf/guard"
	"bilberryshelf/meter"
	"bilberryshelf/server"
	"bilberryshelf/setup"
	"bilberryshelf/store"
)

// daemonFlags are common to both daemons.
type daemonFlags struct {
	Settings string `long:"settings" required:"yes" description:"the settings file"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"the least level that is logged"`
}

func (da daemonFlags) logger() log.Logger {
	lg := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	lg = log.With(lg, "at", log.DefaultTimestampUTC)
	return level.NewFilter(lg, level.Allow(level.ParseDefault(da.LogLevel, level.InfoValue())))
}

func platformOf(pl setup.Platform) (*store.Table, *store.Objects, *store.List) {
	access := func(url string) store.Access {
		return store.Access{URL: url, KeyID: pl.KeyID, Secret: secretOf(pl), Timeout: pl.Timeout.Std()}
	}
	return store.NewTable(access(pl.TablesURL), pl.Table),
		store.NewObjects(access(pl.ObjectsURL), pl.Bucket),
		store.NewList(access(pl.InstancesURL))
}

func secretOf(pl setup.Platform) string {
	if pl.SecretEnv == "" {
		return pl.KeyID
	}
	return os.Getenv(pl.SecretEnv)
}

// part is a daemon that runs until it is stopped and has drained.
type part interface {
	Run() error
	Stop()
	Done() <-chan struct{}
}

// group runs a daemon with its servers. A signal stops the daemon; when it has
// drained, the servers close.
func group(da part, servers ...*server.Server) error {
	var gr run.Group
	gr.Add(da.Run, func(error) {
		da.Stop()
		<-da.Done()
	})
	for _, se := range servers {
		gr.Add(se.Run, se.Close)
	}
	signals := make(chan struct{})
	execute, interrupt := run.SignalHandler(signalContext(signals), os.Interrupt, syscall.SIGTERM)
	gr.Add(execute, func(err error) {
		close(signals)
		interrupt(err)
	})
	err := gr.Run()
	var signal run.SignalError
	if errors.As(err, &signal) {
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
		return exit(ExitUsage, err)
	}
	en, servers, err := newEntry(se, co.logger())
	if err != nil {
		return err
	}
	return group(en, servers...)
}

func newEntry(se setup.Entry, lg log.Logger) (*entry.Entry, []*server.Server, error) {
	tables, objects, list := platformOf(se.Platform)
	en := entry.New(se, core.SystemClock{}, lg, &meter.Set{}, entry.Platform{Tables: tables, Objects: objects, List: list})
	outer := &server.Server{
		Handler: en.Handler(), MaxHeader: int(se.Limits.MaxHeader), MaxConnections: se.Limits.MaxConnections,
		HeaderTimeout: se.Timing.ReadTimeout.Std(),
	}
	inner := &server.Server{Handler: en.InnerHandler(), Plain2: true}
	if err := outer.Listen(se.Listen); err != nil {
		return nil, nil, err
	}
	if err := inner.Listen(se.InnerListen); err != nil {
		return nil, nil, err
	}
	return en, []*server.Server{outer, inner}, nil
}

type guardCommand struct {
	daemonFlags
}

// Execute runs the guard.
func (co *guardCommand) Execute([]string) error {
	se, err := setup.ReadGuard(co.Settings)
	if err != nil {
		return exit(ExitUsage, err)
	}
	gu, servers, err := newGuard(se, co.logger())
	if err != nil {
		return err
	}
	return group(gu, servers...)
}

func newGuard(se setup.Guard, lg log.Logger) (*guard.Guard, []*server.Server, error) {
	tables, objects, _ := platformOf(se.Platform)
	me := &meter.Set{}
	gu := guard.New(se, core.SystemClock{}, lg, me, tables, objects)
	inner := &server.Server{Handler: guardHandler(gu, se, me), Plain2: true}
	if err := inner.Listen(se.Listen); err != nil {
		return nil, nil, err
	}
	return gu, []*server.Server{inner}, nil
}
