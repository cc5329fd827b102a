package calls

import (
	"math"
	"time"

	"bilberryshelf/core"
)

const (
	// maxReportAge is how long the load that a target reported is used.
	maxReportAge = time.Second
	// refusalWindow is the length of the windows in which refused requests are counted.
	refusalWindow = time.Second
)

// demand counts the requests of a service that no target runs. The zero value is ready to use.
type demand struct {
	waiting int
	// began is the begin of the present window, refused the number of requests that were
	// refused in it for lack of capacity, before the number in the window before it.
	began           time.Time
	refused, before int
}

// roll begins another window if the present one has ended.
func (de *demand) roll(now time.Time) {
	switch past := now.Sub(de.began); {
	case past >= 2*refusalWindow:
		de.began, de.refused, de.before = now, 0, 0
	case past >= refusalWindow:
		de.began, de.refused, de.before = de.began.Add(refusalWindow), 0, de.refused
	}
}

// demandOf returns the demand of a service. The caller holds the mutex.
func (ba *Balancer) demandOf(service string) *demand {
	if ba.demands == nil {
		ba.demands = map[string]*demand{}
	}
	de := ba.demands[service]
	if de == nil {
		de = &demand{}
		ba.demands[service] = de
	}
	return de
}

// wait adds to the number of requests that wait for a target.
func (ba *Balancer) wait(service string, add int) {
	ba.mutex.Lock()
	defer ba.mutex.Unlock()
	ba.demandOf(service).waiting += add
}

// refuse records a request that was not served, if that was for lack of capacity.
func (ba *Balancer) refuse(now time.Time, service string, err *core.Error) {
	if err.Verdict != core.NotRun || (err.Code != core.CodeFull && err.Code != core.CodeTargetLimit) {
		return
	}
	ba.mutex.Lock()
	defer ba.mutex.Unlock()
	de := ba.demandOf(service)
	de.roll(now)
	de.refused++
}

// Demand returns the requests of this entry that run at the targets of a service, and those
// that wait. Refused requests count as waiting for the mean latency of the service, since
// that is how long they would have used a slot.
func (ba *Balancer) Demand(now time.Time, service string) (inFlight, waiting int) {
	ba.mutex.Lock()
	defer ba.mutex.Unlock()
	for _, ta := range ba.services[service] {
		inFlight += ba.stats[ta.ID].inFlight
	}
	de := ba.demandOf(service)
	de.roll(now)
	refused := float64(max(de.refused, de.before)) * ba.meanLatency(service).Seconds() / refusalWindow.Seconds()
	return inFlight, de.waiting + int(math.Ceil(refused))
}

// Reported returns the load of the targets of a service as they reported it lately,
// including the requests of other entries.
func (ba *Balancer) Reported(now time.Time, service string) int {
	ba.mutex.Lock()
	defer ba.mutex.Unlock()
	sum := 0
	for _, ta := range ba.services[service] {
		if ts := ba.stats[ta.ID]; now.Sub(ts.lastUsed) < maxReportAge {
			sum += ts.running()
		}
	}
	return sum
}
