package calls_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/poison"
)

// crashingTargets close the connection when they run a request with the given body.
type crashingTargets struct {
	fakeTargets
	body string
}

func (cr *crashingTargets) Send(ctx context.Context, ta fleet.Target, re calls.Request) (calls.Response, error) {
	rs, err := cr.fakeTargets.Send(ctx, ta, re)
	if string(re.Body) == cr.body {
		return calls.Response{}, core.InDoubt(core.CodeTargetLost, "connection reset")
	}
	return rs, err
}

// alive returns the targets that have received no request yet.
func (cr *crashingTargets) alive(count int) []fleet.Target {
	return slices.DeleteFunc(testTargets(count), func(ta fleet.Target) bool { return slices.Contains(cr.requested, ta.ID) })
}

// A client retries a request that crashes its target, at any entry and with a new id
// each time. Without shared losses it would take down one target after the other.
func TestRequestThatCrashesTargets(t *testing.T) {
	for _, kind := range []conf.Kind{conf.Idempotent, conf.NonIdempotent} {
		synctest.Test(t, func(t *testing.T) {
			cr := &crashingTargets{body: "bad"}
			entries := []*calls.Forwarder{newForwarder(&cr.fakeTargets, 9), newForwarder(&cr.fakeTargets, 9)}
			for at, fo := range entries {
				fo.Sender = cr
				fo.OnDeath = func(lo poison.Loss) { entries[1-at].Losses.Add(lo) }
			}
			id := 0
			send := func(at int, body string) *core.Error {
				re := request(kind, time.Second)
				id++
				re.ID, re.Body = fmt.Sprint(id), []byte(body)
				_, err := entries[at%2].Do(context.Background(), re)
				return err
			}
			for at := range 8 {
				require.NotNil(t, send(at, "bad"))
				for _, fo := range entries {
					fo.Update(cr.alive(9))
				}
			}
			if kind == conf.Idempotent {
				require.LessOrEqual(t, len(cr.requested), poison.MaxDeaths+1, "the last request was sent twice")
			} else {
				require.Len(t, cr.requested, poison.MaxDeaths, "no further target receives it, at any entry")
			}
			began := time.Now()
			err := send(0, "bad")
			require.Equal(t, core.CodePoison, err.Code)
			require.Equal(t, core.NotRun, err.Verdict)
			require.Zero(t, err.RetryAfter, "a retry would not help")
			require.Zero(t, time.Since(began))
			require.Nil(t, send(0, "good"), "other content is served")
			time.Sleep(poison.DefaultTTL)
			require.Equal(t, core.CodeTargetLost, send(0, "bad").Code, "the losses have expired")
		})
	}
}
