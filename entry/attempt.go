package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"bilberryshelf/core"
	"bilberryshelf/retry"
	"bilberryshelf/strict"
	"bilberryshelf/wire"
)

// receiver consumes an answer. After an interrupted answer it receives the
// answer of the next attempt from its start.
type receiver interface {
	// begin starts an answer with its head.
	begin(head *wire.Head, target string) *core.Error
	// receive consumes the next bytes of the body.
	receive(raw []byte) *core.Error
	// end completes an answer whose length and digest match.
	end(end *wire.End) *core.Error
	// unresumable reports whether the answer of another attempt can no longer be
	// used.
	unresumable() bool
}

// outcome is the result of an attempt. An empty report means that the complete
// answer arrived.
type outcome struct {
	report retry.Report
	// headLatency is the time from the dispatch to the head of the answer.
	headLatency time.Duration
}

func (oc outcome) complete() bool { return oc.report.Event == "" }

// attempt sends a request to one target.
func (en *Entry) attempt(ctx context.Context, rs *retryState) outcome {
	rq, ep := rs.rq, rs.placement.endpoint
	ep.InFlight.Add(1)
	defer ep.InFlight.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	unwatch := context.AfterFunc(ep.lost, cancel)
	defer unwatch()

	began := en.clock.Now()
	body, err := en.post(ctx, ep, en.dispatchRequest(rs))
	if err != nil {
		cancel()
		return outcome{report: transportReport(rq, err)}
	}
	var oc outcome
	defer func() {
		if !oc.complete() {
			cancel() // the rest of the answer is not needed
		}
		go drainBody(body, cancel)
	}()
	fr := frameReceiver{rc: rs.rc, target: ep.Name, id: rs.id, hash: xxhash.New()}
	in := wire.NewFrameReader(body)
	for {
		frame, err := in.Next()
		if err != nil {
			oc.report = transportReport(rq, err)
			return oc
		}
		done, re := fr.receive(frame)
		if fr.headSeen && oc.headLatency == 0 {
			oc.headLatency = en.clock.Now().Sub(began)
		}
		if done {
			oc.report = re
			return oc
		}
	}
}

// post sends a dispatch to a guard and returns the body of its response.
func (en *Entry) post(ctx context.Context, ep *endpoint, req *wire.DispatchRequest) (io.ReadCloser, error) {
	raw, err := proto.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "dispatch")
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ep.Addr+wire.DispatchPath, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Wrap(err, "dispatch")
	}
	hr.Header.Set("Authorization", "Bearer "+en.nodeToken)
	hr.Header.Set("Content-Type", wire.DispatchType)
	res, err := en.inner.Do(hr)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, errors.Newf("the guard answered with status %d", res.StatusCode)
	}
	return res.Body, nil
}

// drainBody reads the body to its end, so that the connection can be reused.
func drainBody(body io.ReadCloser, cancel context.CancelFunc) {
	defer cancel()
	_, _ = io.Copy(io.Discard, body)
	_ = body.Close()
}

// transportReport reports a stream that failed before its end frame. If the
// dial failed, the guard received nothing, so the attempt did not run; but a
// request with a caller's key may have run there earlier.
func transportReport(rq *request, err error) retry.Report {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		if rq.keyed {
			return retry.Report{Event: retry.Refused, Error: core.InDoubt(core.CodeKeyHomeGone, "the home of this key takes no connections")}
		}
		return retry.Report{Event: retry.Refused, Error: core.Refuse(core.CodeTargetDown, "the guard takes no connections")}
	}
	return retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "the answer was cut: %v", err)}
}

// dispatchRequest builds the dispatch of the next attempt. It includes the
// target's configuration if the guard's revision is older.
func (en *Entry) dispatchRequest(rs *retryState) *wire.DispatchRequest {
	rq, pl, id := rs.rq, rs.placement, rs.id
	ep := pl.endpoint
	now := en.clock.Now()
	hold := internalKeyHold
	if rq.keyed {
		hold = en.settings.Timing.KeyHold.Std()
	}
	rs.startDeadline = en.startDeadline(ep, rq, now)
	vi := en.view.Load()
	ta, _ := vi.book.Target(ep.Name)
	req := &wire.DispatchRequest{
		Id: id[:], Incarnation: ep.Incarnation, Entry: en.settings.Name,
		DeadlineNanos: rs.startDeadline.UnixNano(),
		Service:       rq.service, Loan: pl.loan.ID, Tenant: rq.tenant, Priority: string(rq.priority),
		Idempotent: rq.idempotent, Key: rq.key, KeyHoldNanos: int64(hold),
		Digest: rq.digest, Method: rq.method, Path: rq.path, Headers: rq.headers, Body: rq.body,
		Alone: pl.alone, Revision: ta.Revision, Sample: rq.sample, Fresh: !rq.keyed && !rs.plan.InDoubt(),
	}
	if ep.Revision < ta.Revision {
		if raw, err := vi.book.TargetSlice(ep.Name).Encode(); err == nil {
			req.Slice = raw
		}
	}
	return req
}

// startDeadline returns the time, on the guard's clock, by which the attempt must
// start. It is never later than the caller's deadline.
func (en *Entry) startDeadline(ep *endpoint, rq *request, now time.Time) time.Time {
	within := min(en.settings.Timing.StartWithin.Std(), rq.deadline.Sub(now))
	return ep.deadline(now, within)
}

// frameReceiver verifies the frames of one answer and passes them on: ids must be
// those of this attempt, and the end frame must match the length and hash of the
// received chunks.
type frameReceiver struct {
	rc       receiver
	target   string
	id       core.AttemptID
	hash     *xxhash.Digest
	length   int64
	headSeen bool
}

// receive processes a frame and reports whether the attempt has ended; an empty
// report then means that the answer is complete.
func (fr *frameReceiver) receive(msg *wire.DispatchFrame) (bool, retry.Report) {
	switch frame := msg.Frame.(type) {
	case *wire.DispatchFrame_Refusal:
		return true, refusalReport(frame.Refusal)
	case *wire.DispatchFrame_Whole:
		return fr.receiveWhole(frame.Whole)
	case *wire.DispatchFrame_Head:
		if !fr.matchesID(frame.Head.Id) {
			return true, mismatchReport()
		}
		if err := checkHead(frame.Head); err != nil {
			return true, retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "the answer has an invalid head: %v", err)}
		}
		fr.headSeen = true
		return fr.result(fr.rc.begin(frame.Head, fr.target))
	case *wire.DispatchFrame_Chunk:
		fr.length += int64(len(frame.Chunk))
		_, _ = fr.hash.Write(frame.Chunk)
		return fr.result(fr.rc.receive(frame.Chunk))
	case *wire.DispatchFrame_End:
		if !fr.matchesID(frame.End.Id) || !fr.headSeen {
			return true, mismatchReport()
		}
		if frame.End.Length != fr.length || frame.End.Digest != fr.hash.Sum64() {
			return true, retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "the answer does not match its length and digest")}
		}
		_, re := fr.result(fr.rc.end(frame.End))
		return true, re
	}
	return true, mismatchReport()
}

// checkHead returns an error unless an HTTP response may have this head. A guard of an earlier
// version may send another one, or have stored it under a key.
func checkHead(head *wire.Head) error {
	for _, he := range head.Headers {
		if err := strict.CheckName(he.Name); err != nil {
			return err
		}
	}
	return strict.CheckStatus(int(head.Status))
}

// receiveWhole processes an answer that arrived in a single frame.
func (fr *frameReceiver) receiveWhole(wh *wire.Whole) (bool, retry.Report) {
	for _, part := range []*wire.DispatchFrame{
		{Frame: &wire.DispatchFrame_Head{Head: wh.Head}},
		{Frame: &wire.DispatchFrame_Chunk{Chunk: wh.Chunk}},
		{Frame: &wire.DispatchFrame_End{End: wh.End}},
	} {
		if done, re := fr.receive(part); done {
			return done, re
		}
	}
	return true, mismatchReport()
}

func (fr *frameReceiver) matchesID(id []byte) bool { return string(id) == string(fr.id[:]) }

func (fr *frameReceiver) result(er *core.Error) (bool, retry.Report) {
	if er == nil {
		return false, retry.Report{}
	}
	return true, retry.Report{Event: retry.Cut, Error: er}
}

func mismatchReport() retry.Report {
	return retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "the answer belongs to another attempt")}
}

func refusalReport(re *wire.Refusal) retry.Report {
	er := &core.Error{
		Verdict: core.ParseVerdict(re.Verdict), Code: core.Code(re.Code), Text: re.Text,
		RetryAfter: time.Duration(re.RetryAfterNanos), Revision: re.Revision,
	}
	return retry.Report{Event: retry.Refused, Error: er}
}
