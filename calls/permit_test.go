package calls_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/quota"
)

// While targets limit their rates: another target first; a wait of a quarter of the target
// latency at most; no wait if the next permit is known to come later; and a Retry-After that is
// the issuer's estimate, also if another target was full.
func TestWaitForPermit(t *testing.T) {
	full := core.Refuse(core.CodeFull, "full")
	for _, tc := range []struct {
		name     string
		limited  []int
		refusals bool
		// grantAfter is when permits arrive, expected what the issuer says of the next one.
		grantAfter, expected time.Duration
		code                 core.Code
		took                 time.Duration
	}{
		{name: "another target first", limited: []int{0}, took: 0},
		{name: "all limited, a permit in time", limited: []int{0, 1}, grantAfter: 30 * time.Millisecond, took: 30 * time.Millisecond},
		{name: "all limited, none in time", limited: []int{0, 1}, code: core.CodeTargetLimit, took: 62500 * time.Microsecond},
		{name: "all limited, none expected", limited: []int{0, 1}, expected: 3 * time.Second, code: core.CodeTargetLimit, took: 0},
		{name: "the other target is full", limited: []int{0}, refusals: true, expected: 3 * time.Second, code: core.CodeTargetLimit, took: 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := &fakeTargets{behaviors: map[string]behavior{}}
				if tc.refusals {
					ts.behaviors["t1"] = behavior{err: full}
				}
				fo := newForwarder(ts, 2)
				fo.Rates = &quota.Limits{}
				all := testTargets(2)
				for _, at := range tc.limited {
					fo.Rates.Observe(all[at], time.Now(), quota.Reading{Limit: 2})
					fo.Rates.Claim(time.Now(), all[at], "earlier", 0, 1)
				}
				asks, _ := fo.Rates.Asks(time.Now())
				if tc.expected > 0 {
					for _, as := range asks {
						fo.Rates.Granted(time.Now(), as, quota.Grant{Limit: 2, RetryAfter: tc.expected})
					}
				}
				if tc.grantAfter > 0 {
					time.AfterFunc(tc.grantAfter, func() { fo.Rates.Granted(time.Now(), asks[0], quota.Grant{Limit: 2, Counts: map[int]int{0: 1}}) })
				}
				started := time.Now()
				_, err := fo.Do(context.Background(), request(conf.Idempotent, time.Second))
				require.Equal(t, tc.took, time.Since(started))
				if tc.code == "" {
					require.Nil(t, err)
					return
				}
				require.NotNil(t, err)
				require.Equal(t, tc.code, err.Code)
				require.Equal(t, core.NotRun, err.Verdict)
				require.GreaterOrEqual(t, err.RetryAfter, max(tc.expected-tc.took, time.Millisecond))
			})
		})
	}
}
