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

// crashingTargets targets break off when they run one body.
type crashingTargets struct {
	fakeTargets
	body string
}

func (cr *crashingTargets) Send(ctx context.Context, ta fleet.Target, re calls.Request) (calls.Response, error) {
	an, err := cr.fakeTargets.Send(ctx, ta, re)
	if string(re.Body) == cr.body {
		return calls.Response{}, core.InDoubt(core.CodeTargetLost, "connection reset")
	}
	return an, err
}

// alive lists the targets that no bad request has reached.
func (cr *crashingTargets) alive(count int) []fleet.Target {
	return slices.DeleteFunc(testTargets(count), func(ta fleet.Target) bool { return slices.Contains(cr.requested, ta.ID) })
}

// The load pattern: a request that crashes its target comes again, at any entry,
// under a new id each time.
func TestRequestThatCrashesTargets(t *testing.T) {
	for _, kind := range []conf.Kind{conf.Idempotent, conf.NonIdempotent} {
		synctest.Test(t, func(t *testing.T) {
			cr := &crashingTargets{body: "bad"}
			entries := []*calls.Forwarder{newForwarder(&cr.fakeTargets, 9), newForwarder(&cr.fakeTargets, 9)}
			for at, ca := range entries {
				ca.Sender = cr
				ca.OnDeath = func(lo poison.Loss) { entries[1-at].Losses.Add(lo) }
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
				for _, ca := range entries {
					ca.Update(cr.alive(9))
				}
			}
			if kind == conf.Idempotent {
				require.LessOrEqual(t, len(cr.requested), poison.MaxDeaths+1, "the last one had two attempts")
			} else {
				require.Len(t, cr.requested, poison.MaxDeaths, "it reaches no further target, wherever it comes")
			}
			began := time.Now()
			err := send(0, "bad")
			require.Equal(t, core.CodePoison, err.Code)
			require.Equal(t, core.NotRun, err.Verdict)
			require.Zero(t, err.RetryAfter, "it need not come back")
			require.Zero(t, time.Since(began))
			require.Nil(t, send(0, "good"), "other content is served")
			time.Sleep(poison.DefaultTTL)
			require.Equal(t, core.CodeTargetLost, send(0, "bad").Code, "the losses lapse")
		})
	}
}
