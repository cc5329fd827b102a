package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryshelf/core"
	"bilberryshelf/engine"
	"bilberryshelf/wire"
)

// The headers by which callers and the system understand each other.
const (
	headerVerdict    = "Bilberryshelf-Verdict"
	headerRequest    = "Bilberryshelf-Request"
	headerTarget     = "Bilberryshelf-Target"
	headerPriority   = "Bilberryshelf-Priority"
	headerTimeout    = "Bilberryshelf-Timeout"
	headerIdempotent = "Bilberryshelf-Idempotent"
	headerKey        = "Idempotency-Key"
)

// wholeLimit is the size up to which an answer that is no stream is held back
// until it is whole.
const wholeLimit = 4 << 20

// reply passes an answer to a caller. A stream of events is passed on event by
// event; any other answer is passed on whole, unless it is large. When a
// stream is cut, the next answer must repeat what the caller has got, and is
// passed on from there.
type reply struct {
	out    http.ResponseWriter
	model  bool
	status int
	head   http.Header
	target string
	// body collects an answer that is passed on whole.
	body []byte
	// sent says that the caller has got the head and some of the answer.
	sent   bool
	events bool
	broken bool

	// For a stream of events: what the caller has got as text, what the
	// present answer has repeated of it, and whether its end came.
	stream engine.Stream
	text   string
	seen   string
	closed bool

	// For a large answer: bytes and hash of what the caller has got, and of
	// what the present answer has repeated.
	sentBytes int64
	sentHash  *xxhash.Digest
	skipped   int64
	skipHash  *xxhash.Digest
}

func (rp *reply) spoilt() bool { return rp.broken }

func (rp *reply) begin(head *wire.Head, target string) *core.Error {
	events := false
	header := http.Header{}
	for _, he := range head.Headers {
		header.Add(he.Name, he.Value)
		if http.CanonicalHeaderKey(he.Name) == "Content-Type" && strings.HasPrefix(he.Value, "text/event-stream") {
			events = true
		}
	}
	if rp.sent && (events != rp.events || int(head.Status) != rp.status) {
		return rp.spoil("the next answer is of another kind than the one cut")
	}
	rp.status, rp.head, rp.target, rp.events = int(head.Status), header, target, events
	rp.body, rp.seen, rp.closed = nil, "", false
	rp.stream = engine.Stream{}
	rp.skipped, rp.skipHash = 0, xxhash.New()
	return nil
}

func (rp *reply) spoil(why string) *core.Error {
	rp.broken = true
	return core.InDoubt(core.CodeAnswerCut, "%s", why)
}

func (rp *reply) take(raw []byte) *core.Error {
	switch {
	case rp.events:
		return rp.takeEvents(raw)
	case rp.sent:
		return rp.takeLarge(raw)
	}
	rp.body = append(rp.body, raw...)
	if len(rp.body) <= wholeLimit {
		return nil
	}
	rp.start()
	rp.sentHash = xxhash.New()
	body := rp.body
	rp.body = nil
	return rp.takeLarge(body)
}

// takeEvents passes on whole events. Events that repeat what the caller has
// got are dropped after comparison.
func (rp *reply) takeEvents(raw []byte) *core.Error {
	for _, ev := range rp.stream.Feed(raw) {
		if ev.Failed {
			return core.InDoubt(core.CodeAnswerCut, "the target ended its stream with an error")
		}
		rp.closed = rp.closed || ev.Last
		if len(rp.seen) < len(rp.text) && !ev.Last {
			rp.seen += ev.Text
			if len(rp.seen) > len(rp.text) || !strings.HasPrefix(rp.text, rp.seen) {
				return rp.spoil("the next answer differs from the one cut")
			}
			continue
		}
		if len(rp.seen) < len(rp.text) {
			return rp.spoil("the next answer is shorter than the one cut")
		}
		rp.start()
		rp.seen += ev.Text
		rp.text = rp.seen
		if _, err := rp.out.Write(ev.Raw); err != nil {
			return rp.spoil("the caller went away")
		}
	}
	if rp.sent {
		_ = http.NewResponseController(rp.out).Flush()
	}
	return nil
}

// takeLarge passes on bytes, after those that the caller has got.
func (rp *reply) takeLarge(raw []byte) *core.Error {
	if left := rp.sentBytes - rp.skipped; left > 0 {
		repeat := raw[:min(int64(len(raw)), left)]
		_, _ = rp.skipHash.Write(repeat)
		rp.skipped += int64(len(repeat))
		raw = raw[len(repeat):]
		if rp.skipped == rp.sentBytes && rp.skipHash.Sum64() != rp.sentHash.Sum64() {
			return rp.spoil("the next answer differs from the one cut")
		}
	}
	if len(raw) == 0 {
		return nil
	}
	if _, err := rp.out.Write(raw); err != nil {
		return rp.spoil("the caller went away")
	}
	_, _ = rp.sentHash.Write(raw)
	rp.sentBytes += int64(len(raw))
	rp.skipped = rp.sentBytes
	return nil
}

// start sends the head, once.
func (rp *reply) start() {
	if rp.sent {
		return
	}
	rp.sent = true
	for na, values := range rp.head {
		rp.out.Header()[na] = values
	}
	rp.out.Header().Set(headerVerdict, string(core.Ran))
	rp.out.Header().Set(headerTarget, rp.target)
	rp.out.WriteHeader(rp.status)
}

func (rp *reply) end(end *wire.End) *core.Error {
	if rp.events && rp.model && rp.status == http.StatusOK && (!rp.closed || !rp.stream.Whole()) {
		return core.InDoubt(core.CodeAnswerCut, "the target ended its stream without the end mark")
	}
	if rp.sent && !rp.events && end.Length < rp.sentBytes {
		return rp.spoil("the next answer is shorter than the one cut")
	}
	if rp.sent {
		return nil
	}
	rp.head.Set("Content-Length", strconv.Itoa(len(rp.body)))
	rp.start()
	if _, err := rp.out.Write(rp.body); err != nil {
		return rp.spoil("the caller went away")
	}
	return nil
}

// fail ends a reply with an error. If part of the answer was sent already, the
// connection is cut after an error event, so that a short answer never looks
// whole.
func (rp *reply) fail(er *core.Error) {
	if !rp.sent {
		writeError(rp.out, er)
		return
	}
	if rp.events {
		fmt.Fprintf(rp.out, "data: %s\n\n", errorBody(er)) // the connection is cut next
		_ = http.NewResponseController(rp.out).Flush()
	}
	panic(http.ErrAbortHandler)
}

// errorReply is the body of every error. Its shape is that of the completions
// protocol, with the verdict added.
type errorReply struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string       `json:"message"`
	Type         string       `json:"type"`
	Code         core.Code    `json:"code"`
	Verdict      core.Verdict `json:"verdict"`
	RetryAfterMS int64        `json:"retry-after-ms,omitempty"`
}

func errorBody(er *core.Error) []byte {
	raw, err := json.Marshal(errorReply{Error: errorDetail{
		Message: er.Text, Type: "bilberryshelf-error", Code: er.Code, Verdict: er.Verdict,
		RetryAfterMS: er.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return []byte(`{"error":{"type":"bilberryshelf-error"}}`)
	}
	return raw
}

func writeError(out http.ResponseWriter, er *core.Error) {
	if er.RetryAfter > 0 {
		seconds := (er.RetryAfter + time.Second - 1) / time.Second
		out.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	out.Header().Set(headerVerdict, string(er.Verdict))
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(statusOf(er))
	_, _ = out.Write(errorBody(er))
}

// statusOf maps a code to the status that HTTP clients expect.
func statusOf(er *core.Error) int {
	switch er.Code {
	case core.CodeBadRequest, core.CodePoison:
		return http.StatusBadRequest
	case core.CodeUnauthorized:
		return http.StatusUnauthorized
	case core.CodeForbidden, core.CodeNoLoan:
		return http.StatusForbidden
	case core.CodeUnknownService, core.CodeUnknownStep:
		return http.StatusNotFound
	case core.CodeConflict, core.CodeKeyConflict:
		return http.StatusConflict
	case core.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.CodeFull, core.CodeQueueWait, core.CodeLoanLimit:
		return http.StatusTooManyRequests
	case core.CodeDeadline:
		return http.StatusGatewayTimeout
	case core.CodeAnswerCut, core.CodeTargetLost, core.CodeAnswerDropped:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
