// Package boot builds the daemons and their servers from the settings.
package boot

import (
	"net/http"
	"os"

	"connectrpc.com/connect"
	"github.com/go-kit/log"

	"bilberryshelf/core"
	"bilberryshelf/entry"
	"bilberryshelf/guard"
	"bilberryshelf/limit"
	"bilberryshelf/meter"
	"bilberryshelf/server"
	"bilberryshelf/setup"
	"bilberryshelf/store"
	"bilberryshelf/wire"
	"bilberryshelf/wire/wireconnect"
)

// Runner runs until it is stopped and has drained.
type Runner interface {
	Run() error
	Stop()
	Done() <-chan struct{}
}

// Daemon is a runner with its servers, which listen but do not serve yet.
type Daemon struct {
	Runner  Runner
	Servers []*server.Server
}

// Entry builds an entry. The first server is the one for callers.
func Entry(se setup.Entry, lg log.Logger) (Daemon, error) {
	me := &meter.Set{}
	callers := &server.Server{
		Traffic: me.Traffic("callers"), Meters: me, Logger: lg,
		Limits: server.Limits{MaxHeader: int(se.Limits.MaxHeader), HeaderTimeout: se.Timing.ReadTimeout.Std(), AreFinal: true},
		Conns:  &limit.ConnBudget{MaxBytes: int64(se.Limits.ConnectionMemory), MaxConns: se.Limits.MaxConnections},
	}
	inner := innerServer(se.Limits.InnerConnectionMemory, lg, me)
	if err := callers.Listen(se.Listen); err != nil {
		return Daemon{}, err
	}
	if err := inner.Listen(se.InnerListen); err != nil {
		return Daemon{}, err
	}
	se.InnerListen = inner.Addr() // the entry announces this address to its peers
	tables, objects, list := platformClients(se.Platform)
	en := entry.New(se, core.SystemClock{}, lg, me, entry.Platform{Tables: tables, Objects: objects, Instances: list})
	callers.Handler, inner.Handler = en.Handler(), en.InnerHandler()
	return Daemon{Runner: en, Servers: []*server.Server{callers, inner}}, nil
}

// Guard builds a guard.
func Guard(se setup.Guard, lg log.Logger) (Daemon, error) {
	tables, objects, _ := platformClients(se.Platform)
	me := &meter.Set{}
	gu := guard.New(se, core.SystemClock{}, lg, me, tables, objects)
	inner := innerServer(se.Limits.ConnectionMemory, lg, me)
	inner.Handler = guardHandler(gu, se, me)
	if err := inner.Listen(se.Listen); err != nil {
		return Daemon{}, err
	}
	return Daemon{Runner: gu, Servers: []*server.Server{inner}}, nil
}

// innerServer builds the server of the inner protocol.
func innerServer(memory setup.Size, lg log.Logger, me *meter.Set) *server.Server {
	return &server.Server{
		Traffic: me.Traffic("inner"), Meters: me, Logger: lg, H2C: true,
		Limits: innerLimits, Conns: &limit.ConnBudget{MaxBytes: int64(memory)},
	}
}

// innerLimits bounds requests that do not come from callers.
var innerLimits = server.Limits{MaxHeader: wire.MaxHeadBytes, AreFinal: true}

// guardHandler serves the inner protocol to holders of the node token, and health checks
// and metrics to all.
func guardHandler(gu *guard.Guard, se setup.Guard, me *meter.Set) http.Handler {
	mux := http.NewServeMux()
	path, handler := wireconnect.NewGuardServiceHandler(gu, connect.WithReadMaxBytes(wire.MaxMessageBytes))
	mux.Handle(path, server.RequireToken(se.Token.Secret(), handler))
	mux.Handle("POST "+wire.DispatchPath, server.RequireToken(se.Token.Secret(), gu))
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(out http.ResponseWriter, _ *http.Request) {
		if !gu.Ready() {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", me)
	return mux
}

func platformClients(pl setup.Platform) (*store.Table, *store.Objects, *store.List) {
	access := func(url string) store.Access {
		return store.Access{URL: url, KeyID: pl.KeyID, Secret: secret(pl), Timeout: pl.Timeout.Std()}
	}
	return store.NewTable(access(pl.TablesURL), pl.Table),
		store.NewObjects(access(pl.ObjectsURL), pl.Bucket),
		store.NewList(access(pl.InstancesURL))
}

// secret returns the secret key for the platform. Without secret-env it is KeyID, for a
// platform that does not check keys.
func secret(pl setup.Platform) string {
	if pl.SecretEnv == "" {
		return pl.KeyID
	}
	return os.Getenv(pl.SecretEnv)
}
