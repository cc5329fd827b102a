package core

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Code is the reason for a refusal or a failure. Codes are a stable part of the
// API.
type Code string

// The codes of refusals and failures.
const (
	CodeBadRequest       Code = "bad-request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeTooLarge         Code = "too-large"
	CodeHeaderTooLarge   Code = "header-too-large"
	CodeUnknownService   Code = "unknown-service"
	CodeNoLoan           Code = "no-loan"
	CodeLoanEnding       Code = "loan-ending"
	CodeLoanLimit        Code = "loan-limit"
	CodeFull             Code = "full"
	CodeTargetLimit      Code = "target-limit"
	CodeQueueWait        Code = "queue-wait"
	CodeDraining         Code = "draining"
	CodeNotReady         Code = "not-ready"
	CodeDeadline         Code = "deadline"
	CodeNoTarget         Code = "no-target"
	CodeUnknownOrigin    Code = "unknown-origin"
	CodeOriginLost       Code = "origin-lost"
	CodeOriginGone       Code = "origin-gone"
	CodeOutdated         Code = "outdated"
	CodeTargetDown       Code = "target-down"
	CodeTargetLost       Code = "target-lost"
	CodeAnswerCut        Code = "answer-cut"
	CodeAnswerDropped    Code = "answer-dropped"
	CodeAnswerTooLarge   Code = "answer-too-large"
	CodeTextTooLong      Code = "text-too-long"
	CodeOldIncarnation   Code = "old-incarnation"
	CodeStaleRevision    Code = "stale-revision"
	CodeSettledNotRun    Code = "settled-not-run"
	CodeDuplicate        Code = "duplicate-dispatch"
	CodeKeyConflict      Code = "key-conflict"
	CodeKeyMoved         Code = "key-moved"
	CodeKeyHomeGone      Code = "key-home-gone"
	CodeKeyHomeRestarted Code = "key-home-restarted"
	CodePoison           Code = "poison"
	CodeConflict         Code = "conflict"
	CodeUnsettled        Code = "unsettled"
	CodePlatformDown     Code = "platform-down"
	CodeUnknownStep      Code = "unknown-step"
	CodeUnknownJob       Code = "unknown-job"
	CodeRetryBudget      Code = "retry-budget"
)

// Error is a failure that is reported to another process. It always has a
// verdict. RetryAfter, if positive, is how long to wait before a retry.
type Error struct {
	Verdict    Verdict
	Code       Code
	Text       string
	RetryAfter time.Duration
	// Revision is the revision of the instance that refused. It is set only
	// with CodeStaleRevision.
	Revision uint64
}

// Error formats the code, the text and the verdict.
func (er *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", er.Code, er.Text, er.Verdict)
}

// WithVerdict returns a copy with the verdict replaced.
func (er *Error) WithVerdict(ve Verdict) *Error {
	cp := *er
	cp.Verdict = ve
	return &cp
}

// WithRetryAfter returns a copy with the wait before a retry set.
func (er *Error) WithRetryAfter(after time.Duration) *Error {
	cp := *er
	cp.RetryAfter = after
	return &cp
}

// Refuse returns an error with the verdict NotRun.
func Refuse(code Code, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Code: code, Text: fmt.Sprintf(format, args...)}
}

// InDoubt returns an error with the verdict MayHaveRun.
func InDoubt(code Code, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Code: code, Text: fmt.Sprintf(format, args...)}
}

// AsError returns the *Error in the chain of err. An error without one gets the
// verdict MayHaveRun, since nothing proves that the request did not run.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var er *Error
	if errors.As(err, &er) {
		return er
	}
	return InDoubt(CodeTargetLost, "%v", err)
}
