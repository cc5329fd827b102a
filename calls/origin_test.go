package calls_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

// originMap is calls.Origins without other entries. The id "pending" is not known yet.
type originMap map[string]calls.Origin

func (originMap) MayBegin(conf.Route, fleet.Target) bool { return true }

func (om originMap) Record(_ conf.Route, id string, or calls.Origin) { om[id] = or }

func (om originMap) Find(_ context.Context, _ conf.Route, id string) (calls.Origin, *core.Error) {
	or, found := om[id]
	switch {
	case found:
		return or, nil
	case id == "pending":
		return or, core.Refuse(core.CodeUnknownOrigin, "not known yet").WithRetryAfter(time.Second)
	default:
		return or, core.Refuse(core.CodeOriginLost, "not known")
	}
}

func (originMap) Serves(context.Context, calls.Origin) (bool, error) { return false, nil }

// listSoftware has the forwarder know targets t1, t2 ... with these software versions.
func listSoftware(fo *calls.Forwarder, versions ...string) map[string]string {
	var all []fleet.Target
	byID := map[string]string{}
	for at, software := range versions {
		ta := fleet.Target{ID: "t" + string(rune('1'+at)), Service: "desk", Software: software, Slots: 6}
		byID[ta.ID], all = software, append(all, ta)
	}
	fo.Update(all)
	return byID
}

// A stream that was cut on one software version went on at another one within the same
// response.
func TestStreamGoesOnAtOtherSoftware(t *testing.T) {
	cut := core.InDoubt(core.CodeAnswerCut, "cut")
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			sr := &fakeStreamer{attempts: []streamAttempt{{events: 2, err: cut}, {events: 1, err: cut}, {events: 2}}}
			fo := newForwarder(&fakeTargets{}, 0)
			fo.Streamer = sr
			byID := listSoftware(fo, "v1", "v2", "v1", "v2", "v1", "v2")
			re := request(conf.Stream, 10*time.Second)
			re.Route.Resumable, re.Route.Attempts = true, 3
			si := sink{}
			require.Nil(t, fo.Stream(context.Background(), re, &si))
			require.Equal(t, "1 2 3 4 5 ", si.text.String())
			require.Equal(t, byID[sr.requested[0]], byID[sr.requested[1]])
			require.Equal(t, byID[sr.requested[0]], byID[sr.requested[2]])
		}
	})
}

// A stream that its caller resumes went on at any version.
func TestCallerResumesAtOtherSoftware(t *testing.T) {
	for _, tc := range []struct {
		name     string
		versions []string
		resumes  string
		want     string
		code     core.Code
	}{
		{"at the version that began it", []string{"v1", "v2", "v2", "v2"}, "first", "v1", ""},
		{"that version is gone", []string{"v2", "v2"}, "first", "", core.CodeFull},
		{"not known, one version listed", []string{"v2", "v2"}, "other", "", core.CodeOriginLost},
		{"not named, one version listed", []string{"v2", "v2"}, "", "", core.CodeOriginLost},
		{"not known, two versions", []string{"v1", "v2"}, "other", "", core.CodeOriginLost},
		{"not known yet", []string{"v1", "v2"}, "pending", "", core.CodeUnknownOrigin},
		{"began at a service that the route left", []string{"v1"}, "moved", "", core.CodeOriginGone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for range 10 {
					sr := &fakeStreamer{attempts: []streamAttempt{{events: 2}}}
					fo := newForwarder(&fakeTargets{}, 0)
					fo.Streamer, fo.Origins = sr, originMap{"first": {Service: "desk", Software: "v1"}, "moved": {Service: "other", Software: "v1"}}
					byID := listSoftware(fo, tc.versions...)
					re := request(conf.Stream, 10*time.Second)
					re.Route.Resumable, re.LastEventID, re.Resumes = true, 3, tc.resumes
					started := time.Now()
					err := fo.Stream(context.Background(), re, &sink{})
					if tc.code != "" {
						require.NotNil(t, err)
						require.Equal(t, tc.code, err.Code)
						require.Equal(t, core.NotRun, err.Verdict)
						final := tc.code == core.CodeOriginLost || tc.code == core.CodeOriginGone
						require.Equal(t, final, err.RetryAfter == 0, "callers return only if that may help")
						require.Zero(t, time.Since(started), "refused at once")
						require.Empty(t, sr.requested)
						continue
					}
					require.Nil(t, err)
					require.Equal(t, tc.want, byID[sr.requested[0]])
				}
			})
		})
	}
}

// A version is gone for good once none of its targets has taken work for as long as a
// target takes to register again.
func TestVersionGoneForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := newForwarder(&fakeTargets{}, 0)
		fo.Streamer, fo.Origins = &fakeStreamer{}, originMap{"first": {Service: "desk", Software: "v1"}}
		re := request(conf.Stream, 10*time.Second)
		re.Route.Resumable, re.LastEventID, re.Resumes = true, 3, "first"
		resume := func() *core.Error { return fo.Stream(context.Background(), re, &sink{}) }
		require.Equal(t, core.CodeFull, resume().Code, "nothing is listed yet")
		fo.Update([]fleet.Target{{ID: "t1", Service: "desk", Software: "v1", Draining: true}, {ID: "t2", Service: "desk", Software: "v2", Slots: 6}})
		time.Sleep(fleet.RecoveryWindow - time.Millisecond)
		err := resume()
		require.Equal(t, core.CodeFull, err.Code)
		require.Less(t, err.RetryAfter, 100*time.Millisecond)
		time.Sleep(time.Millisecond)
		err = resume()
		require.Equal(t, core.CodeOriginGone, err.Code)
		require.Zero(t, err.RetryAfter)
		fo.Update([]fleet.Target{{ID: "t3", Service: "desk", Software: "v1", Slots: 6}})
		fo.Streamer = &fakeStreamer{attempts: []streamAttempt{{events: 2}}}
		require.Nil(t, resume(), "it serves again")
	})
}

// registry is calls.Origins with what the registry says of every origin.
type registry struct {
	originMap
	serves bool
	err    error
}

func (rg registry) Serves(context.Context, calls.Origin) (bool, error) { return rg.serves, rg.err }

// Guards against a final refusal by an entry whose list of targets is behind: the version
// joined while the entry was out of step.
func TestVersionNotListedYet(t *testing.T) {
	for name, tc := range map[string]struct {
		rg   registry
		code core.Code
	}{
		"in the registry":     {registry{serves: true}, core.CodeFull},
		"registry not read":   {registry{err: context.DeadlineExceeded}, core.CodeFull},
		"not in the registry": {registry{}, core.CodeOriginGone},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fo := newForwarder(&fakeTargets{}, 0)
				tc.rg.originMap = originMap{"first": {Service: "desk", Software: "v2"}}
				fo.Streamer, fo.Origins = &fakeStreamer{}, tc.rg
				listSoftware(fo, "v1", "v1")
				time.Sleep(fleet.RecoveryWindow + time.Second)
				re := request(conf.Stream, 10*time.Second)
				re.Route.Resumable, re.LastEventID, re.Resumes = true, 3, "first"
				err := fo.Stream(context.Background(), re, &sink{})
				require.Equal(t, tc.code, err.Code)
				require.Equal(t, core.NotRun, err.Verdict)
				require.Equal(t, tc.code == core.CodeOriginGone, err.RetryAfter == 0, "only a final refusal has no retry-after time")
			})
		})
	}
}

// waitingOrigins lets streams begin from a time on.
type waitingOrigins struct {
	originMap
	from time.Time
}

func (wo waitingOrigins) MayBegin(conf.Route, fleet.Target) bool { return !time.Now().Before(wo.from) }

// A stream waits a short time until it may begin, and is refused after that.
func TestStreamWaitsForRecordOfItsPlace(t *testing.T) {
	for wait, served := range map[time.Duration]bool{0: true, 40 * time.Millisecond: true, time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			fo := newForwarder(&fakeTargets{}, 0)
			fo.Streamer = &fakeStreamer{attempts: []streamAttempt{{events: 2}}}
			fo.Origins = waitingOrigins{originMap{}, time.Now().Add(wait)}
			listSoftware(fo, "v1")
			re := request(conf.Stream, 10*time.Second)
			re.Route.Resumable = true
			started := time.Now()
			err := fo.Stream(context.Background(), re, &sink{})
			if served {
				require.Nil(t, err)
				return
			}
			require.Equal(t, core.CodeFull, err.Code)
			require.Positive(t, err.RetryAfter)
			require.LessOrEqual(t, time.Since(started), re.Route.TargetLatency/4+10*time.Millisecond)
		})
	}
}

// The origin is recorded before the caller has the first event, and only for new streams.
func TestOriginRecordedTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := originMap{}
		fo := newForwarder(&fakeTargets{}, 0)
		fo.Origins, fo.Streamer = known, &fakeStreamer{attempts: []streamAttempt{{events: 2}, {events: 2}}}
		listSoftware(fo, "v1")
		re := request(conf.Stream, 10*time.Second)
		re.Route.Resumable = true
		require.Nil(t, fo.Stream(context.Background(), re, checkingSink{t, known, re.ID}))
		require.Equal(t, calls.Origin{Service: "desk", Software: "v1"}, known[re.ID])
		re.ID, re.LastEventID, re.Resumes = "second", 2, re.ID
		require.Nil(t, fo.Stream(context.Background(), re, &sink{}))
		require.NotContains(t, known, "second", "callers name the request that got the first event")
	})
}

// checkingSink checks at each event that the origin is recorded.
type checkingSink struct {
	t     *testing.T
	known originMap
	id    string
}

func (checkingSink) Begin(calls.Response) {}

func (cs checkingSink) Event([]byte) error {
	require.Contains(cs.t, cs.known, cs.id)
	return nil
}
