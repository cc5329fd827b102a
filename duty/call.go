package duty

import (
	"context"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
)

// The errors of a call to the platform's API of the duties.
var (
	// ErrBusy means that too many calls are made. The call has no effect.
	ErrBusy = errors.New("too many calls")
	// ErrThrottled is an ErrBusy for a call that this process did not send.
	ErrThrottled = errors.Wrap(ErrBusy, "limit of this process")
	// ErrServer means that the API failed; the call may have taken effect.
	ErrServer = errors.New("the API failed")
	// ErrRejected means that the API does not accept the call. A repetition fails too.
	ErrRejected = errors.New("the API rejected the call")
	// ErrNoAnswer means that no answer came; the call may have taken effect.
	ErrNoAnswer = errors.New("no answer from the API")
	// ErrNotPermitted means that the call was not sent, since the lease may have expired.
	ErrNotPermitted = errors.New("this process may not call")
)

type guardKey struct{}

type guard struct {
	permission Permission
	token      uint64
	clock      core.Clock
}

// Guard returns a context for a call with this token. Its sender asks CheckGuard when a
// connection is ready and nothing of the call is sent, since connecting may take longer than
// the lease is valid.
func Guard(ctx context.Context, pe Permission, token uint64, clock core.Clock) context.Context {
	return context.WithValue(ctx, guardKey{}, guard{permission: pe, token: token, clock: clock})
}

// CheckGuard returns ErrNotPermitted if the call of a context may no longer be sent. A
// context without a guard permits all calls.
func CheckGuard(ctx context.Context) error {
	gu, found := ctx.Value(guardKey{}).(guard)
	if !found {
		return nil
	}
	if token, ok := gu.permission.Permit(gu.clock.Now()); !ok || token != gu.token {
		return ErrNotPermitted
	}
	return nil
}

// Reached reports whether a call with this result shows that the API is reachable and
// works, as far as it concerns this instance. known is false for a call that was not sent.
func Reached(err error) (reached, known bool) {
	switch {
	case errors.Is(err, ErrNotPermitted), errors.Is(err, ErrThrottled):
		return false, false
	case errors.Is(err, ErrServer), errors.Is(err, ErrNoAnswer):
		return false, true
	default:
		return true, true
	}
}
