package entry

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"bilberryshelf/core"
	"bilberryshelf/route"
	"bilberryshelf/store"
	"bilberryshelf/wire"
	"bilberryshelf/wire/wireconnect"
)

// dialer bounds how long a dead instance can hold up a connection.
var dialer = &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}

// remote is a guard as the loop knows it.
type remote struct {
	inst   store.Instance
	client wireconnect.GuardServiceClient
	hello  *wire.HelloResponse
	// heard is when the last hello was answered.
	heard  time.Time
	misses int
	mine   *atomic.Int64
	// mineThen is this entry's share of the load in the last hello.
	mineThen int
	health   route.Health
	// chosen says that the target is in this entry's subset.
	chosen bool
	kick   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	// lost ends when the guard or its target stops answering.
	lost     context.Context
	loseNow  context.CancelFunc
	released []string
	// seen is the contact of the last refresh.
	seen *contact
	// used is when a request last went to a target outside of the subset.
	used time.Time
}

// contact is a guard as traffic sees it. It is never changed in place.
type contact struct {
	route.Target
	client    wireconnect.GuardServiceClient
	lost      context.Context
	guardTime time.Time
	heard     time.Time
	// refill is the mean time between two finished requests.
	refill time.Duration
	// silent says that the guard itself has stopped answering.
	silent bool
}

// refresh makes the contact that traffic sees from the next publication on.
func (re *remote) refresh(now time.Time, speed float64) { re.seen = re.contact(now, speed) }

// refresh makes the contact of one remote anew. It runs on the loop.
func (en *Entry) refresh(re *remote) { re.refresh(en.clock.Now(), en.typicalSpeed(re)) }

func (re *remote) contact(now time.Time, speed float64) *contact {
	co := &contact{client: re.client, lost: re.lost, heard: re.heard}
	co.Target = route.Target{
		Name: re.inst.Name, Service: re.inst.Service, Region: re.inst.Region, Domain: re.inst.Domain,
		Addr: re.inst.Addr, State: core.Starting, InFlight: re.mine, InFlightAtReport: re.mineThen,
		TrafficShare: re.health.TrafficShare(now, speed),
	}
	if re.hello == nil {
		return co
	}
	co.State = core.State(re.hello.State)
	if re.inst.State == core.Draining {
		co.State = core.Draining
	}
	if re.misses > 0 {
		co.TrafficShare = 0 // no new work until it answers again
	}
	if re.misses >= mostMisses {
		co.State, co.silent = core.Down, true
	}
	co.Incarnation = re.hello.Incarnation
	co.refill = time.Duration(re.hello.RefillNanos)
	co.Revision, co.Version = re.hello.Revision, re.hello.Version
	co.Capacity, co.Reported = int(re.hello.Capacity), int(re.hello.InFlight)
	co.guardTime = time.Unix(0, re.hello.GuardTimeNanos)
	return co
}

// deadline is the time, in the guard's clock, until which an attempt sent now
// may start. It is reckoned from the guard's time in its last answer, which
// its clock has passed since; so the deadline is never later than meant.
func (co *contact) deadline(now time.Time, within time.Duration) time.Time {
	return co.guardTime.Add(now.Sub(co.heard)).Add(within)
}

const (
	// mostMisses is how many hellos in a row may fail before a target counts
	// as down.
	mostMisses = 3
	// missedPause is the time until a hello follows one that was missed.
	missedPause = 250 * time.Millisecond
)

// readList takes in the platform's list of instances. The list lags, so a
// target that leaves it is only let go once it no longer answers either.
func (en *Entry) readList(ctx context.Context) {
	instances, err := en.list.Fetch(ctx)
	if err != nil {
		en.meters.Count("platform-errors", "list", 1)
		level.Warn(en.logger).Log("event", "list-not-read", "err", err)
		return
	}
	en.loop.Do(func() {
		en.instances = instances
		en.meetEntries()
		en.meetTargets(ctx)
		en.publish()
	})
}

func (en *Entry) meetEntries() {
	for _, in := range en.instances {
		if in.Role == store.RoleEntry && in.Name != en.settings.Name {
			if in.State == core.Draining {
				delete(en.peers, in.Name)
				continue
			}
			en.addPeer(in.Name, in.Addr)
		}
	}
	en.setPeers()
}

// meetTargets deals out the targets and starts or stops the hellos.
func (en *Entry) meetTargets(ctx context.Context) {
	listed := map[string]store.Instance{}
	for _, in := range en.instances {
		if in.Role == store.RoleGuard {
			listed[in.Name] = in
		}
	}
	chosen := en.subset(listed)
	for na := range chosen {
		en.meet(ctx, listed[na], true)
	}
	for na, re := range en.remotes {
		in, found := listed[na]
		if found {
			re.inst.State = in.State
		}
		if !chosen[na] && !en.keeps(re, found) {
			en.part(na)
		}
	}
}

// subset is this entry's share of the listed targets, of each service.
func (en *Entry) subset(listed map[string]store.Instance) map[string]bool {
	byService := map[string][]string{}
	for na, in := range listed {
		byService[in.Service] = append(byService[in.Service], na)
	}
	entries := en.liveEntries()
	chosen := map[string]bool{}
	for _, names := range byService {
		slices.Sort(names)
		for _, na := range route.Subset(names, entries, en.settings.Name, en.settings.Limits.SubsetSize) {
			chosen[na] = true
		}
	}
	return chosen
}

// keeps reports whether a target outside of the subset is kept: one that left
// the list and still answers, or one that was the home of a key lately.
func (en *Entry) keeps(re *remote, listed bool) bool {
	if re.chosen {
		return !listed && re.misses < mostMisses
	}
	return en.clock.Now().Sub(re.used) < passiveHold
}

// passiveHold is how long a target outside of the subset is remembered after
// its last request. It is not greeted at a pace, only when it is needed.
const passiveHold = time.Minute

// meet starts the hellos to a target, anew if it has moved. It runs on the
// loop.
func (en *Entry) meet(ctx context.Context, in store.Instance, chosen bool) *remote {
	re := en.remotes[in.Name]
	if re != nil && re.inst.Addr == in.Addr {
		re.inst, re.used = in, en.clock.Now()
		if chosen && !re.chosen {
			re.chosen = true
			go en.helloLoop(re.ctx, re)
		}
		return re
	}
	if re != nil {
		en.part(in.Name)
	}
	hctx, cancel := context.WithCancel(ctx)
	re = &remote{
		inst: in, chosen: chosen, mine: &atomic.Int64{}, ctx: hctx, cancel: cancel, used: en.clock.Now(),
		kick:   make(chan struct{}, 1),
		client: wireconnect.NewGuardServiceClient(en.inner, "http://"+in.Addr, en.clientOptions()...),
	}
	re.lost, re.loseNow = context.WithCancel(context.Background())
	en.remotes[in.Name] = re
	en.refresh(re)
	if chosen {
		go en.helloLoop(hctx, re)
	}
	return re
}

func (en *Entry) part(name string) {
	re := en.remotes[name]
	if re == nil {
		return
	}
	re.cancel()
	delete(en.remotes, name)
}

// reach finds a contact that was heard from lately, greeting its guard first
// if it is not in this entry's subset.
func (en *Entry) reach(ctx context.Context, target string) (*contact, bool) {
	var (
		re    *remote
		known bool
	)
	en.loop.Do(func() {
		if re = en.remotes[target]; re == nil {
			re = en.meetListed(target)
		}
		if re != nil {
			re.used = en.clock.Now()
			known = re.hello != nil && (re.chosen || re.used.Sub(re.heard) < passiveFresh)
		}
	})
	if re == nil {
		return nil, false
	}
	if !known {
		en.hello(ctx, re)
	}
	co := en.view.Load().remotes[target]
	return co, co != nil && co.Incarnation != 0
}

// clientOptions are those of all inner clients. What is worth compressing is
// compressed already.
func (en *Entry) clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithInterceptors(bearer(en.nodeKey)),
		connect.WithAcceptCompression("gzip", nil, nil),
	}
}

// passiveFresh is how old the last hello of a target outside of the subset may
// be before it is greeted again.
const passiveFresh = 2 * time.Second

// meetListed meets a target that is on the list, without greeting it at a
// pace. It runs on the loop.
func (en *Entry) meetListed(target string) *remote {
	for _, in := range en.instances {
		if in.Name == target && in.Role == store.RoleGuard {
			return en.meet(en.ctx, in, false)
		}
	}
	return nil
}

// bearer adds the nodes' token to every call.
func bearer(key string) connect.Interceptor {
	return &bearerInterceptor{key: "Bearer " + key}
}

type bearerInterceptor struct{ key string }

// WrapUnary adds the token to a unary call.
func (be *bearerInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set("Authorization", be.key)
		return next(ctx, req)
	}
}

// WrapStreamingClient adds the token to a stream.
func (be *bearerInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", be.key)
		return conn
	}
}

// WrapStreamingHandler leaves the serving side as it is.
func (be *bearerInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
