package calls

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
)

// digest names a request by its content: what makes it crash a target comes
// again under another id.
func (re Request) digest() uint64 {
	di := xxhash.New()
	for _, part := range []string{re.Method, re.Host, re.URI, string(re.Body)} {
		_, _ = di.WriteString(part) // a digest takes any bytes
		_, _ = di.Write([]byte{0})
	}
	return di.Sum64()
}

// condemned refuses a request that crashed too many targets (rule 9).
func (at *attempts) condemned() *core.Error {
	if !at.fo.Losses.Condemned(at.fo.Clock.Now(), at.digest) {
		return nil
	}
	return core.Refuse(core.CodePoison, "requests with this content have crashed targets")
}

// recordHealth records what an attempt says of its target: that it lives, that it is
// dead, or that it broke off while it had the request. Attempts that were dropped
// here say nothing.
func (at *attempts) recordHealth(ou outcome, dropped bool) {
	ca, now := at.fo, at.fo.Clock.Now()
	switch {
	case ou.err == nil:
		ca.Losses.RecordAlive(ou.target.ID)
	case dropped:
	case ou.err.Code == core.CodeTargetDown:
		ca.recordDeath(now, ou.target.ID)
	case ou.err.Code == core.CodeTargetLost || ou.err.Code == core.CodeAnswerCut:
		ca.Losses.RecordLoss(now, at.digest, ou.target.ID, xxhash.Sum64String(at.re.ID))
	}
}

// recordDeath counts the losses of a target that is dead, and tells them.
func (ca *Forwarder) recordDeath(now time.Time, target string) {
	for _, lo := range ca.Losses.RecordDeath(now, target) {
		logs.Info(ca.Logger, "target lost by a request", "digest", lo.Digest, "target", lo.Target,
			"condemned", ca.Losses.Condemned(now, lo.Digest))
		if ca.OnDeath != nil {
			ca.OnDeath(lo)
		}
	}
}

// Update takes the targets as they are known now. Those that are gone are dead.
func (ca *Forwarder) Update(all []fleet.Target) {
	for _, id := range ca.Balancer.Update(all) {
		ca.recordDeath(ca.Clock.Now(), id)
	}
}
