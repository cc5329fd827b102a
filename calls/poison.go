package calls

import (
	"github.com/cespare/xxhash/v2"

	"bilberryshelf/core"
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

// condemned refuses a request that cost too many targets (rule 9).
func (at *attempts) condemned() *core.Error {
	if !at.ca.Losses.Condemned(at.ca.Clock.Now(), at.digest) {
		return nil
	}
	return core.Refuse(core.CodePoison, "requests with this content have cost targets")
}

// lost records that a target broke off while it had the request. Attempts that
// were dropped here say nothing of it.
func (at *attempts) lost(ou outcome, dropped bool) {
	if ou.err == nil || dropped || (ou.err.Code != core.CodeTargetLost && ou.err.Code != core.CodeAnswerCut) {
		return
	}
	ca := at.ca
	lo := ca.Losses.Lost(ca.Clock.Now(), at.digest, ou.target.ID, xxhash.Sum64String(at.re.ID))
	logs.Info(ca.Logger, "target lost by a request", "id", at.re.ID, "digest", lo.Digest, "target", lo.Target,
		"code", ou.err.Code, "condemned", ca.Losses.Condemned(ca.Clock.Now(), at.digest))
	if ca.Tell != nil {
		ca.Tell(lo)
	}
}
