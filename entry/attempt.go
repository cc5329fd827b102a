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
	"bilberryshelf/wire"
)

// receiver takes an answer in. After a cut answer it is given the next one
// from its start.
type receiver interface {
	// begin takes the head of an answer.
	begin(head *wire.Head, target string) *core.Error
	// take takes the next bytes.
	take(raw []byte) *core.Error
	// end closes an answer whose length and digest were right.
	end(end *wire.End) *core.Error
	// spoilt reports that no further answer can be taken.
	spoilt() bool
}

// outcome is what an attempt came to. Without a report the whole answer
// arrived.
type outcome struct {
	report retry.Report
	// first is the time until the head of the answer.
	first time.Duration
}

func (oc outcome) whole() bool { return oc.report.Event == "" }

// attempt sends a request to one target.
func (en *Entry) attempt(ctx context.Context, ch *chase) outcome {
	rq, co := ch.rq, ch.at.contact
	co.InFlight.Add(1)
	defer co.InFlight.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	unwatch := context.AfterFunc(co.lost, cancel)
	defer unwatch()

	began := en.clock.Now()
	body, err := en.post(ctx, co, en.dispatch(ch))
	if err != nil {
		cancel()
		return outcome{report: cut(rq, err)}
	}
	var oc outcome
	defer func() {
		if !oc.whole() {
			cancel() // nobody listens to the rest
		}
		go finishBody(body, cancel)
	}()
	fr := frames{rc: ch.rc, target: co.Name, id: ch.id, hash: xxhash.New()}
	in := wire.NewFrameReader(body)
	for {
		frame, err := in.Next()
		if err != nil {
			oc.report = cut(rq, err)
			return oc
		}
		done, re := fr.take(frame)
		if fr.began && oc.first == 0 {
			oc.first = en.clock.Now().Sub(began)
		}
		if done {
			oc.report = re
			return oc
		}
	}
}

// post sends a dispatch and returns the body of the answer.
func (en *Entry) post(ctx context.Context, co *contact, req *wire.DispatchRequest) (io.ReadCloser, error) {
	raw, err := proto.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "dispatch")
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+co.Addr+wire.DispatchPath, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Wrap(err, "dispatch")
	}
	hr.Header.Set("Authorization", "Bearer "+en.nodeKey)
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

// finishBody reads what follows the end of an answer, so that the connection
// can be used again.
func finishBody(body io.ReadCloser, cancel context.CancelFunc) {
	defer cancel()
	_, _ = io.Copy(io.Discard, body)
	_ = body.Close()
}

// cut reports a stream that ended without an end. A guard that takes no
// connection was given nothing; but a caller's key may have run there before.
func cut(rq *request, err error) retry.Report {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		if rq.keyed {
			return retry.Report{Event: retry.Refused, Error: core.InDoubt(core.CodeKeyHomeGone, "the home of this key does not answer")}
		}
		return retry.Report{Event: retry.Refused, Error: core.Refuse(core.CodeTargetDown, "the guard takes no connections")}
	}
	return retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "the answer was cut: %v", err)}
}

func (en *Entry) dispatch(ch *chase) *wire.DispatchRequest {
	rq, at, id := ch.rq, ch.at, ch.id
	co := at.contact
	now := en.clock.Now()
	hold := internalHold
	if rq.keyed {
		hold = en.settings.Timing.KeyHold.Std()
	}
	ch.startBy = en.startBy(co, rq, now)
	vi := en.view.Load()
	ta, _ := vi.book.Target(co.Name)
	req := &wire.DispatchRequest{
		Id: id[:], Incarnation: co.Incarnation, Entry: en.settings.Name,
		DeadlineNanos: ch.startBy.UnixNano(),
		Service:       rq.service, Loan: at.loan.ID, Tenant: rq.tenant, Priority: string(rq.priority),
		Idempotent: rq.idempotent, Key: rq.key, KeyHoldNanos: int64(hold),
		Digest: rq.digest, Method: rq.method, Path: rq.path, Headers: rq.headers, Body: rq.body,
		Alone: at.alone, Revision: ta.Revision, Sample: rq.sample, Fresh: !rq.keyed && !ch.plan.InDoubt(),
	}
	if co.Revision < ta.Revision {
		if raw, err := vi.book.TargetSlice(co.Name).Encode(); err == nil {
			req.Slice = raw
		}
	}
	return req
}

// startBy is the deadline of the attempt in the guard's clock: a start later
// than the caller waits for would be of no use.
func (en *Entry) startBy(co *contact, rq *request, now time.Time) time.Time {
	within := min(en.settings.Timing.StartWithin.Std(), rq.deadline.Sub(now))
	return co.deadline(now, within)
}

// frames checks the frames of one answer: every frame that names an id names
// this attempt's, and the end agrees with what came before it.
type frames struct {
	rc     receiver
	target string
	id     core.AttemptID
	hash   *xxhash.Digest
	length int64
	began  bool
}

// take reports whether the attempt is over; an empty report means that the
// answer is whole.
func (fr *frames) take(msg *wire.DispatchFrame) (bool, retry.Report) {
	switch frame := msg.Frame.(type) {
	case *wire.DispatchFrame_Refusal:
		return true, refused(frame.Refusal)
	case *wire.DispatchFrame_Whole:
		return fr.takeWhole(frame.Whole)
	case *wire.DispatchFrame_Head:
		if !fr.mine(frame.Head.Id) {
			return true, crossed()
		}
		fr.began = true
		return fr.failed(fr.rc.begin(frame.Head, fr.target))
	case *wire.DispatchFrame_Chunk:
		fr.length += int64(len(frame.Chunk))
		_, _ = fr.hash.Write(frame.Chunk)
		return fr.failed(fr.rc.take(frame.Chunk))
	case *wire.DispatchFrame_End:
		if !fr.mine(frame.End.Id) || !fr.began {
			return true, crossed()
		}
		if frame.End.Length != fr.length || frame.End.Digest != fr.hash.Sum64() {
			return true, retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "the answer arrived damaged")}
		}
		_, re := fr.failed(fr.rc.end(frame.End))
		return true, re
	}
	return true, crossed()
}

// takeWhole takes an answer that came in one frame.
func (fr *frames) takeWhole(wh *wire.Whole) (bool, retry.Report) {
	for _, part := range []*wire.DispatchFrame{
		{Frame: &wire.DispatchFrame_Head{Head: wh.Head}},
		{Frame: &wire.DispatchFrame_Chunk{Chunk: wh.Chunk}},
		{Frame: &wire.DispatchFrame_End{End: wh.End}},
	} {
		if done, re := fr.take(part); done {
			return done, re
		}
	}
	return true, crossed()
}

func (fr *frames) mine(id []byte) bool { return string(id) == string(fr.id[:]) }

func (fr *frames) failed(er *core.Error) (bool, retry.Report) {
	if er == nil {
		return false, retry.Report{}
	}
	return true, retry.Report{Event: retry.Cut, Error: er}
}

func crossed() retry.Report {
	return retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "the answer belongs to another attempt")}
}

func refused(re *wire.Refusal) retry.Report {
	er := &core.Error{
		Verdict: core.ParseVerdict(re.Verdict), Code: core.Code(re.Code), Text: re.Text,
		RetryAfter: time.Duration(re.RetryAfterNanos), Revision: re.Revision,
	}
	return retry.Report{Event: retry.Refused, Error: er}
}
