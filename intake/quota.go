package intake

import (
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
	"bilberryshelf/quota"
)

// limitChanged records that a target names a limit, another one, or none any more.
func (en *Entry) limitChanged(ta fleet.Target, was, is quota.Limit) {
	en.meters.Gauge("target-limit", ta.ID, int64(60*is))
	logs.Info(en.logger, "limit of a target changed", "id", ta.ID, "service", ta.Service, "addr", ta.Addr, "started", ta.StartedAt,
		"per-second", float64(is), "before", float64(was))
}

func (en *Entry) limitMalformed(ta fleet.Target, text string) {
	logs.Warn(en.logger, "target names a limit that is no rate, ignored", "id", ta.ID, "service", ta.Service, "text", text)
}
