package route_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/route"
)

func targets(count int) []route.Target {
	var out []route.Target
	for at := range count {
		region := "recife"
		if at%4 == 3 {
			region = "fortaleza"
		}
		out = append(out, route.Target{
			Name: fmt.Sprintf("t-%02d", at), Service: "blend-lm", Region: region, State: core.Serving,
			Capacity: 10, TrafficShare: 1, InFlight: &atomic.Int64{},
		})
	}
	return out
}

func testQuery(random *rand.Rand) route.Query {
	return route.Query{Service: "blend-lm", Region: "recife", IntN: random.IntN}
}

func TestChooseExcludes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, tc := range []struct {
		name   string
		change func(ta *route.Target, qu *route.Query)
		code   core.Code
	}{
		{"another service", func(ta *route.Target, _ *route.Query) { ta.Service = "other" }, core.CodeNoTarget},
		{"draining", func(ta *route.Target, _ *route.Query) { ta.State = core.Draining }, core.CodeNoTarget},
		{"old weights", func(_ *route.Target, qu *route.Query) { qu.MinVersion = 3 }, core.CodeNoTarget},
		{"not lent", func(_ *route.Target, qu *route.Query) { qu.Allowed = func(string) bool { return false } }, core.CodeNoTarget},
		{"tried", func(_ *route.Target, qu *route.Query) { qu.Tried = []string{"t-00"} }, core.CodeNoTarget},
		{"full", func(ta *route.Target, _ *route.Query) { ta.Reported = 10 }, core.CodeFull},
		{"another region, without budget on the link", func(ta *route.Target, qu *route.Query) {
			ta.Region = "fortaleza"
			qu.UseLink = func() bool { return false }
		}, core.CodeFull},
	} {
		t.Run(tc.name, func(t *testing.T) {
			vi, qu := route.View{Targets: targets(1)}, testQuery(random)
			tc.change(&vi.Targets[0], &qu)
			_, er := route.Choose(vi, qu)
			require.NotNil(t, er)
			require.Equal(t, tc.code, er.Code)
			require.Equal(t, core.NotRun, er.Verdict)
		})
	}
}

// An ejected target receives no requests, unless most targets are ejected.
func TestEjectedTarget(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	vi := route.View{Targets: targets(3)}
	vi.Targets[0].TrafficShare = 0
	chosen := map[string]bool{}
	for range 200 {
		ta, er := route.Choose(vi, testQuery(random))
		require.Nil(t, er)
		chosen[ta.Name] = true
	}
	require.NotContains(t, chosen, "t-00")
	vi.Targets[1].TrafficShare, vi.Targets[2].TrafficShare = 0, 0
	_, er := route.Choose(vi, testQuery(random))
	require.Nil(t, er, "all are ejected, so health is ignored")
}

func TestOwnRegionPreferred(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	vi := route.View{Targets: targets(8)}
	for range 100 {
		ta, er := route.Choose(vi, testQuery(random))
		require.Nil(t, er)
		require.Equal(t, "recife", ta.Region)
	}
	for at := range vi.Targets {
		if vi.Targets[at].Region == "recife" {
			vi.Targets[at].Reported = 10
		}
	}
	ta, er := route.Choose(vi, testQuery(random))
	require.Nil(t, er)
	require.Equal(t, "fortaleza", ta.Region)
}

// Requests with a prefix go to the same target until it is busier than the others.
func TestPrefixAffinityWithinBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	vi := route.View{Targets: targets(6)}
	qu := testQuery(random)
	qu.Prefix = 42
	first, er := route.Choose(vi, qu)
	require.Nil(t, er)
	again, _ := route.Choose(vi, qu)
	require.Equal(t, first.Name, again.Name)
	first.InFlight.Add(5)
	moved, er := route.Choose(vi, qu)
	require.Nil(t, er)
	require.NotEqual(t, first.Name, moved.Name)
}

// The reported load is corrected by the requests that this entry started and finished
// since the report.
func TestLoadIsCorrected(t *testing.T) {
	ta := route.Target{Reported: 7, InFlightAtReport: 2, InFlight: &atomic.Int64{}}
	require.Equal(t, 5, ta.Load(), "two requests of this entry have ended")
	ta.InFlight.Store(6)
	require.Equal(t, 11, ta.Load())
}

// With the largest planned numbers of targets and entries, the numbers of entries per
// target differ by at most one and every entry gets its share.
func TestSubsetIsEven(t *testing.T) {
	var names, entries []string
	for at := range 5700 {
		names = append(names, fmt.Sprintf("t-%04d", at))
	}
	for at := range 390 {
		entries = append(entries, fmt.Sprintf("e-%03d", at))
	}
	counts := map[string]int{}
	for _, en := range entries {
		chosen := route.Subset(names, entries, en, 64)
		require.InDelta(t, 64, len(chosen), 1)
		for _, na := range chosen {
			counts[na]++
		}
	}
	require.Len(t, counts, 5700, "no target is left out")
	for na, count := range counts {
		require.InDelta(t, 390.0*64/5700, count, 1, na)
	}
	require.Equal(t, names[:10], route.Subset(names[:10], entries, "e-000", 64))
}

// An entry that joins or leaves changes few assignments: the last entry leaves, and the
// subset of another entry stays the same.
func TestSubsetIsStable(t *testing.T) {
	var names, entries []string
	for at := range 1000 {
		names = append(names, fmt.Sprintf("t-%04d", at))
	}
	for at := range 50 {
		entries = append(entries, fmt.Sprintf("e-%03d", at))
	}
	before := map[string]bool{}
	for _, na := range route.Subset(names, entries, "e-010", 50) {
		before[na] = true
	}
	kept := 0
	for _, na := range route.Subset(names, entries[:49], "e-010", 50) {
		if before[na] {
			kept++
		}
	}
	require.Equal(t, 50, kept)
}

func TestHealth(t *testing.T) {
	now := time.Unix(1000, 0)
	var he route.Health
	he.RecordFailure(now)
	he.RecordFailure(now)
	require.Equal(t, 1.0, he.TrafficShare(now, 0))
	he.RecordAnswer(now, time.Millisecond, 0)
	for range route.MaxFailures {
		he.RecordFailure(now)
	}
	require.Equal(t, 0.0, he.TrafficShare(now, 0))
	until := now.Add(route.InitialEjection)
	require.InDelta(t, 0.05, he.TrafficShare(until, 0), 0.01, "some traffic, to show that it has recovered")
	require.InDelta(t, 0.5, he.TrafficShare(until.Add(route.RampUp/2), 0), 0.01)
	he.RecordFailure(until.Add(time.Second))
	require.Equal(t, 0.0, he.TrafficShare(until.Add(time.Second), 0), "a failure during RampUp ejects it again at once")
	require.Equal(t, 0.0, he.TrafficShare(until.Add(time.Second+route.InitialEjection), 0), "for twice the time")
	require.Equal(t, 1.0, he.TrafficShare(until.Add(time.Hour), 0))
}

func TestSlowTargetIsEjected(t *testing.T) {
	now := time.Unix(1000, 0)
	var he route.Health
	for range 50 {
		he.RecordAnswer(now, 2*time.Second, 100*time.Millisecond)
	}
	require.Equal(t, 0.0, he.TrafficShare(now, 0))
}

// A target that generates slowly receives traffic in proportion to its speed, and long
// requests only if no healthy target is serving.
func TestSlowGenerations(t *testing.T) {
	now := time.Unix(1000, 0)
	var he route.Health
	for range 100 {
		he.RecordSpeed(10)
	}
	require.InDelta(t, 0.25, he.TrafficShare(now, 40), 0.01)
	require.Equal(t, 1.0, he.TrafficShare(now, 15))

	random := rand.New(rand.NewPCG(1, 1))
	vi, qu := route.View{Targets: targets(2)}, testQuery(random)
	qu.RequireHealthy = true
	vi.Targets[0].TrafficShare = 0.25
	for range 50 {
		ta, er := route.Choose(vi, qu)
		require.Nil(t, er)
		require.Equal(t, "t-01", ta.Name)
	}
	vi.Targets[1].Reported = 10
	_, er := route.Choose(vi, qu)
	require.Equal(t, core.CodeFull, er.Code, "it waits for a free slot at the healthy target")
	vi.Targets[1].State = core.Down
	require.Eventually(t, func() bool {
		ta, er := route.Choose(vi, qu)
		return er == nil && ta.Name == "t-00"
	}, time.Minute, time.Microsecond)
}

func ExampleChoose() {
	vi := route.View{Targets: []route.Target{
		{Name: "near", Service: "blend-lm", Region: "recife", State: core.Serving, Capacity: 4, TrafficShare: 1},
		{Name: "far", Service: "blend-lm", Region: "fortaleza", State: core.Serving, Capacity: 4, TrafficShare: 1},
	}}
	ta, _ := route.Choose(vi, route.Query{Service: "blend-lm", Region: "recife", IntN: func(int) int { return 0 }})
	fmt.Println(ta.Name)
	// Output: near
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			vi, qu := route.View{Targets: targets(count)}, testQuery(random)
			for at := range b.N {
				qu.Prefix = uint64(at)
				_, _ = route.Choose(vi, qu)
			}
		})
	}
}
