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
	"bilberryshelf/limit"
	"bilberryshelf/server"
	"bilberryshelf/wire"
)

// Headers of the API for callers.
const (
	headerVerdict    = "Bilberryshelf-Verdict"
	headerRequest    = "Bilberryshelf-Request"
	headerTarget     = "Bilberryshelf-Target"
	headerPriority   = "Bilberryshelf-Priority"
	headerTimeout    = "Bilberryshelf-Timeout"
	headerIdempotent = "Bilberryshelf-Idempotent"
	headerKey        = "Idempotency-Key"
)

// maxBufferedBytes is the size up to which an answer that is not an event stream
// is buffered until it is complete.
const maxBufferedBytes = 4 << 20

// maxBufferedTotal is the size up to which all answers together are buffered. An answer beyond
// it is forwarded as it arrives, as one beyond maxBufferedBytes is.
const maxBufferedTotal = 64 << 20

// reply forwards an answer to a caller: an event stream event by event, any other
// answer once it is complete, unless it exceeds maxBufferedBytes. If a partly
// forwarded answer is interrupted, the answer of the next attempt must begin with
// the part already sent, and is forwarded from there.
type reply struct {
	out        http.ResponseWriter
	completion bool
	status     int
	header     http.Header
	target     string
	// body buffers an answer that is sent once it is complete; buffered counts the buffers of
	// all answers.
	body     []byte
	buffered *limit.ByteBudget
	// sent reports whether the head has been sent; aborted, whether the answer
	// can no longer be completed.
	sent    bool
	events  bool
	aborted bool

	// For an event stream: its parser, and whether the last event has arrived.
	stream engine.Parser
	ended  bool

	// For an event stream and a large answer: length and hash of the text or the bytes
	// sent to the caller, and of those that the current answer has repeated. The text
	// itself is not kept: it may have no end.
	sentBytes int64
	sentHash  *xxhash.Digest
	skipped   int64
	skipHash  *xxhash.Digest
}

func (rp *reply) unresumable() bool { return rp.aborted }

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
		return rp.abort("the next answer is of another kind (status or content type) than the one that was cut")
	}
	rp.status, rp.header, rp.target, rp.events = int(head.Status), header, target, events
	rp.release()
	rp.ended, rp.stream = false, engine.Parser{}
	rp.skipped, rp.skipHash = 0, xxhash.New()
	if rp.sentHash == nil {
		rp.sentHash = xxhash.New()
	}
	return nil
}

// release drops the buffer.
func (rp *reply) release() {
	rp.buffered.Release(int64(len(rp.body)))
	rp.body = nil
}

func (rp *reply) abort(reason string) *core.Error {
	rp.aborted = true
	return core.InDoubt(core.CodeAnswerCut, "%s", reason)
}

func (rp *reply) receive(raw []byte) *core.Error {
	switch {
	case rp.events:
		return rp.receiveEvents(raw)
	case rp.sent:
		return rp.receiveLarge(raw)
	}
	fits := len(rp.body)+len(raw) <= maxBufferedBytes
	if fits && rp.buffered.Acquire(int64(len(rp.body)), int64(len(raw))) {
		rp.body = append(rp.body, raw...)
		return nil
	}
	rp.sendHead()
	defer rp.release()
	if er := rp.receiveLarge(rp.body); er != nil {
		return er
	}
	return rp.receiveLarge(raw)
}

// receiveEvents forwards complete events. Events that repeat text already sent are
// compared with it and dropped.
func (rp *reply) receiveEvents(raw []byte) *core.Error {
	for _, ev := range rp.stream.Feed(raw) {
		if ev.Failed {
			return core.InDoubt(core.CodeAnswerCut, "the target ended its stream with an error")
		}
		rp.ended = rp.ended || ev.Done
		if rp.skipped < rp.sentBytes && !ev.Done {
			rp.skipped += int64(len(ev.Text))
			_, _ = rp.skipHash.WriteString(ev.Text)
			if rp.skipped > rp.sentBytes || (rp.skipped == rp.sentBytes && rp.skipHash.Sum64() != rp.sentHash.Sum64()) {
				return rp.abort("the next answer differs from the one that was cut")
			}
			continue
		}
		if rp.skipped < rp.sentBytes {
			return rp.abort("the next answer is shorter than the one that was cut")
		}
		rp.sendHead()
		rp.sentBytes += int64(len(ev.Text))
		_, _ = rp.sentHash.WriteString(ev.Text)
		rp.skipped = rp.sentBytes
		if _, err := rp.out.Write(ev.Raw); err != nil {
			return rp.abort("the caller disconnected")
		}
	}
	if rp.sent {
		_ = http.NewResponseController(rp.out).Flush()
	}
	return nil
}

// receiveLarge forwards bytes, skipping those already sent after comparing their
// hash.
func (rp *reply) receiveLarge(raw []byte) *core.Error {
	if left := rp.sentBytes - rp.skipped; left > 0 {
		repeat := raw[:min(int64(len(raw)), left)]
		_, _ = rp.skipHash.Write(repeat)
		rp.skipped += int64(len(repeat))
		raw = raw[len(repeat):]
		if rp.skipped == rp.sentBytes && rp.skipHash.Sum64() != rp.sentHash.Sum64() {
			return rp.abort("the next answer differs from the one that was cut")
		}
	}
	if len(raw) == 0 {
		return nil
	}
	if _, err := rp.out.Write(raw); err != nil {
		return rp.abort("the caller disconnected")
	}
	_, _ = rp.sentHash.Write(raw)
	rp.sentBytes += int64(len(raw))
	rp.skipped = rp.sentBytes
	return nil
}

// sendHead sends the head if it has not been sent.
func (rp *reply) sendHead() {
	if rp.sent {
		return
	}
	rp.sent = true
	for na, values := range rp.header {
		rp.out.Header()[na] = values
	}
	rp.out.Header().Set(headerVerdict, string(core.Ran))
	rp.out.Header().Set(headerTarget, rp.target)
	rp.out.WriteHeader(rp.status)
}

func (rp *reply) end(end *wire.End) *core.Error {
	if rp.events && rp.completion && rp.status == http.StatusOK && (!rp.ended || !rp.stream.AtEventEnd()) {
		return core.InDoubt(core.CodeAnswerCut, "the target ended its stream without the end marker [DONE]")
	}
	if rp.sent && !rp.events && end.Length < rp.sentBytes {
		return rp.abort("the next answer is shorter than the one that was cut")
	}
	if rp.sent {
		return nil
	}
	rp.header.Set("Content-Length", strconv.Itoa(len(rp.body)))
	rp.sendHead()
	if _, err := rp.out.Write(rp.body); err != nil {
		return rp.abort("the caller disconnected")
	}
	return nil
}

// fail ends a reply with an error. If part of the answer has been sent, it aborts
// the connection, in a stream after an error event, so that a truncated answer
// never looks complete.
func (rp *reply) fail(req *http.Request, er *core.Error) {
	if !rp.sent {
		writeError(rp.out, er)
		return
	}
	if rp.events {
		fmt.Fprintf(rp.out, "data: %s\n\n", errorBody(er)) // errors are ignored, since the connection is aborted next
		_ = http.NewResponseController(rp.out).Flush()
	}
	server.Abort(rp.out, req)
}

// errorReply is the body of every error response: that of the completions
// protocol, with the verdict and the delay before a retry added.
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

// statusOf returns the HTTP status for an error code.
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
	case core.CodeFull, core.CodeQueueWait, core.CodeLoanLimit, core.CodeTargetLimit:
		return http.StatusTooManyRequests
	case core.CodeDeadline:
		return http.StatusGatewayTimeout
	case core.CodeAnswerCut, core.CodeTargetLost, core.CodeAnswerDropped:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
