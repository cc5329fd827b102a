package entry

import (
	"context"
	"maps"
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

// dialer limits the time that a dial to a dead instance takes.
var dialer = &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}

// remote is the loop's state of one guard and its target.
type remote struct {
	inst   store.Instance
	client wireconnect.GuardServiceClient
	hello  *wire.HelloResponse
	// helloAt is the time of the last answered hello.
	helloAt  time.Time
	misses   int
	inFlight *atomic.Int64
	// inFlightAtHello is inFlight at the time of the last answered hello.
	inFlightAtHello int
	health          route.Health
	// inSubset reports whether the target is in this entry's subset.
	inSubset bool
	helloNow chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	// lost is canceled when the guard or its target stops answering.
	lost       context.Context
	cancelLost context.CancelFunc
	// released holds the keys of the samples that the guard may delete; the next
	// hello sends them.
	released []string
	// current is the endpoint as of the last refresh.
	current *endpoint
	// lastUsed is when a request last needed a target outside of the subset.
	lastUsed time.Time
}

// endpoint is the snapshot of a remote that request goroutines read. It is
// immutable.
type endpoint struct {
	route.Target
	client    wireconnect.GuardServiceClient
	lost      context.Context
	guardTime time.Time
	helloAt   time.Time
	// completionInterval is the mean time between two completed requests.
	completionInterval time.Duration
	// unresponsive reports whether the guard itself has stopped answering.
	unresponsive bool
}

// refresh rebuilds the endpoint that the next view contains.
func (re *remote) refresh(now time.Time, speed float64) { re.current = re.endpoint(now, speed) }

// refresh rebuilds the endpoint of one remote. It runs on the loop.
func (en *Entry) refresh(re *remote) { re.refresh(en.clock.Now(), en.medianSpeed(re)) }

func (re *remote) endpoint(now time.Time, speed float64) *endpoint {
	ep := &endpoint{client: re.client, lost: re.lost, helloAt: re.helloAt}
	ep.Target = route.Target{
		Name: re.inst.Name, Service: re.inst.Service, Region: re.inst.Region, Domain: re.inst.Domain,
		Addr: re.inst.Addr, State: core.Starting, InFlight: re.inFlight, InFlightAtReport: re.inFlightAtHello,
		TrafficShare: re.health.TrafficShare(now, speed),
	}
	if re.hello == nil {
		return ep
	}
	ep.State = core.State(re.hello.State)
	if re.inst.State == core.Draining {
		ep.State = core.Draining
	}
	if re.misses > 0 {
		ep.TrafficShare = 0 // no new requests until it answers again
	}
	if re.misses >= maxMisses {
		ep.State, ep.unresponsive = core.Down, true
	}
	ep.Incarnation = re.hello.Incarnation
	ep.completionInterval = time.Duration(re.hello.RefillNanos)
	ep.Revision, ep.Version = re.hello.Revision, re.hello.Version
	ep.Capacity, ep.Reported = int(re.hello.Capacity), int(re.hello.InFlight)
	ep.guardTime = time.Unix(0, re.hello.GuardTimeNanos)
	return ep
}

// deadline returns the time, on the guard's clock, by which an attempt sent now
// must start. It is computed from the guard's time in its last hello response.
// The guard's clock was past that time when the response arrived, so the deadline
// is never later than intended.
func (ep *endpoint) deadline(now time.Time, within time.Duration) time.Time {
	return ep.guardTime.Add(now.Sub(ep.helloAt)).Add(within)
}

const (
	// maxMisses is the number of consecutive failed hellos after which a target
	// counts as down.
	maxMisses = 3
	// missedHelloDelay is the delay of the next hello after a missed one.
	missedHelloDelay = 250 * time.Millisecond
)

// readList reads the platform's list of instances. The list lags, so a target
// that disappears from it is removed only once it has stopped answering, too.
func (en *Entry) readList(ctx context.Context) {
	instances, err := en.lister.Fetch(ctx)
	if err != nil {
		en.meters.Count("platform-errors", "list", 1)
		level.Warn(en.logger).Log("event", "list-not-read", "err", err)
		return
	}
	en.loop.Do(func() {
		en.instances = instances
		en.updatePeers()
		en.updateTargets(ctx)
		en.publish()
	})
}

// updatePeers adds the listed entries and removes those that drain. Views share the map, so
// it is replaced instead of modified.
func (en *Entry) updatePeers() {
	next := maps.Clone(en.peers)
	for _, in := range en.instances {
		switch {
		case in.Role != store.RoleEntry || in.Name == "" || in.Name == en.settings.Name:
		case in.State == core.Draining:
			delete(next, in.Name)
		default:
			next[in.Name] = in.Addr
		}
	}
	en.peers = next
	en.setPeers()
}

// updateTargets determines this entry's subset of the listed targets and starts
// or stops hellos accordingly.
func (en *Entry) updateTargets(ctx context.Context) {
	listed := map[string]store.Instance{}
	for _, in := range en.instances {
		if in.Role == store.RoleGuard {
			listed[in.Name] = in
		}
	}
	chosen := en.subset(listed)
	for na := range chosen {
		en.addRemote(ctx, listed[na], true)
	}
	for na, re := range en.remotes {
		in, found := listed[na]
		if found {
			re.inst.State = in.State
		}
		if !chosen[na] && !en.retains(re, found) {
			en.removeRemote(na)
		}
	}
}

// subset returns this entry's subset of the listed targets of each service.
func (en *Entry) subset(listed map[string]store.Instance) map[string]bool {
	byService := map[string][]string{}
	for na, in := range listed {
		byService[in.Service] = append(byService[in.Service], na)
	}
	entries := en.knownEntries()
	chosen := map[string]bool{}
	for _, names := range byService {
		slices.Sort(names)
		for _, na := range route.Subset(names, entries, en.settings.Name, en.settings.Limits.SubsetSize) {
			chosen[na] = true
		}
	}
	return chosen
}

// retains reports whether a target outside of the subset is kept: it is no longer
// listed but still answers, or it was recently used as the home of a key.
func (en *Entry) retains(re *remote, listed bool) bool {
	if re.inSubset {
		return !listed && re.misses < maxMisses
	}
	return en.clock.Now().Sub(re.lastUsed) < passiveRetention
}

// passiveRetention is how long a target outside of the subset is kept after its
// last request. It gets no periodic hellos, only one when it is needed.
const passiveRetention = time.Minute

// addRemote adds a target, or replaces it if its address has changed, and starts
// the periodic hellos if it is in the subset. It runs on the loop.
func (en *Entry) addRemote(ctx context.Context, in store.Instance, inSubset bool) *remote {
	re := en.remotes[in.Name]
	if re != nil && re.inst.Addr == in.Addr {
		re.inst, re.lastUsed = in, en.clock.Now()
		if inSubset && !re.inSubset {
			re.inSubset = true
			go en.helloLoop(re.ctx, re)
		}
		return re
	}
	if re != nil {
		en.removeRemote(in.Name)
	}
	hctx, cancel := context.WithCancel(ctx)
	re = &remote{
		inst: in, inSubset: inSubset, inFlight: &atomic.Int64{}, ctx: hctx, cancel: cancel, lastUsed: en.clock.Now(),
		helloNow: make(chan struct{}, 1),
		client:   wireconnect.NewGuardServiceClient(en.inner, "http://"+in.Addr, en.clientOptions()...),
	}
	re.lost, re.cancelLost = context.WithCancel(context.Background())
	en.remotes[in.Name] = re
	en.refresh(re)
	if inSubset {
		go en.helloLoop(hctx, re)
	}
	return re
}

func (en *Entry) removeRemote(name string) {
	re := en.remotes[name]
	if re == nil {
		return
	}
	re.cancel()
	delete(en.remotes, name)
}

// freshEndpoint returns the endpoint of a target. If the target is outside of the
// subset and its last hello is older than passiveMaxAge, it sends a hello first.
func (en *Entry) freshEndpoint(ctx context.Context, target string) (*endpoint, bool) {
	var (
		re    *remote
		fresh bool
	)
	en.loop.Do(func() {
		if re = en.remotes[target]; re == nil {
			re = en.addListedRemote(target)
		}
		if re != nil {
			re.lastUsed = en.clock.Now()
			fresh = re.hello != nil && (re.inSubset || re.lastUsed.Sub(re.helloAt) < passiveMaxAge)
		}
	})
	if re == nil {
		return nil, false
	}
	if !fresh {
		en.hello(ctx, re)
	}
	ep := en.view.Load().endpoints[target]
	return ep, ep != nil && ep.Incarnation != 0
}

// clientOptions returns the options of all clients of guards and entries. Books
// are already compressed, so the transport does not compress.
func (en *Entry) clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithInterceptors(bearer(en.nodeToken)),
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(wire.MaxMessageBytes),
	}
}

// passiveMaxAge is the age of the last hello to a target outside of the subset
// after which freshEndpoint sends another.
const passiveMaxAge = 2 * time.Second

// addListedRemote adds a target from the platform's list, without periodic
// hellos. It runs on the loop.
func (en *Entry) addListedRemote(target string) *remote {
	for _, in := range en.instances {
		if in.Name == target && in.Role == store.RoleGuard {
			return en.addRemote(en.ctx, in, false)
		}
	}
	return nil
}

// bearer returns an interceptor that adds the nodes' token to every call.
func bearer(token string) connect.Interceptor {
	return &bearerInterceptor{authorization: "Bearer " + token}
}

type bearerInterceptor struct{ authorization string }

// WrapUnary adds the token to a unary call.
func (be *bearerInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set("Authorization", be.authorization)
		return next(ctx, req)
	}
}

// WrapStreamingClient adds the token to a stream.
func (be *bearerInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", be.authorization)
		return conn
	}
}

// WrapStreamingHandler returns next unchanged, since handlers need no token.
func (be *bearerInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
