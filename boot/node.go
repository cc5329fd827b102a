package boot

import (
	"net/http"
	"runtime/debug"

	"github.com/go-kit/log"

	"bilberryshelf/core"
	"bilberryshelf/intake"
	"bilberryshelf/meter"
	"bilberryshelf/order"
	"bilberryshelf/platform"
	"bilberryshelf/server"
	"bilberryshelf/setup"
	"bilberryshelf/table"
	"bilberryshelf/via"
	"bilberryshelf/wire/wireconnect"
)

const (
	// heapShare is the part of the instance's memory at which the collector works
	// harder; the rest is for stacks, buffers and bytes that are not read yet.
	heapShare = 0.6
	// weakCores is the share of a core below which an entry runs no jobs: one takes
	// a twentieth of a core, an entry may have those of all routes, and a start of a
	// step comes at once.
	weakCores = 0.5
	// bodyShare is the part of the instance's memory that bodies may take as they
	// came: a job is kept decoded, encoded and in the text of a call as well.
	bodyShare = 0.125
	// gcPercent keeps the heap small: memory is paid for by its peak.
	gcPercent = 50
)

// boundMemory sets the collector to the instance's memory.
func boundMemory(in setup.Instance) {
	debug.SetMemoryLimit(int64(heapShare * float64(in.Memory)))
	debug.SetGCPercent(gcPercent)
}

// NodeEntry builds an entry on the platform.
func NodeEntry(se setup.Hosted, lg log.Logger, me *meter.Set) (Daemon, error) {
	boundMemory(se.Instance)
	store, targets := platform.NewStore(se.Store.Address), platform.NewTargets()
	inner := &http.Client{Transport: innerTransport()}
	en := intake.New(intake.Settings{
		Node: se.Name, Region: se.Place.Region, Domain: se.Place.FailureDomain, Inner: se.Listen.Inner, Grace: se.Timing.Grace.Std(),
		Weak: se.Instance.Cores < weakCores, MaxBodyBytes: int64(bodyShare * float64(se.Instance.Memory)),
	}, intake.Ports{
		Direct: store, Sender: targets, Streamer: targets, Engine: targets,
		Dial: func(addr string) table.Client { return via.NewClient(inner, addr) },
		Starter: func(addr string) intake.Starter {
			return wireconnect.NewJobServiceClient(inner, "http://"+addr)
		},
	}, intake.Decoders{
		OperatorTable: platform.OperatorTable, TargetTable: platform.TargetTable,
		Config: platform.DecodeConfig, Target: platform.DecodeTarget, Version: platform.DecodeVersion,
	}, core.SystemClock{}, lg, me)
	front := &platform.Front{Service: en, Logger: lg}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewTableServiceHandler(via.Service{Direct: store}))
	mux.Handle(wireconnect.NewJobServiceHandler(en))
	return daemon(en, map[string]http.Handler{
		se.Listen.Callers: front, se.Listen.Readiness: front, se.Listen.Inner: mux, se.Listen.Metrics: metricsHandler(me),
	})
}

// NodeGuard builds the guard of an engine on the platform.
func NodeGuard(se setup.Hosted, lg log.Logger, me *meter.Set) (Daemon, error) {
	boundMemory(se.Instance)
	gu := &order.Guard{
		Name: se.Name, Addr: se.Engine.Address, Service: se.Engine.Service,
		Client: platform.NewEngine(se.Engine.Address), Store: platform.NewStore(se.Store.Address),
		Clock: core.SystemClock{}, Logger: lg, Meters: me,
		OperatorTable: platform.OperatorTable, TargetTable: platform.TargetTable,
		DecodeConfig: platform.DecodeConfig, DecodeVersion: platform.DecodeVersion, DecodeTarget: platform.DecodeTarget,
	}
	return daemon(order.NewRunner(gu), map[string]http.Handler{se.Listen.Metrics: metricsHandler(me)})
}

func metricsHandler(me *meter.Set) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", me)
	return mux
}

// daemon listens on each address.
func daemon(pa Part, handlers map[string]http.Handler) (Daemon, error) {
	da := Daemon{Part: pa}
	for addr, handler := range handlers {
		se := &server.Server{Handler: handler}
		if err := se.Listen(addr); err != nil {
			return Daemon{}, err
		}
		da.Servers = append(da.Servers, se)
	}
	return da, nil
}

// innerIdle is the number of unused connections kept to a peer.
const innerIdle = 2

func innerTransport() *http.Transport {
	tr := http.DefaultTransport.(*http.Transport).Clone()
	tr.Proxy, tr.MaxIdleConnsPerHost, tr.DisableCompression = nil, innerIdle, true
	return tr
}
