package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"bilberryshelf/core"
	"bilberryshelf/sample"
	"bilberryshelf/wire"
)

// step is a trainer's step at its owner.
type step struct {
	*sample.Step
	// news closes when a sample has arrived; then it is replaced.
	news chan struct{}
	used time.Time
}

const (
	// stepTick is the pace at which steps are looked through for stragglers.
	stepTick = 100 * time.Millisecond
	// stepHold is how long a step is kept after its last call.
	stepHold = 30 * time.Minute
	// failedPause is the shortest wait before a failed slot is run again.
	failedPause = 250 * time.Millisecond
	// mostWait bounds how long a take waits for samples.
	mostWait = 30 * time.Second
	// headerWait is how long a take may wait for a first sample.
	headerWait = "Bilberryshelf-Wait"
)

// The calls that are relayed to the owner of a step.
const (
	callCreate = "create"
	callTake   = "take"
	callShow   = "show"
)

func stepName(trainer, name string) string { return trainer + "/" + name }

// owner is the entry that keeps a step: the rendezvous owner among the live
// entries. While views differ there may be two; the trainer's own account of
// what it has keeps them from delivering twice.
func (en *Entry) owner(name string) (entry, addr string) {
	vi := en.view.Load()
	entry = core.Owner(name, vi.entries)
	return entry, vi.addrs[entry]
}

func (en *Entry) createStep(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	var sp sample.Spec
	if er := en.readJSON(out, req, &sp); er != nil {
		return er
	}
	sp.Trainer = name
	if er := sp.Check(en.settings.Limits.MaxTokens); er != nil {
		return er
	}
	if _, er := en.find(name, sp.Service); er != nil {
		return er
	}
	return en.relay(out, req, stepName(name, sp.Step), callCreate, sp)
}

func (en *Entry) takeSamples(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	var ta sample.Take
	if er := en.readJSON(out, req, &ta); er != nil {
		return er
	}
	return en.relay(out, req, stepName(name, req.PathValue("step")), callTake, ta)
}

func (en *Entry) showStep(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	return en.relay(out, req, stepName(name, req.PathValue("step")), callShow, nil)
}

// relay answers a trainer's call here or at the owner of the step.
func (en *Entry) relay(out http.ResponseWriter, req *http.Request, name, call string, body any) *core.Error {
	raw, err := json.Marshal(body)
	if err != nil {
		return core.Refuse(core.CodeBadRequest, "%v", err)
	}
	wait, err := time.ParseDuration(req.Header.Get(headerWait))
	if err != nil {
		wait = 0
	}
	wait = min(wait, mostWait)
	rr := &wire.RelayRequest{Trainer: name, Call: call, Body: raw, WaitNanos: int64(wait)}
	owner, addr := en.owner(name)
	var res *wire.RelayResponse
	if owner == en.settings.Name || addr == "" {
		res, err = en.Relay(req.Context(), rr)
	} else {
		ctx, cancel := context.WithTimeout(req.Context(), wait+spreadTimeout)
		defer cancel()
		res, err = en.peer(addr).Relay(ctx, rr)
	}
	if err != nil {
		en.meters.Count("peer-errors", "relay", 1)
		en.loop.Do(func() { en.shun(owner) })
		return core.Refuse(core.CodeUnknownStep, "entry %s, which owned the step, does not answer; create the step again", owner).
			WithRetryAfter(stepTick)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(int(res.Status))
	_, _ = out.Write(res.Body)
	return nil
}

// shunHold is how long an entry that did not answer a relayed call owns no
// steps here, even if it is heard from: it may send and not receive.
const shunHold = 10 * time.Second

// shun takes an entry that does not answer out of the owners for a while. It
// runs on the loop.
func (en *Entry) shun(name string) {
	en.shunned[name] = en.clock.Now().Add(shunHold)
	en.publish()
}

// owners lists the entries that may own steps. It runs on the loop.
func (en *Entry) owners() []string {
	now := en.clock.Now()
	return slices.DeleteFunc(en.liveEntries(), func(na string) bool { return now.Before(en.shunned[na]) })
}

// Relay serves a trainer's call at the owner of the step.
func (en *Entry) Relay(ctx context.Context, req *wire.RelayRequest) (*wire.RelayResponse, error) {
	var (
		value any
		er    *core.Error
	)
	switch req.Call {
	case callCreate:
		value, er = en.ownStep(req)
	case callTake:
		value, er = en.give(ctx, req)
	case callShow:
		value, er = en.describeStep(req.Trainer)
	default:
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	if er != nil {
		return &wire.RelayResponse{Status: int32(statusOf(er)), Body: errorBody(er)}, nil
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &wire.RelayResponse{Status: http.StatusOK, Body: raw}, nil
}

// stepState is what a trainer is told of its step.
type stepState struct {
	Step    string        `json:"step"`
	Slots   int           `json:"slots"`
	Running int           `json:"running"`
	Done    bool          `json:"done"`
	Counts  sample.Counts `json:"counts"`
}

func (st *step) describe() stepState {
	return stepState{
		Step: st.Spec.Step, Slots: st.Spec.Slots(), Running: st.Running(), Done: st.Complete(), Counts: st.Counts(),
	}
}

// ownStep starts a step, or finds that it goes on already.
func (en *Entry) ownStep(req *wire.RelayRequest) (state stepState, er *core.Error) {
	var sp sample.Spec
	if err := json.Unmarshal(req.Body, &sp); err != nil {
		return state, core.Refuse(core.CodeBadRequest, "%v", err)
	}
	en.loop.Do(func() {
		st := en.steps[req.Trainer]
		if st != nil && !st.Spec.Same(sp) {
			er = core.Refuse(core.CodeConflict, "step %s goes on with other prompts", sp.Step)
			return
		}
		if st == nil {
			st = &step{Step: sample.NewStep(sp), news: make(chan struct{})}
			st.Window = en.settings.Sample.Window
			st.ExtraShare, st.ExtraAfter = en.settings.Sample.ExtraShare, en.settings.Sample.ExtraAfter
			en.steps[req.Trainer] = st
			level.Info(en.logger).Log("event", "step", "step", req.Trainer, "slots", sp.Slots())
		}
		st.used = en.clock.Now()
		state = st.describe()
	})
	go en.driveSteps(en.ctx)
	return state, er
}

func (en *Entry) describeStep(name string) (state stepState, er *core.Error) {
	er = unknownStep(name)
	en.loop.Do(func() {
		if st := en.steps[name]; st != nil {
			state, er = st.describe(), nil
		}
	})
	return state, er
}

func unknownStep(name string) *core.Error {
	return core.Refuse(core.CodeUnknownStep, "step %s is not known here; create it again", name)
}

// give answers a take, waiting for a first sample if the trainer wants to.
func (en *Entry) give(ctx context.Context, req *wire.RelayRequest) (gi sample.TakeResponse, er *core.Error) {
	var ta sample.Take
	if err := json.Unmarshal(req.Body, &ta); err != nil {
		return gi, core.Refuse(core.CodeBadRequest, "%v", err)
	}
	over := en.clock.After(time.Duration(req.WaitNanos))
	for {
		var news chan struct{}
		er = unknownStep(req.Trainer)
		en.loop.Do(func() {
			st := en.steps[req.Trainer]
			if st == nil {
				return
			}
			var released []string
			gi, released, er = st.Take(ta)
			st.used, news = en.clock.Now(), st.news
			en.release(released)
		})
		if er != nil || len(gi.Samples) > 0 || gi.Remaining == 0 {
			return gi, er
		}
		select {
		case <-news:
		case <-over:
			return gi, nil
		case <-ctx.Done():
			return gi, nil
		}
	}
}

// release tells the guards which kept samples are no longer needed. It runs
// on the loop; the names go out with the next hellos.
func (en *Entry) release(keys []string) {
	for _, re := range en.remotes {
		re.released = append(re.released, keys...)
	}
}
