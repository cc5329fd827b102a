package boot

import (
	"math"
	"net/http"
	"runtime/debug"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"bilberryshelf/core"
	"bilberryshelf/duty"
	"bilberryshelf/fleet"
	"bilberryshelf/intake"
	"bilberryshelf/limit"
	"bilberryshelf/meter"
	"bilberryshelf/order"
	"bilberryshelf/platform"
	"bilberryshelf/quota"
	"bilberryshelf/relay"
	"bilberryshelf/server"
	"bilberryshelf/setup"
	"bilberryshelf/strict"
	"bilberryshelf/table"
	"bilberryshelf/wire"
	"bilberryshelf/wire/wireconnect"
)

const (
	// memoryLimitShare is the share of the instance's memory above which the garbage
	// collector runs more often. The rest is for stacks, buffers and unread bytes.
	memoryLimitShare = 0.6
	// minJobCores is the number of cores below which an entry leaves jobs to other entries:
	// a job takes 0.05 cores, an entry may run the jobs of all routes, and all jobs of a
	// step start at once.
	minJobCores = 0.5
	// maxBodyShare is the share of the instance's memory that the bodies of requests may
	// take, and that those of responses may take while they are read. It is small because
	// a job is also held decoded, encoded and in the text of a call.
	maxBodyShare = 0.125
	// maxTextShare is the share of the instance's memory that the texts of items may take until
	// their results are written.
	maxTextShare = 0.2
	// callerShare and peerShare are the shares of the instance's memory that the connections
	// of callers, and those of all others, may take with the heads of their requests.
	callerShare = 0.25
	peerShare   = 0.125
	// callerConnShare and peerConnShare are the shares of the descriptors that the same
	// connections may take, but for fileDescriptors, which are for files. Each request of a
	// caller may need another one, for its target.
	callerConnShare = 0.35
	peerConnShare   = 0.2
	fileDescriptors = 200
	// receiveBuffer is the size of the system's buffer for what a connection of a caller has
	// received, in bytes. What a caller sends before its request is served stays there.
	receiveBuffer = 16 << 10
	// sendBuffer is the size of the system's send buffer of a connection, in bytes. One that
	// the system grows to 4 MiB hid the progress of a reader of 200 KB/s for 7 s.
	sendBuffer = 128 << 10
	// gcPercent keeps the heap small, because the cost of memory depends on its peak.
	gcPercent = 50
)

// limitMemory sets the limits of the garbage collector for the instance's memory.
func limitMemory(in setup.Instance) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(in.Memory)))
	debug.SetGCPercent(gcPercent)
}

// NodeEntry builds an entry on the platform.
func NodeEntry(se setup.NodeSettings, lg log.Logger, me *meter.Set) (Daemon, error) {
	limitMemory(se.Instance)
	limits := responseLimits(se)
	departures, rates := &fleet.Departures{}, &quota.Limits{}
	store, targets := platform.NewStore(se.Store.Address).WithLimits(limits), platform.NewTargets().WithLimits(limits).WithDepartures(departures).WithRates(rates)
	inner := &http.Client{Transport: strict.New(innerTransport())}
	en := intake.New(intake.Settings{
		Node: se.Name, Region: se.Place.Region, Domain: se.Place.FailureDomain, Inner: se.Listen.Inner, Grace: se.Timing.Grace.Std(),
		LowCapacity: se.Instance.Cores < minJobCores, MaxBodyBytes: int64(maxBodyShare * float64(se.Instance.Memory)),
		MaxTextBytes: int64(maxTextShare * float64(se.Instance.Memory)),
		Duties:       dutySettings(se), FirstStart: se.Start.First,
	}, intake.Ports{
		Duties: platform.NewDuties(se.Duties.Address, se.Name).WithRate(se.Duties.CallsPerSecond),
		Direct: store, Sender: targets, Streamer: targets, Engine: targets, Departures: departures, Rates: rates,
		Dial: func(addr string) table.Client { return relay.NewClient(inner, addr) },
		Starter: func(addr string) intake.Starter {
			return wireconnect.NewJobServiceClient(inner, "http://"+addr, connect.WithReadMaxBytes(wire.MaxMessageBytes))
		},
		Issuer: func(addr string) intake.Issuer {
			return wireconnect.NewQuotaServiceClient(inner, "http://"+addr, connect.WithReadMaxBytes(wire.MaxMessageBytes))
		},
		Origins: func(addr string) intake.OriginClient {
			return wireconnect.NewOriginServiceClient(inner, "http://"+addr, connect.WithReadMaxBytes(wire.MaxMessageBytes))
		},
		Configs: func(addr string) intake.ConfigPeer {
			return wireconnect.NewConfigServiceClient(inner, "http://"+addr, connect.WithReadMaxBytes(wire.MaxMessageBytes))
		},
	}, intake.Decoders{
		OperatorTable: platform.OperatorTable, TargetTable: platform.TargetTable,
		Config: platform.DecodeConfig, Target: platform.DecodeTarget, Version: platform.DecodeVersion,
	}, core.SystemClock{}, lg, me)
	handler := &platform.Handler{Service: en, Logger: lg, Meters: me, Held: targets.Held()}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewTableServiceHandler(relay.Service{Direct: store}, connect.WithReadMaxBytes(wire.MaxMessageBytes)))
	mux.Handle(wireconnect.NewJobServiceHandler(en, connect.WithReadMaxBytes(wire.MaxMessageBytes)))
	mux.Handle(wireconnect.NewQuotaServiceHandler(en, connect.WithReadMaxBytes(wire.MaxMessageBytes)))
	mux.Handle(wireconnect.NewOriginServiceHandler(en, connect.WithReadMaxBytes(wire.MaxMessageBytes)))
	mux.Handle(wireconnect.NewConfigServiceHandler(en.ConfigPeer(), connect.WithReadMaxBytes(wire.MaxMessageBytes)))
	callers := &server.Server{
		Handler: handler, Refuse: handler.Refuse, Meters: me, Logger: lg, CurrentLimits: func() server.Limits { return callerLimits(en) },
		Conns: connBudget(se.Instance, callerShare, callerConnShare), SendBuffer: sendBuffer, ReceiveBuffer: receiveBuffer,
		ShutdownTimeout: se.Timing.Grace.Std(), // the entry ends all requests before
	}
	peers := connBudget(se.Instance, peerShare, peerConnShare)
	internal := func(handler http.Handler) *server.Server {
		return &server.Server{Handler: handler, Meters: me, Logger: lg, Limits: innerLimits, Conns: peers}
	}
	return newDaemon(en, map[string]*server.Server{
		se.Listen.Callers: callers, se.Listen.Readiness: internal(handler), se.Listen.Inner: internal(mux), se.Listen.Metrics: internal(metricsHandler(me)),
	})
}

// callerLimits returns the limits of the configuration in force.
func callerLimits(en *intake.Entry) server.Limits {
	li, isKnown := en.Limits()
	return server.Limits{MaxHeader: li.MaxHeader, HeaderTimeout: li.HeaderTimeout, IdleTimeout: li.IdleTimeout, AreFinal: isKnown}
}

// connBudget returns the bound of connections that may take shares of the instance's memory and
// of its descriptors.
func connBudget(in setup.Instance, memoryShare, connShare float64) *limit.ConnBudget {
	descriptors := in.Descriptors
	if descriptors == 0 {
		var rlimit unix.Rlimit
		if unix.Getrlimit(unix.RLIMIT_NOFILE, &rlimit) == nil && rlimit.Cur < math.MaxInt32 { // without a limit, memory bounds them
			descriptors = int(rlimit.Cur)
		}
	}
	return &limit.ConnBudget{
		MaxBytes: int64(memoryShare * float64(in.Memory)),
		MaxConns: int(connShare * float64(max(descriptors-fileDescriptors, 0))),
	}
}

// dutySettings returns the settings of the duties.
func dutySettings(se setup.NodeSettings) intake.DutySettings {
	du := se.Duties.WithDefaults()
	return intake.DutySettings{
		Instance: duty.InstanceID(se.Name, se.Listen.Inner), Lease: du.Lease.Std(),
		Usage: du.Has(setup.DutyUsage), Autoscale: du.Has(setup.DutyAutoscale),
		ReportWindow: du.ReportWindow.Std(), ReportDue: du.ReportDue.Std(),
	}
}

// responseLimits returns the limits on responses of an instance.
func responseLimits(se setup.NodeSettings) platform.ResponseLimits {
	li := se.Limits
	return platform.ResponseLimits{
		Head: int64(li.MaxHead), Body: int64(li.MaxBody), Event: int64(li.MaxEvent), Text: int64(li.MaxText), Page: int64(li.MaxPage),
		Buffered: int64(maxBodyShare * float64(se.Instance.Memory)), Sent: int64(li.MaxHeldBytes),
	}
}

// NodeGuard builds the guard of an engine on the platform.
func NodeGuard(se setup.NodeSettings, lg log.Logger, me *meter.Set) (Daemon, error) {
	limitMemory(se.Instance)
	gu := &order.Guard{
		Name: se.Name, Addr: se.Engine.Address, Service: se.Engine.Service,
		Client: platform.NewEngine(se.Engine.Address), Store: platform.NewStore(se.Store.Address).WithLimits(responseLimits(se)),
		Clock: core.SystemClock{}, Logger: lg, Meters: me,
		OperatorTable: platform.OperatorTable, TargetTable: platform.TargetTable,
		DecodeConfig: platform.DecodeConfig, DecodeVersion: platform.DecodeVersion, DecodeTarget: platform.DecodeTarget,
	}
	return newDaemon(order.NewRunner(gu), map[string]*server.Server{se.Listen.Metrics: {
		Handler: metricsHandler(me), Meters: me, Logger: lg, Limits: innerLimits, Conns: connBudget(se.Instance, peerShare, peerConnShare),
	}})
}

func metricsHandler(me *meter.Set) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", me)
	return mux
}

// newDaemon listens on the address of each server.
func newDaemon(ru Runner, servers map[string]*server.Server) (Daemon, error) {
	da := Daemon{Runner: ru}
	for addr, se := range servers {
		if err := se.Listen(addr); err != nil {
			return Daemon{}, err
		}
		da.Servers = append(da.Servers, se)
	}
	return da, nil
}

// maxIdlePeerConns is the maximum number of idle connections to one peer.
const maxIdlePeerConns = 2

func innerTransport() *http.Transport {
	tr := http.DefaultTransport.(*http.Transport).Clone()
	tr.Proxy, tr.MaxIdleConnsPerHost, tr.DisableCompression = nil, maxIdlePeerConns, true
	tr.MaxResponseHeaderBytes = wire.MaxHeadBytes
	return tr
}
