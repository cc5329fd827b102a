package calls

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
)

// digest identifies a request by its content, since a request that crashes targets is
// sent again under a new id.
func (re Request) digest() uint64 {
	di := xxhash.New()
	for _, part := range []string{re.Method, re.Host, re.URI, string(re.Body)} {
		_, _ = di.WriteString(part) // never returns an error
		_, _ = di.Write([]byte{0})
	}
	return di.Sum64()
}

// condemned returns an error if the request crashed too many targets (rule 9).
func (at *attempts) condemned() *core.Error {
	if at.re.Deferred || !at.fo.Losses.Condemned(at.fo.Clock.Now(), at.digest) {
		return nil
	}
	return core.Refuse(core.CodePoison, "requests with this content have crashed targets")
}

// recordHealth records whether an attempt shows its target to be alive, dead, or lost
// while it had the request. Attempts that this entry canceled show nothing.
func (at *attempts) recordHealth(ou outcome, canceled bool) {
	fo, now := at.fo, at.fo.Clock.Now()
	switch {
	case ou.err == nil:
		fo.Losses.RecordAlive(ou.target.ID)
	case canceled:
	case ou.err.Code == core.CodeTargetDown:
		fo.recordDeath(now, ou.target.ID)
	case at.re.Deferred:
	case ou.err.Code == core.CodeTargetLost || ou.err.Code == core.CodeAnswerCut:
		fo.Losses.RecordLoss(now, at.digest, ou.target.ID, xxhash.Sum64String(at.re.ID))
	}
}

// recordDeath counts the pending losses of a dead target and reports them to OnDeath.
func (fo *Forwarder) recordDeath(now time.Time, target string) {
	for _, lo := range fo.Losses.RecordDeath(now, target) {
		logs.Info(fo.Logger, "target lost while it ran a request", "digest", lo.Digest, "target", lo.Target,
			"condemned", fo.Losses.Condemned(now, lo.Digest))
		if fo.OnDeath != nil {
			fo.OnDeath(lo)
		}
	}
}

// Update replaces the list of targets. Targets no longer in it count as dead.
func (fo *Forwarder) Update(all []fleet.Target) {
	now := fo.Clock.Now()
	for _, id := range fo.Balancer.Update(now, all) {
		fo.recordDeath(now, id)
	}
}
