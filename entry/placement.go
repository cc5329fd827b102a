package entry

import (
	"context"
	"math/rand/v2"
	"slices"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/poison"
	"bilberryshelf/route"
	"bilberryshelf/wire"
)

// placement is the target of an attempt and the loan that permits it. alone
// means that nothing else may run at the target meanwhile.
type placement struct {
	endpoint *endpoint
	loan     loan.Loan
	alone    bool
}

// placement chooses the target of an attempt.
func (en *Entry) placement(ctx context.Context, rs *retryState) (placement, *core.Error) {
	vi, rq := en.view.Load(), rs.rq
	if bad, known := vi.poison[rq.digest]; known && !rq.sample && en.clock.Now().Before(bad.Expires) {
		switch bad.State {
		case poison.Condemned:
			return placement{}, core.Refuse(core.CodePoison, "this request crashes the targets that run it").
				WithRetryAfter(bad.Expires.Sub(en.clock.Now()))
		case poison.Suspect:
			return en.placeAlone(vi, rs)
		}
	}
	if rq.keyed {
		return en.placeHome(ctx, vi, rq)
	}
	return en.placeAny(vi, rq, rs.tried)
}

func (en *Entry) placeAny(vi *view, rq *request, tried []string) (placement, *core.Error) {
	ta, er := route.Choose(vi.route, route.Query{
		Service: rq.service, Region: en.settings.Place.Region, Tried: tried, Prefix: rq.prefixHash, MinVersion: rq.minVersion, RequireHealthy: rq.sample,
		Allowed: func(name string) bool { return slices.Contains(rq.loan.Targets, name) },
		IntN:    rand.IntN,
		UseLink: func() bool { return en.linkLimiter == nil || en.linkLimiter.AllowN(en.clock.Now(), linkCost(rq)) },
	})
	if er != nil {
		return placement{}, er
	}
	return placement{endpoint: vi.endpoints[ta.Name], loan: rq.loan}, nil
}

const (
	// answerEstimate is the assumed size of an answer, in bytes, for linkLimiter.
	answerEstimate = 16 << 10
)

func linkCost(rq *request) int { return len(rq.body) + answerEstimate }

// placeAlone chooses the target of a request suspected of crashing targets: the
// same one at every entry, where the request runs alone.
func (en *Entry) placeAlone(vi *view, rs *retryState) (placement, *core.Error) {
	rq := rs.rq
	var names []string
	for _, ta := range vi.route.Targets {
		if ta.Service == rq.service && ta.State == core.Serving && slices.Contains(rq.loan.Targets, ta.Name) {
			names = append(names, ta.Name)
		}
	}
	owner := core.Owner(string(digestKey(rq.digest)), names)
	if owner == "" {
		return placement{}, core.Refuse(core.CodeNoTarget, "no target serves %s", rq.service)
	}
	rs.plan.Pinned = true
	return placement{endpoint: vi.endpoints[owner], loan: rq.loan, alone: true}, nil
}

func digestKey(digest uint64) []byte {
	raw := make([]byte, 8)
	for at := range raw {
		raw[at] = byte(digest >> (8 * at))
	}
	return raw
}

// placeHome chooses the target of a request with a caller's key: the key's home,
// to which the key is assigned by a hash. Previous homes that may know the key are
// asked first. One that never saw the key forbids it, and the current home can then run
// it safely; one that knows the key has the answer.
func (en *Entry) placeHome(ctx context.Context, vi *view, rq *request) (placement, *core.Error) {
	now := en.clock.Now()
	hold := en.settings.Timing.KeyHold.Std()
	homes := vi.book.Homes(rq.tenant, rq.service, rq.key, now, hold)
	for _, previous := range homes[1:] {
		state, ep := en.settleKey(ctx, previous, rq.key)
		switch state {
		case "forbidden":
		case "running", "ran":
			return placement{endpoint: ep, loan: rq.loan}, nil
		default:
			return placement{}, core.InDoubt(core.CodeKeyHomeGone, "target %s may have run this key and did not report its state", previous)
		}
	}
	home := homes[0]
	if home == "" {
		return placement{}, core.Refuse(core.CodeNoLoan, "%s has no loan of %s", rq.tenant, rq.service)
	}
	lo, er := vi.book.FindByTarget(rq.tenant, home, now)
	if er != nil {
		return placement{}, er
	}
	ep, found := en.freshEndpoint(ctx, home)
	if !found || ep.unresponsive {
		return placement{}, core.InDoubt(core.CodeKeyHomeGone, "target %s, the home of this key, does not answer", home)
	}
	if ep.Load() >= ep.Capacity {
		// Refused without queueing: requests for a home that hangs must not use
		// up the service's admission limit.
		return placement{}, core.Refuse(core.CodeQueueWait, "target %s, the home of this key, is full", home).
			WithRetryAfter(ep.completionInterval)
	}
	return placement{endpoint: ep, loan: lo}, nil
}

// settleKey asks a target for the state of a key, forbidding the key there if it
// is unknown. The state is empty if the target does not answer.
func (en *Entry) settleKey(ctx context.Context, target, key string) (string, *endpoint) {
	ep, found := en.freshEndpoint(ctx, target)
	if !found {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, en.settings.Timing.SettleTimeout.Std())
	defer cancel()
	until := ep.deadline(en.clock.Now(), en.settings.Timing.KeyHold.Std())
	res, err := ep.client.Settle(ctx, &wire.SettleRequest{Key: key, Incarnation: ep.Incarnation, ForbidUntilNanos: until.UnixNano()})
	if err != nil {
		return "", nil
	}
	return res.State, ep
}
