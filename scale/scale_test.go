package scale_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/conf"
	"bilberryshelf/scale"
)

const (
	boot  = 4 * time.Second
	hold  = 14 * time.Second // the boot time and 10 s
	tick  = 200 * time.Millisecond
	slots = 8
	token = 7
)

var start = time.Unix(1000, 0)

func load(busy, least, most int, domains ...scale.Domain) []scale.Load {
	se := conf.Service{Name: "s", Scale: conf.Scale{Min: least, Max: most, Boot: boot}}
	return []scale.Load{{Service: se, Busy: busy, Domains: domains}}
}

func domain(name string, targets int) scale.Domain {
	return scale.Domain{Name: name, Targets: targets, Slots: targets * slots}
}

func subject(domain string) scale.Subject { return scale.Subject{Service: "s", Domain: domain} }

// sentOrder is an order of a replay and when it was sent.
type sentOrder struct {
	scale.Order
	at time.Duration
}

// replay runs a plan against a platform that boots the ordered targets and acknowledges
// each order at once. It returns the orders and, for each tick, the slots that serve.
func replay(length time.Duration, first map[string]int, busy func(time.Duration) int, lost func(time.Duration, string) bool) (orders []sentOrder, capacity []int) {
	plan, serving := &scale.Plan{}, map[string]int{}
	for name, count := range first {
		serving[name] = count
	}
	for at := time.Duration(0); at < length; at += tick {
		for _, or := range orders {
			if or.at+boot == at || (or.at == at-tick && or.Targets < serving[or.Domain]) {
				serving[or.Domain] = or.Targets
			}
		}
		var domains []scale.Domain
		sum := 0
		for _, name := range []string{"a", "b", "c"} {
			if first[name] > 0 && !lost(at, name) {
				domains = append(domains, domain(name, serving[name]))
				sum += serving[name] * slots
			}
		}
		capacity = append(capacity, sum)
		now := start.Add(at)
		plan.Observe(now, load(busy(at), 1, 20, domains...))
		for _, or := range plan.Due(now, token) {
			plan.Sent(now, or)
			plan.Answered(or, token, true)
			orders = append(orders, sentOrder{or, at})
		}
	}
	return orders, capacity
}

func never(time.Duration, string) bool { return false }

// A wave must be served with few orders, and the targets must follow it down again.
func TestReplayWave(t *testing.T) {
	const period = 2 * time.Minute
	wave := func(at time.Duration) int { return 60 - int(50*math.Cos(2*math.Pi*at.Seconds()/period.Seconds())) }
	orders, capacity := replay(2*period, map[string]int{"a": 1, "b": 1}, wave, never)
	lowest := math.MaxInt
	for at, slots := range capacity {
		require.GreaterOrEqual(t, slots, wave(time.Duration(at)*tick), "at %s", time.Duration(at)*tick)
		if time.Duration(at)*tick > period*3/4 {
			lowest = min(lowest, slots)
		}
	}
	require.LessOrEqual(t, lowest, 4*slots, "in the second valley")
	require.Less(t, len(orders), 80, "one order per change of the number")
}

// A burst must be answered at once, and its end must not lower the number before the hold
// time: the next burst would wait for the boot time again.
func TestReplayBurst(t *testing.T) {
	const from, until = 20 * time.Second, 26 * time.Second
	orders, capacity := replay(time.Minute, map[string]int{"a": 1, "b": 1}, func(at time.Duration) int {
		if at >= from && at < until {
			return 80
		}
		return 4
	}, never)
	require.GreaterOrEqual(t, capacity[(from+boot)/tick], 80)
	last := until - tick // the last tick with the high need
	want := []sentOrder{
		{scale.Order{Subject: subject("a"), Targets: 1}, 0},
		{scale.Order{Subject: subject("b"), Targets: 1}, 0},
		{scale.Order{Subject: subject("a"), Targets: 7}, from},
		{scale.Order{Subject: subject("b"), Targets: 7}, from},
		{scale.Order{Subject: subject("a"), Targets: 1}, last + hold},
		{scale.Order{Subject: subject("b"), Targets: 1}, last + hold},
	}
	require.Equal(t, want, orders)
}

// After the loss of a failure domain the others must take over its share, and the lost one
// must not be ordered as if it needed nothing.
func TestReplayDomainLost(t *testing.T) {
	const from, until = 20 * time.Second, 40 * time.Second
	orders, capacity := replay(time.Minute, map[string]int{"a": 3, "b": 3, "c": 3},
		func(time.Duration) int { return 48 },
		func(at time.Duration, name string) bool { return name == "c" && at >= from && at < until })
	require.GreaterOrEqual(t, capacity[(from+boot)/tick], 48)
	var after []sentOrder
	for _, or := range orders {
		if or.at > 0 {
			after = append(after, or)
		}
	}
	last := until - tick
	require.Equal(t, []sentOrder{
		{scale.Order{Subject: subject("a"), Targets: 4}, from},
		{scale.Order{Subject: subject("b"), Targets: 4}, from},
		{scale.Order{Subject: subject("a"), Targets: 3}, last + hold},
		{scale.Order{Subject: subject("b"), Targets: 3}, last + hold},
	}, after)
}

// Engines of a step each 4 s must not be given up between the steps.
func TestReplaySteps(t *testing.T) {
	orders, capacity := replay(time.Minute, map[string]int{"a": 1, "b": 1}, func(at time.Duration) int {
		return max(64-int(at%(4*time.Second)/tick)*6, 0) // no item is left after 2.2 s
	}, never)
	require.Len(t, orders, 2, "one order for each failure domain")
	for _, slots := range capacity[boot/tick:] {
		require.GreaterOrEqual(t, slots, 64)
	}
}

// There must be one order a second for a subject, also while each fails, and none while one
// is unanswered: the answers of two could arrive in the wrong order.
func TestOrderRate(t *testing.T) {
	plan, sent, now := &scale.Plan{}, 0, start
	for range 50 { // 10 s
		plan.Observe(now, load(100+sent*50, 1, 1000, domain("a", 1)))
		for _, or := range plan.Due(now, token) {
			sent++
			plan.Sent(now, or)
			require.Empty(t, plan.Due(now.Add(time.Minute), token), "unanswered")
			plan.Answered(or, token, false)
		}
		now = now.Add(tick)
	}
	require.Equal(t, 10, sent)
}

// An acknowledged number must not be ordered again by this holder, but one that may not
// have arrived and one that another holder may have changed must be.
func TestOrderRepeated(t *testing.T) {
	plan, now := &scale.Plan{}, start
	order := func(token uint64, acknowledged bool) int {
		now = now.Add(scale.OrderInterval)
		plan.Observe(now, load(10, 1, 8, domain("a", 1)))
		due := plan.Due(now, token)
		for _, or := range due {
			plan.Sent(now, or)
			plan.Answered(or, token, acknowledged)
		}
		return len(due)
	}
	require.Equal(t, []int{1, 1, 0, 0, 1, 0}, []int{
		order(1, false), order(1, true), order(1, true), order(1, true), order(2, true), order(2, true),
	})
}

// The answer to an order of an earlier lease must not count for the present one.
func TestLateAnswer(t *testing.T) {
	plan := &scale.Plan{}
	plan.Observe(start, load(10, 1, 8, domain("a", 1)))
	or := plan.Due(start, 1)[0]
	plan.Sent(start, or)
	later := start.Add(scale.OrderInterval)
	require.Empty(t, plan.Due(later, 2))
	plan.Answered(or, 1, true)
	require.Equal(t, []scale.Order{or}, plan.Due(later, 2))
}

// The number must stay within the bounds, also after they changed, and a service whose
// lower bound is zero must keep a target in each failure domain.
func TestBounds(t *testing.T) {
	for _, tc := range []struct{ busy, least, most, want int }{
		{0, 0, 8, 1}, {0, 2, 8, 2}, {12, 1, 8, 2}, {13, 1, 8, 3}, {1000, 1, 8, 8}, {1000, 0, 0, 0},
	} {
		plan := &scale.Plan{}
		plan.Observe(start, load(1000, 1, 20, domain("a", 1)))
		plan.Observe(start.Add(hold), load(tc.busy, tc.least, tc.most, domain("a", 1)))
		require.Equal(t, tc.want, plan.Wanted(subject("a")), "%+v", tc)
	}
	plan := &scale.Plan{}
	plan.Observe(start, load(1000, 1, 20, domain("a", 1)))
	plan.Observe(start.Add(tick), load(1000, 1, 5, domain("a", 20)))
	require.Equal(t, 5, plan.Wanted(subject("a")), "lowered by the operator")
}

// Nothing may be ordered in a failure domain that was lost, nor for a service that is no
// longer scaled, even if the last order was not acknowledged.
func TestNotObserved(t *testing.T) {
	plan := &scale.Plan{}
	plan.Observe(start, load(10, 1, 8, domain("a", 1), domain("b", 1)))
	require.Len(t, plan.Due(start, token), 2)
	plan.Observe(start.Add(tick), load(10, 1, 8, domain("a", 1)))
	require.Len(t, plan.Due(start.Add(tick), token), 1)
	plan.Observe(start.Add(2*tick), nil)
	require.Empty(t, plan.Due(start.Add(2*tick), token))
}

// A new holder must not lower what an earlier one ordered before it observed the need for
// the hold time.
func TestNewHolder(t *testing.T) {
	plan := &scale.Plan{}
	for at := time.Duration(0); at < hold; at += tick {
		plan.Observe(start.Add(at), load(0, 1, 8, domain("a", 6)))
		require.Equal(t, 6, plan.Wanted(subject("a")))
	}
	plan.Observe(start.Add(hold), load(0, 1, 8, domain("a", 6)))
	require.Equal(t, 1, plan.Wanted(subject("a")))
}

// The load of an entry must survive the way through its row.
func TestReport(t *testing.T) {
	want := scale.Report{"s": {InFlight: 3, Waiting: 2}, "t": {Waiting: 1}}
	raw, err := want.Encode()
	require.NoError(t, err)
	got, err := scale.DecodeReport(raw)
	require.NoError(t, err)
	require.Equal(t, want, got)
	raw, err = scale.Report{}.Encode()
	require.NoError(t, err)
	require.Empty(t, raw)
	_, err = scale.DecodeReport("x")
	require.Error(t, err)
}
