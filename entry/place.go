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

// place is where an attempt goes.
type place struct {
	contact *contact
	loan    loan.Loan
	alone   bool
}

// place chooses the target of an attempt.
func (en *Entry) place(ctx context.Context, ch *chase) (place, *core.Error) {
	vi, rq := en.view.Load(), ch.rq
	if bad, known := vi.poison[rq.digest]; known && en.clock.Now().Before(bad.Expires) {
		switch bad.State {
		case poison.Condemned:
			return place{}, core.Refuse(core.CodePoison, "this request crashes the targets that run it").
				WithRetryAfter(bad.Expires.Sub(en.clock.Now()))
		case poison.Suspect:
			return en.placeAlone(vi, ch)
		}
	}
	if rq.keyed {
		return en.placeHome(ctx, vi, rq)
	}
	return en.placeAny(vi, rq, ch.tried)
}

func (en *Entry) placeAny(vi *view, rq *request, tried []string) (place, *core.Error) {
	ta, er := route.Choose(vi.route, route.Query{
		Service: rq.service, Region: en.settings.Place.Region, Tried: tried, Prefix: rq.prefix, MinVersion: rq.least, RequireHealthy: rq.sample,
		Allowed: func(name string) bool { return slices.Contains(rq.loan.Targets, name) },
		IntN:    rand.IntN,
		UseLink: func() bool { return en.link == nil || en.link.AllowN(en.clock.Now(), linkCost(rq)) },
	})
	if er != nil {
		return place{}, er
	}
	return place{contact: vi.remotes[ta.Name], loan: rq.loan}, nil
}

const (
	// answerGuess is the bytes of an answer, for the budget of the link.
	answerGuess = 16 << 10
)

func linkCost(rq *request) int { return len(rq.body) + answerGuess }

// placeAlone sends a suspect to one target, the same at every entry, where
// nothing else runs at the time.
func (en *Entry) placeAlone(vi *view, ch *chase) (place, *core.Error) {
	rq := ch.rq
	var names []string
	for _, ta := range vi.route.Targets {
		if ta.Service == rq.service && ta.State == core.Serving && slices.Contains(rq.loan.Targets, ta.Name) {
			names = append(names, ta.Name)
		}
	}
	owner := core.Owner(string(digestKey(rq.digest)), names)
	if owner == "" {
		return place{}, core.Refuse(core.CodeNoTarget, "no target of %s serves", rq.service)
	}
	ch.plan.Pinned = true
	return place{contact: vi.remotes[owner], loan: rq.loan, alone: true}, nil
}

func digestKey(digest uint64) []byte {
	raw := make([]byte, 8)
	for at := range raw {
		raw[at] = byte(digest >> (8 * at))
	}
	return raw
}

// placeHome finds the home of a caller's key. A former home that may know the
// key is asked first: if it never saw the key it forbids it and the present
// home may run it; if it knows the key, it has the answer.
func (en *Entry) placeHome(ctx context.Context, vi *view, rq *request) (place, *core.Error) {
	now := en.clock.Now()
	hold := en.settings.Timing.KeyHold.Std()
	homes := vi.book.Homes(rq.tenant, rq.service, rq.key, now, hold)
	for _, former := range homes[1:] {
		state, co := en.settleKey(ctx, former, rq.key)
		switch state {
		case "forbidden":
		case "running", "ran":
			return place{contact: co, loan: rq.loan}, nil
		default:
			return place{}, core.InDoubt(core.CodeKeyHomeGone, "target %s may have run this key and does not say", former)
		}
	}
	home := homes[0]
	if home == "" {
		return place{}, core.Refuse(core.CodeNoLoan, "%s has no loan of %s", rq.tenant, rq.service)
	}
	lo, er := vi.book.FindByTarget(rq.tenant, home, now)
	if er != nil {
		return place{}, er
	}
	co, found := en.reach(ctx, home)
	if !found || co.silent {
		return place{}, core.InDoubt(core.CodeKeyHomeGone, "target %s, the home of this key, does not answer", home)
	}
	if co.Load() >= co.Capacity {
		// It is refused at once: a home that hangs must not fill the gate.
		return place{}, core.Refuse(core.CodeQueueWait, "target %s, the home of this key, is full", home).
			WithRetryAfter(co.refill)
	}
	return place{contact: co, loan: lo}, nil
}

func (en *Entry) settleKey(ctx context.Context, target, key string) (string, *contact) {
	co, found := en.reach(ctx, target)
	if !found {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, en.settings.Timing.SettleTimeout.Std())
	defer cancel()
	until := co.deadline(en.clock.Now(), en.settings.Timing.KeyHold.Std())
	res, err := co.client.Settle(ctx, &wire.SettleRequest{Key: key, Incarnation: co.Incarnation, ForbidUntilNanos: until.UnixNano()})
	if err != nil {
		return "", nil
	}
	return res.State, co
}
