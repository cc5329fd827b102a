package calls

import (
	"context"
	"slices"

	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/logs"
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Software is the version of the software of the target that sent its first event.
	Software string
}

// Origins holds the origins of streams for all entries. Record must not block for long;
// Find returns found false if the origin is not known.
type Origins interface {
	Record(id string, or Origin)
	Find(ctx context.Context, id string) (or Origin, found bool)
}

// findOrigin determines the software version that continues a stream which the caller
// resumes (rule 12).
func (st *stream) findOrigin(ctx context.Context) *core.Error {
	fo, re := st.fo, st.re
	if re.LastEventID == 0 || !repeatable(re.Route) {
		return nil
	}
	if fo.Origins != nil && re.Resumes != "" {
		if or, found := fo.Origins.Find(ctx, re.Resumes); found && routes(re.Route, or.Service) {
			st.service, st.software = or.Service, or.Software
			logs.Info(fo.Logger, "stream resumed by its caller", "id", re.ID, "resumes", re.Resumes, "after", re.LastEventID, "software", or.Software)
			return nil
		}
	}
	if len(re.Route.Shares) == 1 {
		if software, only := fo.Balancer.onlySoftware(st.service); only {
			st.software = software
			return nil
		}
	}
	logs.Warn(fo.Logger, "origin of a stream not known", "id", re.ID, "resumes", re.Resumes, "after", re.LastEventID, "service", st.service)
	fo.Meters.Count("stream-origins-unknown", re.Route.Name, 1)
	wait := fo.Balancer.retryAfter(fo.Clock.Now(), st.service, fo.IntN)
	return core.Refuse(core.CodeUnknownOrigin, "it is not known which software version began the stream").WithRetryAfter(wait)
}

// routes reports whether a route sends requests to a service.
func routes(ro conf.Route, service string) bool {
	return slices.ContainsFunc(ro.Shares, func(sh conf.Share) bool { return sh.Service == service })
}
