package calls

import (
	"context"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

// launchOrWait starts another attempt, or waits until a target with a limited rate can take
// it (rule 11).
func (at *attempts) launchOrWait(ctx context.Context) bool {
	for !at.launch(ctx) {
		if !at.waitForPermit(ctx) {
			return false
		}
	}
	return true
}

// waitForPermit waits before the next search for a target. It returns false if no target
// was left out for lack of a permit, or none is expected in time.
func (at *attempts) waitForPermit(ctx context.Context) bool {
	fo := at.fo
	now := fo.Clock.Now()
	if len(at.limited) == 0 {
		return false
	}
	if at.waitUntil.IsZero() {
		at.waitUntil = now.Add(at.patience())
	}
	if !now.Before(at.waitUntil) {
		return false
	}
	changed := fo.Rates.Changed()
	ta := at.soonestPermit(now)
	at.permitAt = fo.Rates.Claim(now, ta, at.re.ID, at.re.Route.Priority, 1)
	defer fo.Rates.Withdraw(ta, at.re.ID)
	if at.permitAt.After(at.waitUntil) {
		return false
	}
	fo.Balancer.wait(at.service, 1)
	defer fo.Balancer.wait(at.service, -1)
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-fo.Clock.After(min(at.waitUntil.Sub(now), claimInterval)):
		return true
	}
}

func (at *attempts) patience() time.Duration {
	if at.re.Patience > 0 {
		return at.re.Patience
	}
	return at.latencyShare(permitPatience)
}

// soonestPermit returns the target whose issuer expects to have a permit first, at random
// among those for which it is not known.
func (at *attempts) soonestPermit(now time.Time) fleet.Target {
	best := at.limited[at.fo.IntN(len(at.limited))]
	bestAt := at.fo.Rates.PermitAt(now, best)
	for _, ta := range at.limited {
		if permitAt := at.fo.Rates.PermitAt(now, ta); permitAt.Before(bestAt) {
			best, bestAt = ta, permitAt
		}
	}
	return best
}

// limitError returns the error for a request that only targets with limited rates could
// take, with the time until a permit is expected.
func (at *attempts) limitError() *core.Error {
	wait := max(at.permitAt.Sub(at.fo.Clock.Now()), minRetryAfter)
	wait += time.Duration(at.fo.IntN(int(wait)))
	return core.Refuse(core.CodeTargetLimit, "the targets of service %s limit their rates", at.service).WithRetryAfter(wait)
}
