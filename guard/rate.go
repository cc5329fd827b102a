package guard

import (
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"bilberryshelf/core"
	"bilberryshelf/engine"
	"bilberryshelf/fleet"
	"bilberryshelf/quota"
)

// rateLimit keeps requests within the rate that the target announces. All requests to it pass
// through this guard, so no other process has a part in it. It is safe for concurrent use.
type rateLimit struct {
	limits quota.Limits
	issuer quota.Issuer
}

// incarnation returns the target as the limits know it: a limit ends with a restart. It runs
// on the loop.
func (gu *Guard) incarnation() fleet.Target {
	return fleet.Target{ID: gu.settings.Target + " " + gu.health.StartID}
}

// admit takes a permit for a request, or refuses it with the time until there is one.
func (rl *rateLimit) admit(now time.Time, ta fleet.Target) *core.Error {
	li := rl.limits.Limit(ta)
	if li == 0 {
		return nil
	}
	gr := rl.issuer.Issue(now, "", quota.Ask{Target: ta, Limit: li, Counts: map[int]int{0: 1}}, quota.Primary)
	if gr.Counts[0] > 0 {
		return nil
	}
	return core.Refuse(core.CodeTargetLimit, "the target takes %v requests per second", float64(li)).WithRetryAfter(gr.RetryAfter)
}

// logTo has changes of the limit logged, and texts that are no limit.
func (rl *rateLimit) logTo(lg log.Logger) {
	rl.limits.OnChange = func(_ fleet.Target, was, is quota.Limit) {
		level.Info(lg).Log("event", "target-limit", "per-second", float64(is), "before", float64(was))
	}
	rl.limits.OnMalformed = func(_ fleet.Target, text string) {
		level.Warn(lg).Log("event", "target-limit-malformed", "text", text)
	}
}

// observe records what a response says about the target's limit.
func (rl *rateLimit) observe(ta fleet.Target, sentAt time.Time, header http.Header) {
	rl.limits.Observe(ta, sentAt, quota.ParseReading(header.Get(engine.RateLimitHeader)))
}
