package guard

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"bilberryshelf/core"
	"bilberryshelf/engine"
	"bilberryshelf/fence"
	"bilberryshelf/limit"
	"bilberryshelf/strict"
	"bilberryshelf/wire"
)

// answer is a complete answer of the target.
type answer struct {
	head *wire.Head
	body []byte
	end  *wire.End
}

func (an *answer) size() int { return len(an.body) }

// frameSender sends frames to the entry.
type frameSender interface {
	Send(frame *wire.DispatchFrame) error
}

// ServeHTTP runs one attempt: a POST of a DispatchRequest.
func (gu *Guard) ServeHTTP(out http.ResponseWriter, hr *http.Request) {
	raw, err := limit.ReadAll(hr.Body, wire.MaxMessageBytes)
	req := &wire.DispatchRequest{}
	if err == nil {
		err = proto.Unmarshal(raw, req)
	}
	if err != nil {
		http.Error(out, "the body is not a DispatchRequest", http.StatusBadRequest)
		return
	}
	if er := gu.dispatch(hr.Context(), req, wire.NewFrameWriter(out)); er != nil {
		panic(http.ErrAbortHandler) // the entry must not take the end of the stream for a complete answer
	}
}

// dispatch runs one attempt and sends its answer or refusal.
func (gu *Guard) dispatch(ctx context.Context, req *wire.DispatchRequest, out frameSender) error {
	id, err := core.ParseAttemptID(req.Id)
	if err != nil {
		return out.Send(refusalFrame(req.Id, core.Refuse(core.CodeBadRequest, "%v", err)))
	}
	if len(req.Slice) > 0 {
		gu.adopt(req.Slice)
	}
	startedAt := gu.clock.Now()
	er := gu.serve(ctx, req, id, out)
	gu.meters.Observe("dispatch", req.Tenant, gu.clock.Now().Sub(startedAt))
	if er == nil {
		return nil
	}
	gu.meters.Count("refused", string(er.Code), 1)
	level.Debug(gu.logger).Log("event", "refused", "request", id, "loan", req.Loan, "code", er.Code, "verdict", er.Verdict)
	return out.Send(refusalFrame(req.Id, er))
}

func (gu *Guard) serve(ctx context.Context, req *wire.DispatchRequest, id core.AttemptID, out frameSender) *core.Error {
	for {
		var de decision
		if !gu.loop.Do(func() { de = gu.admit(req, id) }) {
			return core.Refuse(core.CodeDraining, "the guard has stopped")
		}
		switch {
		case de.err != nil:
			return de.err
		case de.admission == fence.Run:
			return gu.execute(ctx, req, de.run, out)
		case de.admission == fence.Replay:
			return gu.replay(req.Id, de.answer, out)
		}
		// A run of the same key is in progress: wait until it ends, then try again.
		select {
		case <-de.run.done:
		case <-ctx.Done():
			return core.InDoubt(core.CodeAnswerCut, "the entry disconnected while another attempt with the same key was running")
		}
	}
}

// replay sends a stored answer with the id of this attempt.
func (gu *Guard) replay(id []byte, an *answer, out frameSender) *core.Error {
	head := &wire.Head{Id: id, Status: an.head.Status, Headers: an.head.Headers, Replayed: true}
	end := &wire.End{Id: id, Length: an.end.Length, Digest: an.end.Digest, Segments: an.end.Segments}
	whole := &wire.Whole{Head: head, Chunk: an.body, End: end}
	// If the entry has disconnected, a later attempt gets the answer, which stays stored.
	_ = out.Send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Whole{Whole: whole}})
	return nil
}

// execute runs the request on the target and forwards the answer.
//
// The run of a keyed or non-idempotent request continues when the entry disconnects,
// so that its outcome is known and its answer can be stored. Any other run is
// cancelled with the entry's stream.
func (gu *Guard) execute(ctx context.Context, req *wire.DispatchRequest, ru *run, out frameSender) *core.Error {
	if req.Key != "" || !req.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, gu.settings.Timing.LongestRun.Std())
	defer cancel()

	var er *core.Error
	gu.loop.Do(func() { er = gu.table.Commit(gu.clock.Now(), ru.id) })
	if er != nil {
		gu.loop.Do(func() { gu.finish(ru, fence.NotStarted, nil) })
		return er
	}
	an, er := gu.forward(ctx, req, ru, out)
	oc := outcomeOf(er)
	if oc == fence.Lost {
		er = gu.detectDeath(ctx, ru, er)
	}
	gu.loop.Post(func() { gu.finish(ru, oc, an) })
	return er
}

func outcomeOf(er *core.Error) fence.Outcome {
	switch {
	case er == nil:
		return fence.Done
	case er.Verdict == core.NotRun:
		return fence.NotStarted
	default:
		return fence.Lost
	}
}

// chunkSize is the maximum number of bytes in one frame.
const chunkSize = 32 << 10

// forward sends the request to the target and its answer to the entry. The error is nil
// if and only if the target's answer was complete. The answer is returned only if it is
// to be stored.
func (gu *Guard) forward(ctx context.Context, req *wire.DispatchRequest, ru *run, out frameSender) (*answer, *core.Error) {
	hr, err := gu.targetRequest(ctx, req)
	if err != nil {
		return nil, core.Refuse(core.CodeBadRequest, "%v", err)
	}
	sentAt := gu.clock.Now()
	res, err := gu.forwarder.Do(hr)
	if err != nil {
		return nil, gu.sendError(err)
	}
	gu.rate.observe(ru.target, sentAt, res.Header)
	defer res.Body.Close() // nothing more is read from the body
	if refused := gu.engineRefusal(res); refused != nil {
		return nil, refused
	}
	head := &wire.Head{Id: req.Id, Status: int32(res.StatusCode), Headers: wire.Headers(res.Header, hopByHopHeaders)}
	events := strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
	af := answerForwarder{out: out, events: events, clock: gu.clock, check: ru.check, store: ru.key != "", maxStored: int(gu.settings.Limits.MaxAnswer), hash: xxhash.New()}
	af.head = head
	if err := af.copy(res.Body, af.events); err != nil {
		return nil, core.InDoubt(core.CodeAnswerCut, "the target's answer was cut: %v", err)
	}
	end := &wire.End{Id: req.Id, Length: af.length, Digest: af.hash.Sum64()}
	if ru.sample {
		end.Segments = gu.segments(ru, af.segments, af.streamEnded)
	}
	af.close(end)
	if !af.store {
		return nil, nil
	}
	return &answer{head: head, body: af.stored, end: end}, nil
}

func (gu *Guard) targetRequest(ctx context.Context, req *wire.DispatchRequest) (*http.Request, error) {
	if !strings.HasPrefix(req.Path, "/") {
		return nil, errors.Newf("path %q does not start with a slash", req.Path)
	}
	hr, err := http.NewRequestWithContext(ctx, req.Method, gu.settings.Engine.URL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request to the target")
	}
	for _, he := range req.Headers {
		hr.Header.Add(he.Name, he.Value)
	}
	return hr, nil
}

// sendError returns not-run if no connection was made, and may-have-run if the request
// may have reached the target.
func (gu *Guard) sendError(err error) *core.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return core.Refuse(core.CodeTargetDown, "cannot connect to the target")
	}
	if errors.Is(err, strict.ErrInvalid) {
		return core.InDoubt(core.CodeAnswerCut, "the target's answer is invalid: %v", err)
	}
	return core.InDoubt(core.CodeTargetLost, "the request was sent to the target, which did not answer: %v", err)
}

// engineRefusal returns a refusal if a model engine answered that it is full. The
// answers of a plain service are forwarded whatever their status.
func (gu *Guard) engineRefusal(res *http.Response) *core.Error {
	full := res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable
	if !gu.settings.Engine.Model || !full {
		return nil
	}
	return core.Refuse(core.CodeFull, "the engine is full").WithRetryAfter(time.Second)
}

// answerForwarder forwards an answer to the entry while it arrives, and stores it if
// store is set. After the entry has disconnected it continues to read, because the
// outcome must be known.
type answerForwarder struct {
	out   frameSender
	clock core.Clock
	head  *wire.Head
	// events is set if the answer is an event stream.
	events   bool
	headSent bool
	// firstChunk is held back until a second chunk or the end arrives.
	firstChunk []byte
	// check is nil unless the request is a sample.
	check       *versionCheck
	entryGone   bool
	store       bool
	maxStored   int
	stored      []byte
	length      int64
	hash        *xxhash.Digest
	parser      engine.Parser
	segments    []*wire.Segment
	streamEnded bool
	// streamFailed is set if an event reports an error, or has no end.
	streamFailed bool
}

func (af *answerForwarder) send(frame *wire.DispatchFrame) {
	if !af.entryGone && af.out.Send(frame) != nil {
		af.entryGone = true
	}
}

// copy reads the answer to its end. An event stream is forwarded as it arrives. Other
// answers are forwarded in chunks of chunkSize, or in a single frame if they fit into
// one chunk.
func (af *answerForwarder) copy(body io.Reader, events bool) error {
	buf := chunkBuffers.Get().(*[chunkSize]byte)
	defer chunkBuffers.Put(buf)
	filled := 0
	for {
		count, err := body.Read(buf[filled:])
		filled += count
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return err
		}
		if filled > 0 && (events || ended || filled == chunkSize) {
			af.forwardChunk(buf[:filled])
			filled = 0
		}
		switch {
		case af.streamFailed:
			return errors.New("the engine reported an error, an event is too large, or the version changes too often")
		case ended:
			return nil
		}
	}
}

// chunkBuffers holds unused buffers for copy.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

func (af *answerForwarder) forwardChunk(raw []byte) {
	af.length += int64(len(raw))
	_, _ = af.hash.Write(raw)
	if af.check != nil {
		af.recordVersions(af.parser.Feed(raw))
	}
	if af.store && len(af.stored)+len(raw) > af.maxStored {
		af.store, af.stored = false, nil
	}
	if af.store {
		af.stored = append(af.stored, raw...)
	}
	if af.firstChunk == nil && !af.headSent && !af.events {
		af.firstChunk = bytes.Clone(raw) // it may be the whole answer
		return
	}
	af.sendHead()
	af.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Chunk{Chunk: raw}})
}

// sendHead sends the head and the chunk held back, unless they were already sent.
func (af *answerForwarder) sendHead() {
	if af.headSent {
		return
	}
	af.headSent = true
	af.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Head{Head: af.head}})
	if af.firstChunk != nil {
		af.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Chunk{Chunk: af.firstChunk}})
		af.firstChunk = nil
	}
}

// close sends the end frame, or the whole answer in one frame if nothing was sent yet.
func (af *answerForwarder) close(end *wire.End) {
	if !af.headSent && !af.events {
		whole := &wire.Whole{Head: af.head, Chunk: af.firstChunk, End: end}
		af.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Whole{Whole: whole}})
		return
	}
	af.sendHead()
	af.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_End{End: end}})
}

// maxSegments bounds the changes of the version in one answer. An engine changes its version
// once in seconds.
const maxSegments = 1000

// recordVersions adds the reported versions of new tokens to the segments. Consecutive
// tokens of the same version form one segment.
func (af *answerForwarder) recordVersions(events []engine.Event) {
	for _, ev := range events {
		af.streamEnded, af.streamFailed = af.streamEnded || ev.Done, af.streamFailed || ev.Failed
		if ev.Tokens == 0 {
			continue
		}
		af.check.observe(ev.Version, af.clock.Now())
		last := len(af.segments) - 1
		if last >= 0 && af.segments[last].Version == ev.Version {
			af.segments[last].Tokens += int32(ev.Tokens)
			continue
		}
		if len(af.segments) == maxSegments {
			af.streamFailed = true
			return
		}
		af.segments = append(af.segments, &wire.Segment{Version: ev.Version, Tokens: int32(ev.Tokens)})
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

func refusalFrame(id []byte, er *core.Error) *wire.DispatchFrame {
	return &wire.DispatchFrame{Frame: &wire.DispatchFrame_Refusal{Refusal: &wire.Refusal{
		Id: id, Verdict: string(er.Verdict), Code: string(er.Code), Text: er.Text,
		RetryAfterNanos: int64(er.RetryAfter), Revision: er.Revision,
	}}}
}

// Settle reports the state of a key, or of an attempt if no key is given. If it certainly
// never arrived, Settle forbids it to run until ForbidUntilNanos.
func (gu *Guard) Settle(_ context.Context, req *wire.SettleRequest) (*wire.SettleResponse, error) {
	var (
		res = &wire.SettleResponse{State: string(fence.Unknown)}
		now = gu.clock.Now()
	)
	id, err := core.ParseAttemptID(req.Id)
	if err != nil && req.Key == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	gu.loop.Do(func() {
		until := time.Unix(0, req.ForbidUntilNanos)
		if req.Key != "" {
			res.State = string(gu.table.SettleKey(now, req.Key, until.Sub(now)))
			return
		}
		res.State = string(gu.table.Settle(now, id, req.Incarnation, until))
	})
	res.GuardTimeNanos = now.UnixNano()
	return res, nil
}
