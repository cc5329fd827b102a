package intake

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/conf"
	"bilberryshelf/duty"
	"bilberryshelf/logs"
	"bilberryshelf/scale"
)

// scaleInterval is the interval at which the load is observed. It is short against the
// steps, which last a second or more.
const scaleInterval = 200 * time.Millisecond

// scaler orders targets. The zero value is ready to use.
type scaler struct {
	mutex sync.Mutex
	plan  scale.Plan
	// peak is the highest load of this entry since the last heartbeat, by service.
	peak scale.Report
}

// scaledServices returns the services whose targets are ordered.
func (en *Entry) scaledServices() []conf.Service {
	co := en.config.Load()
	if co == nil || !en.settings.Duties.Autoscale {
		return nil
	}
	var scaled []conf.Service
	for _, se := range co.Services() {
		if se.Scale.Enabled() {
			scaled = append(scaled, se)
		}
	}
	return scaled
}

// sampleLoad returns what runs and waits at this entry for these services, and updates the
// peak.
func (en *Entry) sampleLoad(now time.Time, services []conf.Service) scale.Report {
	sample, items := scale.Report{}, en.owner.Demand()
	for _, se := range services {
		inFlight, waiting := en.balancer.Demand(now, se.Name)
		bu := scale.Busy{InFlight: inFlight + items[se.Name].Running, Waiting: waiting + items[se.Name].Waiting}
		if bu.Total() > 0 {
			sample[se.Name] = bu
		}
	}
	en.scaler.mutex.Lock()
	defer en.scaler.mutex.Unlock()
	if en.scaler.peak == nil {
		en.scaler.peak = scale.Report{}
	}
	for name, bu := range sample {
		if bu.Total() > en.scaler.peak[name].Total() {
			en.scaler.peak[name] = bu
		}
	}
	return sample
}

// reportLoad returns the highest load since the last call for the row of this entry. A step
// may begin and end between two heartbeats. The peaks of several entries may be of different
// times, so that their sum is at times above the load. The result is empty if no service is
// scaled.
func (en *Entry) reportLoad(now time.Time) cbor.ByteString {
	services := en.scaledServices()
	if len(services) == 0 {
		return ""
	}
	en.sampleLoad(now, services)
	en.scaler.mutex.Lock()
	peak := en.scaler.peak
	en.scaler.peak = nil
	en.scaler.mutex.Unlock()
	raw, err := peak.Encode()
	if err != nil {
		logs.Warn(en.logger, "load not reported", "err", err)
	}
	return raw
}

// scaledLoads returns the loads of the services that are scaled, over all entries.
func (en *Entry) scaledLoads(now time.Time) []scale.Load {
	services := en.scaledServices()
	if len(services) == 0 {
		return nil
	}
	reports := []scale.Report{en.sampleLoad(now, services)}
	en.mutex.Lock()
	all, live := en.fleet.All(), en.members.Live(now)
	en.mutex.Unlock()
	for _, re := range live {
		if re.Name == en.name {
			continue
		}
		report, err := scale.DecodeReport(re.Load)
		if err != nil {
			en.meters.Count("load-reports-malformed", "", 1)
			continue
		}
		reports = append(reports, report)
	}
	loads := make([]scale.Load, 0, len(services))
	for _, se := range services {
		var sum scale.Busy
		for _, re := range reports {
			sum.InFlight, sum.Waiting = sum.InFlight+re[se.Name].InFlight, sum.Waiting+re[se.Name].Waiting
		}
		sum.InFlight = max(sum.InFlight, en.balancer.Reported(now, se.Name))
		lo := scale.Load{Service: se, Busy: sum.Total()}
		for _, ta := range all {
			if ta.Service == se.Name && ta.Domain != "" && !ta.Draining && !en.departures.Departing(ta) {
				lo = lo.WithTarget(ta.Domain, ta.Slots)
			}
		}
		loads = append(loads, lo)
	}
	return loads
}

// orderTargets orders targets while this entry may call, until the context ends. The load
// is observed also while it may not, so that a new holder knows it.
func (en *Entry) orderTargets(ctx context.Context, lease *duty.Runner) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-en.clock.After(scaleInterval):
		}
		now := en.clock.Now()
		loads := en.scaledLoads(now)
		token, ok := lease.Permit(now)
		for _, or := range en.scaler.due(now, loads, token, ok) {
			group.Go(func() { en.order(ctx, lease, token, or) })
		}
	}
}

// due observes the loads and returns the orders to send, if orders are permitted.
func (sc *scaler) due(now time.Time, loads []scale.Load, token uint64, permitted bool) []scale.Order {
	sc.mutex.Lock()
	defer sc.mutex.Unlock()
	sc.plan.Observe(now, loads)
	if !permitted {
		return nil
	}
	due := sc.plan.Due(now, token)
	for _, or := range due {
		sc.plan.Sent(now, or)
	}
	return due
}

// order sends an order. Right before that it asks again whether it may: the process may have
// been paused since.
func (en *Entry) order(ctx context.Context, lease *duty.Runner, token uint64, or scale.Order) {
	began := en.clock.Now()
	err := duty.ErrNotPermitted
	if now, ok := lease.Permit(began); ok && now == token {
		err = en.dutyClient.Scale(duty.Guard(ctx, lease, token, en.clock), token, or.Service, or.Domain, or.Targets)
	}
	if reached, known := duty.Reached(err); known && ctx.Err() == nil {
		lease.Called(reached)
	}
	en.scaler.mutex.Lock()
	en.scaler.plan.Answered(or, token, err == nil)
	en.scaler.mutex.Unlock()
	fields := []any{"service", or.Service, "domain", or.Domain, "targets", or.Targets, "token", token, "took", en.clock.Now().Sub(began)}
	if err != nil {
		en.meters.Count("scale-orders", "failed", 1)
		logs.Warn(en.logger, "targets not ordered", append(fields, "err", err)...)
		return
	}
	en.meters.Count("scale-orders", "acknowledged", 1)
	en.meters.Gauge("targets-ordered", or.Service+"/"+or.Domain, int64(or.Targets))
	logs.Info(en.logger, "targets ordered", fields...)
}
