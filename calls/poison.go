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
	if !at.ca.Losses.Condemned(at.ca.Clock.Now(), at.digest) {
		return nil
	}
	return core.Refuse(core.CodePoison, "requests with this content have crashed targets")
}

// judge records what an attempt says of its target: that it lives, that it is
// dead, or that it broke off while it had the request. Attempts that were dropped
// here say nothing.
func (at *attempts) judge(ou outcome, dropped bool) {
	ca, now := at.ca, at.ca.Clock.Now()
	switch {
	case ou.err == nil:
		ca.Losses.Lives(ou.target.ID)
	case dropped:
	case ou.err.Code == core.CodeTargetDown:
		ca.died(now, ou.target.ID)
	case ou.err.Code == core.CodeTargetLost || ou.err.Code == core.CodeAnswerCut:
		ca.Losses.Lost(now, at.digest, ou.target.ID, xxhash.Sum64String(at.re.ID))
	}
}

// died counts the losses of a target that is dead, and tells them.
func (ca *Caller) died(now time.Time, target string) {
	for _, lo := range ca.Losses.Died(now, target) {
		logs.Info(ca.Logger, "target lost by a request", "digest", lo.Digest, "target", lo.Target,
			"condemned", ca.Losses.Condemned(now, lo.Digest))
		if ca.Tell != nil {
			ca.Tell(lo)
		}
	}
}

// Update takes the targets as they are known now. Those that are gone are dead.
func (ca *Caller) Update(all []fleet.Target) {
	for _, id := range ca.Board.Update(all) {
		ca.died(ca.Clock.Now(), id)
	}
}
