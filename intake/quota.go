package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/fleet"
	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/quota"
	"bilberryshelf/wire"
)

// Issuer asks another entry for permits.
type Issuer interface {
	Permits(ctx context.Context, req *wire.PermitsRequest) (*wire.PermitsResponse, error)
}

const (
	// permitTimeout bounds a call for permits, which the link between regions delays by 60 ms.
	permitTimeout = 150 * time.Millisecond
	// issuerPause is how long the deputy is asked after the issuer did not respond.
	issuerPause = time.Second
)

// limitChanged records that a target announces a limit, another one, or none any more.
func (en *Entry) limitChanged(ta fleet.Target, was, is quota.Limit) {
	en.meters.Gauge("target-limit", ta.ID, int64(60*is))
	logs.Info(en.logger, "limit of a target changed", "id", ta.ID, "service", ta.Service, "addr", ta.Addr, "started", ta.StartedAt,
		"per-second", float64(is), "before", float64(was))
}

func (en *Entry) limitMalformed(ta fleet.Target, text string) {
	logs.Warn(en.logger, "malformed limit of a target ignored", "id", ta.ID, "service", ta.Service, "text", text)
}

// permitTaken counts a request or item that is sent to a target with a limit.
func (en *Entry) permitTaken(ta fleet.Target) { en.meters.Count("limited-requests", ta.ID, 1) }

// askForPermits asks the issuers for the permits that requests and jobs wait for, and
// tells them of limits.
func (en *Entry) askForPermits(ctx context.Context) {
	due := en.rates.Due()
	for {
		now := en.clock.Now()
		asks, next := en.rates.Asks(now)
		for _, as := range asks {
			go en.ask(ctx, as)
		}
		var timer <-chan time.Time
		if !next.IsZero() {
			timer = en.clock.After(next.Sub(now))
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
		case <-timer:
		}
	}
}

// ask sends an Ask to the issuer or, if it does not respond, to its deputy.
func (en *Entry) ask(ctx context.Context, as quota.Ask) {
	issuers := en.issuers(as.Target.ID)
	for at, is := range issuers {
		deputy := at > 0
		if !deputy && len(issuers) > 1 && en.issuerFailed(is.Name) {
			continue
		}
		gr, err := en.askIssuer(ctx, is, as, deputy)
		if err == nil {
			en.rates.Granted(en.clock.Now(), as, gr)
			return
		}
		en.setIssuerFailed(is.Name)
		en.meters.Count("permit-calls-failed", is.Name, 1)
		if ctx.Err() == nil {
			logs.Info(en.logger, "issuer of permits does not respond", "target", as.Target.ID, "issuer", is.Name, "deputy", deputy, "err", err)
		}
	}
	en.rates.Failed(en.clock.Now(), as)
}

// issuers returns the issuer of a target's permits and its deputy.
func (en *Entry) issuers(target string) []member.Record {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	return en.members.Issuers(en.clock.Now(), target)
}

// isIssuer reports whether this entry is the issuer of a target's permits by its own view.
// The caller holds the mutex.
func (en *Entry) isIssuer(target string) bool {
	issuers := en.members.Issuers(en.clock.Now(), target)
	return len(issuers) > 0 && issuers[0].Name == en.name
}

// sweepIssuers forgets the targets of which this entry is no longer the issuer.
func (en *Entry) sweepIssuers() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.members.ChangedAt(en.clock.Now()) // notices changes in time
	for target := range en.issuerSince {
		if !en.isIssuer(target) {
			delete(en.issuerSince, target)
		}
	}
}

func (en *Entry) askIssuer(ctx context.Context, is member.Record, as quota.Ask, deputy bool) (quota.Grant, error) {
	req := &wire.PermitsRequest{
		Entry: en.name, Target: as.Target.ID, StartedAt: as.Target.StartedAt, Limit: float64(as.Limit), AgeNanos: int64(as.ReadAge),
		Counts: toWireCounts(as.Counts), Deputy: deputy,
	}
	call, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var (
		res *wire.PermitsResponse
		err error
	)
	if is.Name == en.name {
		res, err = en.Permits(call, req)
	} else {
		res, err = en.issuer(is.Addr).Permits(call, req)
	}
	if err != nil {
		return quota.Grant{}, errors.Wrap(err, "ask for permits")
	}
	gr := quota.Grant{
		Limit: quota.Limit(res.GetLimit()), ReadAge: time.Duration(res.GetAgeNanos()), RetryAfter: time.Duration(res.GetRetryAfterNanos()),
		Counts: map[int]int{},
	}
	for priority, count := range res.GetCounts() {
		gr.Counts[int(priority)] = int(count)
	}
	return gr, nil
}

// Permits issues permits to another entry.
func (en *Entry) Permits(_ context.Context, req *wire.PermitsRequest) (*wire.PermitsResponse, error) {
	if en.stopping.Load() {
		return nil, errStopping
	}
	as := quota.Ask{
		Target: fleet.Target{ID: req.GetTarget(), StartedAt: req.GetStartedAt()}, Limit: quota.Limit(req.GetLimit()),
		ReadAge: time.Duration(req.GetAgeNanos()), Counts: map[int]int{},
	}
	for priority, count := range req.GetCounts() {
		as.Counts[int(priority)] = int(count)
	}
	gr := en.permitIssuer.Issue(en.clock.Now(), req.GetEntry(), as, en.issuerRole(as.Target.ID, req.GetDeputy()))
	for _, count := range gr.Counts {
		en.meters.Count("permits-issued", as.Target.ID, int64(count))
	}
	return &wire.PermitsResponse{
		Limit: float64(gr.Limit), AgeNanos: int64(gr.ReadAge), Counts: toWireCounts(gr.Counts), RetryAfterNanos: int64(gr.RetryAfter),
	}, nil
}

// issuerRole returns the role in which this entry issues permits of a target. An entry that
// is asked as the issuer, but is not by its own view, issues as a deputy.
func (en *Entry) issuerRole(target string, deputy bool) quota.Role {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	now := en.clock.Now()
	if deputy || !en.isIssuer(target) {
		return quota.Deputy
	}
	since, known := en.issuerSince[target]
	if !known {
		since = en.members.ChangedAt(now) // it has been the issuer since then at the latest
		en.issuerSince[target] = since
	}
	if now.Sub(since) < quota.TakeoverTime {
		return quota.Newcomer
	}
	return quota.Primary
}

func (en *Entry) issuerFailed(name string) bool {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	return en.clock.Now().Before(en.failedIssuers[name])
}

func (en *Entry) setIssuerFailed(name string) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.failedIssuers[name] = en.clock.Now().Add(issuerPause)
}

func toWireCounts(counts map[int]int) map[int32]int32 {
	out := make(map[int32]int32, len(counts))
	for priority, count := range counts {
		out[int32(priority)] = int32(count)
	}
	return out
}
