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
	"bilberryshelf/wire"
)

// answer is a whole answer of the target.
type answer struct {
	head *wire.Head
	body []byte
	end  *wire.End
}

func (an *answer) size() int { return len(an.body) }

// sender is the way back to the entry.
type sender interface {
	Send(frame *wire.DispatchFrame) error
}

// ServeHTTP runs one attempt: a POST of a DispatchRequest.
func (gu *Guard) ServeHTTP(out http.ResponseWriter, hr *http.Request) {
	raw, err := io.ReadAll(hr.Body)
	req := &wire.DispatchRequest{}
	if err == nil {
		err = proto.Unmarshal(raw, req)
	}
	if err != nil {
		http.Error(out, "no dispatch request", http.StatusBadRequest)
		return
	}
	if er := gu.dispatch(hr.Context(), req, wire.NewFrameWriter(out)); er != nil {
		panic(http.ErrAbortHandler) // the entry must not take it for an end
	}
}

// dispatch runs one attempt and sends its answer or refusal.
func (gu *Guard) dispatch(ctx context.Context, req *wire.DispatchRequest, out sender) error {
	id, err := core.ParseAttemptID(req.Id)
	if err != nil {
		return out.Send(refusalFrame(req.Id, core.Refuse(core.CodeBadRequest, "%v", err)))
	}
	if len(req.Slice) > 0 {
		gu.adopt(req.Slice)
	}
	began := gu.clock.Now()
	er := gu.serve(ctx, req, id, out)
	gu.meters.Observe("dispatch", req.Tenant, gu.clock.Now().Sub(began))
	if er == nil {
		return nil
	}
	gu.meters.Count("refused", string(er.Code), 1)
	level.Debug(gu.logger).Log("event", "refused", "request", id, "loan", req.Loan, "code", er.Code, "verdict", er.Verdict)
	return out.Send(refusalFrame(req.Id, er))
}

func (gu *Guard) serve(ctx context.Context, req *wire.DispatchRequest, id core.AttemptID, out sender) *core.Error {
	for {
		var ad admission
		if !gu.loop.Do(func() { ad = gu.admit(req, id) }) {
			return core.Refuse(core.CodeDraining, "the guard has stopped")
		}
		switch {
		case ad.err != nil:
			return ad.err
		case ad.pass == fence.Run:
			return gu.execute(ctx, req, ad.run, out)
		case ad.pass == fence.Replay:
			return gu.replay(req.Id, ad.answer, out)
		}
		// The same key is in progress: wait for its end, then ask the table.
		select {
		case <-ad.run.done:
		case <-ctx.Done():
			return core.InDoubt(core.CodeAnswerCut, "the entry went away while the key ran")
		}
	}
}

// replay hands out a kept answer under the id of the present attempt.
func (gu *Guard) replay(id []byte, an *answer, out sender) *core.Error {
	head := &wire.Head{Id: id, Status: an.head.Status, Headers: an.head.Headers, Replayed: true}
	end := &wire.End{Id: id, Length: an.end.Length, Digest: an.end.Digest, Segments: an.end.Segments}
	whole := &wire.Whole{Head: head, Chunk: an.body, End: end}
	// An entry that went away gets it another time; the answer stays kept.
	_ = out.Send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Whole{Whole: whole}})
	return nil
}

// execute gives the request to the target and passes the answer on.
//
// The run of a keyed or non-idempotent request goes on when the entry goes
// away, so that its outcome is known and its answer kept. Any other run is
// cancelled with the entry's stream.
func (gu *Guard) execute(ctx context.Context, req *wire.DispatchRequest, ru *run, out sender) *core.Error {
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
		er = gu.explain(ctx, ru, er)
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

// chunkSize is the most bytes passed on in one frame.
const chunkSize = 32 << 10

// forward sends the request to the target. Its error is nil exactly if the
// target's answer came whole; then the answer is returned if it is kept.
func (gu *Guard) forward(ctx context.Context, req *wire.DispatchRequest, ru *run, out sender) (*answer, *core.Error) {
	hr, err := gu.targetRequest(ctx, req)
	if err != nil {
		return nil, core.Refuse(core.CodeBadRequest, "%v", err)
	}
	client := gu.single
	if req.Idempotent {
		client = gu.pooled
	}
	res, err := client.Do(hr)
	if err != nil {
		return nil, gu.sendError(err)
	}
	defer res.Body.Close() // the body was read to its end or given up
	if busy := gu.busyEngine(res); busy != nil {
		return nil, busy
	}
	head := &wire.Head{Id: req.Id, Status: int32(res.StatusCode), Headers: wire.Headers(res.Header, hopHeaders)}
	events := strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
	pa := passage{out: out, events: events, clock: gu.clock, labels: ru.labels, keep: ru.key != "", most: int(gu.settings.Limits.MaxAnswer), hash: xxhash.New()}
	pa.head = head
	if err := pa.copy(res.Body, pa.events); err != nil {
		return nil, core.InDoubt(core.CodeAnswerCut, "the target's answer was cut: %v", err)
	}
	end := &wire.End{Id: req.Id, Length: pa.length, Digest: pa.hash.Sum64()}
	if ru.sample {
		end.Segments = gu.segments(ru, pa.segments, pa.ended)
	}
	pa.close(end)
	if !pa.keep {
		return nil, nil
	}
	return &answer{head: head, body: pa.kept, end: end}, nil
}

func (gu *Guard) targetRequest(ctx context.Context, req *wire.DispatchRequest) (*http.Request, error) {
	if !strings.HasPrefix(req.Path, "/") {
		return nil, errors.Newf("path %q does not start with a slash", req.Path)
	}
	hr, err := http.NewRequestWithContext(ctx, req.Method, gu.settings.Engine.URL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, errors.Wrap(err, "request to the target")
	}
	for _, he := range req.Headers {
		hr.Header.Add(he.Name, he.Value)
	}
	return hr, nil
}

// sendError tells a request that never left from one that may have arrived.
func (gu *Guard) sendError(err error) *core.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return core.Refuse(core.CodeTargetDown, "the target does not take connections")
	}
	return core.InDoubt(core.CodeTargetLost, "the target was given the request and did not answer: %v", err)
}

// busyEngine reads an engine's own refusal for lack of room. The answers of a
// plain service are its own business and are passed on.
func (gu *Guard) busyEngine(res *http.Response) *core.Error {
	full := res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable
	if !gu.settings.Engine.Model || !full {
		return nil
	}
	return core.Refuse(core.CodeFull, "the engine is full").WithRetryAfter(time.Second)
}

// passage passes an answer on while it comes, and keeps it if asked. When the
// entry has gone away it goes on reading for the sake of the outcome.
type passage struct {
	out   sender
	clock core.Clock
	head  *wire.Head
	// events says that the answer is a stream of events.
	events bool
	begun  bool
	// first is the first chunk of an answer that may be short.
	first []byte
	// labels is set for samples.
	labels   *labels
	gone     bool
	keep     bool
	most     int
	kept     []byte
	length   int64
	hash     *xxhash.Digest
	stream   engine.Stream
	segments []*wire.Segment
	ended    bool
}

func (pa *passage) send(frame *wire.DispatchFrame) {
	if !pa.gone && pa.out.Send(frame) != nil {
		pa.gone = true
	}
}

// copy reads the answer to its end. A stream of events is passed on as it
// comes; anything else is passed on in chunks, or in one frame if it is short.
func (pa *passage) copy(body io.Reader, events bool) error {
	buf := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(buf)
	filled := 0
	for {
		count, err := body.Read(buf[filled:])
		filled += count
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return err
		}
		if filled > 0 && (events || ended || filled == chunkSize) {
			pa.take(buf[:filled])
			filled = 0
		}
		if ended {
			return nil
		}
	}
}

// chunks keeps the buffers of answers that are over.
var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

func (pa *passage) take(raw []byte) {
	pa.length += int64(len(raw))
	_, _ = pa.hash.Write(raw)
	if pa.labels != nil {
		pa.note(pa.stream.Feed(raw))
	}
	if pa.keep && len(pa.kept)+len(raw) > pa.most {
		pa.keep, pa.kept = false, nil
	}
	if pa.keep {
		pa.kept = append(pa.kept, raw...)
	}
	if pa.first == nil && !pa.begun && !pa.events {
		pa.first = bytes.Clone(raw) // it may be all there is
		return
	}
	pa.begin()
	pa.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Chunk{Chunk: raw}})
}

// begin sends the head and what was held back, once.
func (pa *passage) begin() {
	if pa.begun {
		return
	}
	pa.begun = true
	pa.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Head{Head: pa.head}})
	if pa.first != nil {
		pa.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Chunk{Chunk: pa.first}})
		pa.first = nil
	}
}

// close sends the end, or all in one frame.
func (pa *passage) close(end *wire.End) {
	if !pa.begun && !pa.events {
		whole := &wire.Whole{Head: pa.head, Chunk: pa.first, End: end}
		pa.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Whole{Whole: whole}})
		return
	}
	pa.begin()
	pa.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_End{End: end}})
}

// note adds the versions that the engine reports, joined into segments.
func (pa *passage) note(events []engine.Event) {
	for _, ev := range events {
		pa.ended = pa.ended || ev.Last
		if ev.Tokens == 0 {
			continue
		}
		pa.labels.check(ev.Version, pa.clock.Now())
		last := len(pa.segments) - 1
		if last >= 0 && pa.segments[last].Version == ev.Version {
			pa.segments[last].Tokens += int32(ev.Tokens)
			continue
		}
		pa.segments = append(pa.segments, &wire.Segment{Version: ev.Version, Tokens: int32(ev.Tokens)})
	}
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

func refusalFrame(id []byte, er *core.Error) *wire.DispatchFrame {
	return &wire.DispatchFrame{Frame: &wire.DispatchFrame_Refusal{Refusal: &wire.Refusal{
		Id: id, Verdict: string(er.Verdict), Code: string(er.Code), Text: er.Text,
		RetryAfterNanos: int64(er.RetryAfter), Revision: er.Revision,
	}}}
}

// Settle answers what became of an attempt or a key.
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
