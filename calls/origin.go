package calls

import (
	"context"
	"slices"
	"time"

	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Software is the version of the software of the target that sent its first event.
	Software string
}

// Origins holds the origins of streams for all entries.
type Origins interface {
	// MayBegin reports whether a resumable stream may begin at a target, so that its origin
	// can be told later.
	MayBegin(ro conf.Route, ta fleet.Target) bool
	// Record keeps the origin of a new stream. It must not block for long.
	Record(ro conf.Route, id string, or Origin)
	// Find returns the origin of a stream by the id of the request that began it, which is
	// empty if the caller did not say. Its errors have the code unknown-origin and a
	// retry-after time while the origin may become known, and origin-lost if not.
	Find(ctx context.Context, ro conf.Route, id string) (Origin, *core.Error)
	// Serves reports whether a target of an origin takes work, by the rows of the registry
	// as they are at the time of the call. The list that this process follows may be behind.
	Serves(ctx context.Context, or Origin) (bool, error)
}

const (
	// recordPatience is the part of the target latency for which a stream waits until it may
	// begin at a target of a new software version, and recordInterval how often it looks.
	recordPatience = 0.25
	recordInterval = 10 * time.Millisecond
	// lateListRetryAfter is when a caller returns whose stream began at a software version
	// that this process has not listed yet.
	lateListRetryAfter = 300 * time.Millisecond
)

// findOrigin determines the software version that continues a stream which the caller
// resumes (rule 12).
func (st *stream) findOrigin(ctx context.Context) *core.Error {
	fo, re := st.fo, st.re
	if re.LastEventID == 0 || !repeatable(re.Route) {
		return nil
	}
	origin, err := Origin{}, core.Refuse(core.CodeOriginLost, "it is not known which software version began the stream")
	if fo.Origins != nil {
		origin, err = fo.Origins.Find(ctx, re.Route, re.Resumes)
	}
	if err == nil {
		err = st.keepTo(ctx, origin)
	}
	if err != nil {
		logs.Warn(fo.Logger, "stream of a caller not resumed", "id", re.ID, "resumes", re.Resumes, "after", re.LastEventID,
			"route", re.Route.Name, "service", origin.Service, "software", origin.Software, "code", err.Code, "retry-after", err.RetryAfter)
		fo.Meters.Count("streams-not-resumed", string(err.Code), 1)
		return err
	}
	logs.Info(fo.Logger, "stream resumed by its caller", "id", re.ID, "resumes", re.Resumes, "after", re.LastEventID, "software", origin.Software)
	return nil
}

// keepTo restricts a stream to the targets that can continue it. Its error is final if
// there will be none, which the registry must confirm.
func (st *stream) keepTo(ctx context.Context, origin Origin) *core.Error {
	fo := st.fo
	if !routes(st.re.Route, origin.Service) {
		return core.Refuse(core.CodeOriginGone, "route %s no longer uses the service that began the stream", st.re.Route.Name)
	}
	st.service = origin.Service
	st.bind(origin.Software)
	gone, known := fo.Balancer.goneFor(fo.Clock.Now(), origin)
	if !known || gone == 0 {
		return nil
	}
	if gone < fleet.RecoveryWindow {
		return core.Refuse(core.CodeFull, "no target of software version %s at present", origin.Software).WithRetryAfter(fleet.RecoveryWindow - gone + minRetryAfter)
	}
	serves, err := fo.Origins.Serves(ctx, origin)
	if err == nil && !serves {
		return core.Refuse(core.CodeOriginGone, "software version %s, which began the stream, serves no longer", origin.Software)
	}
	logs.Info(fo.Logger, "software version not listed here", "id", st.re.ID, "service", origin.Service, "software", origin.Software,
		"gone", gone, "serves", serves, "err", err)
	return core.Refuse(core.CodeFull, "no target of software version %s is listed yet", origin.Software).WithRetryAfter(lateListRetryAfter)
}

// bind restricts the attempts to targets of a software version.
func (at *attempts) bind(software string) {
	at.software = software
	at.accepts = func(ta fleet.Target) bool { return ta.Software == software }
}

// waitForRecord waits before the next search for a target of a stream that has not begun.
// It returns false if no target was left out because no stream may begin there yet.
func (st *stream) waitForRecord(ctx context.Context) bool {
	if !st.unrecorded || st.fo.Clock.Now().Sub(st.lastEventAt) >= st.latencyShare(recordPatience) {
		return false
	}
	st.unrecorded = false
	select {
	case <-ctx.Done():
		return false
	case <-st.fo.Clock.After(recordInterval):
		return true
	}
}

// requireRecord keeps a stream that begins from targets where none may begin yet.
func (st *stream) requireRecord() {
	fo, re := st.fo, st.re
	if fo.Origins == nil || re.LastEventID > 0 || !repeatable(re.Route) {
		return
	}
	st.accepts = func(ta fleet.Target) bool {
		if fo.Origins.MayBegin(re.Route, ta) {
			return true
		}
		st.unrecorded = true
		return false
	}
}

// routes reports whether a route sends requests to a service.
func routes(ro conf.Route, service string) bool {
	return slices.ContainsFunc(ro.Shares, func(sh conf.Share) bool { return sh.Service == service })
}
