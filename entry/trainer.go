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

// step is a trainer's step, kept by the entry that owns it.
type step struct {
	*sample.Step
	// sampleAdded is closed and replaced when a sample has been added.
	sampleAdded chan struct{}
	lastUsed    time.Time
}

const (
	// stepInterval is the interval at which steps are checked for runs to start.
	stepInterval = 100 * time.Millisecond
	// stepTTL is how long a step is kept after the trainer's last call.
	stepTTL = 30 * time.Minute
	// minSlotRetryDelay is the minimum delay before a failed slot is run again.
	minSlotRetryDelay = 250 * time.Millisecond
	// maxTakeWait limits how long a take waits for samples.
	maxTakeWait = 30 * time.Second
	// headerWait is the header with the time that a take waits for a first sample.
	headerWait = "Bilberryshelf-Wait"
)

// Calls that are relayed to the owner of a step.
const (
	callCreate = "create"
	callTake   = "take"
	callShow   = "show"
)

// stepKey returns the key of a step in Entry.steps, which relayed calls carry in
// the field Trainer.
func stepKey(trainer, name string) string { return trainer + "/" + name }

// owner returns the entry that owns a step, chosen by rendezvous hashing among the
// entries that ownerCandidates returns. While the views of entries differ, a step
// may have two owners. They don't deliver a sample twice, since the trainer states
// which ones it has.
func (en *Entry) owner(name string) (entry, addr string) {
	vi := en.view.Load()
	entry = core.Owner(name, vi.entries)
	return entry, vi.peerAddrs[entry]
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
	if _, er := en.trainerLoan(name, sp.Service); er != nil {
		return er
	}
	return en.relay(out, req, stepKey(name, sp.Step), callCreate, sp)
}

func (en *Entry) takeSamples(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	var ta sample.Take
	if er := en.readJSON(out, req, &ta); er != nil {
		return er
	}
	return en.relay(out, req, stepKey(name, req.PathValue("step")), callTake, ta)
}

func (en *Entry) showStep(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	return en.relay(out, req, stepKey(name, req.PathValue("step")), callShow, nil)
}

// relay serves a trainer's call locally or through the owner of the step.
func (en *Entry) relay(out http.ResponseWriter, req *http.Request, name, call string, body any) *core.Error {
	raw, err := json.Marshal(body)
	if err != nil {
		return core.Refuse(core.CodeBadRequest, "%v", err)
	}
	wait, err := time.ParseDuration(req.Header.Get(headerWait))
	if err != nil {
		wait = 0
	}
	wait = min(wait, maxTakeWait)
	rr := &wire.RelayRequest{Trainer: name, Call: call, Body: raw, WaitNanos: int64(wait)}
	owner, addr := en.owner(name)
	var res *wire.RelayResponse
	if owner == en.settings.Name || addr == "" {
		res, err = en.Relay(req.Context(), rr)
	} else {
		ctx, cancel := context.WithTimeout(req.Context(), wait+peerTimeout)
		defer cancel()
		res, err = en.peer(addr).Relay(ctx, rr)
	}
	if err != nil {
		en.meters.Count("peer-errors", "relay", 1)
		en.loop.Do(func() { en.excludeOwner(owner) })
		return core.Refuse(core.CodeUnknownStep, "entry %s, which owned the step, does not answer; create the step again", owner).
			WithRetryAfter(stepInterval)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(int(res.Status))
	_, _ = out.Write(res.Body)
	return nil
}

// ownerExclusion is how long an entry that did not answer a relayed call is not
// considered an owner, even if it sends gossip: it may be able to send but not to
// receive.
const ownerExclusion = 10 * time.Second

// excludeOwner excludes an entry that did not answer from owning steps for
// ownerExclusion. It runs on the loop.
func (en *Entry) excludeOwner(name string) {
	en.excludedUntil[name] = en.clock.Now().Add(ownerExclusion)
	en.publish()
}

// ownerCandidates returns the entries that may own steps. It runs on the loop.
func (en *Entry) ownerCandidates() []string {
	now := en.clock.Now()
	return slices.DeleteFunc(en.knownEntries(), func(na string) bool { return now.Before(en.excludedUntil[na]) })
}

// Relay serves a trainer's call at the owner of the step.
func (en *Entry) Relay(ctx context.Context, req *wire.RelayRequest) (*wire.RelayResponse, error) {
	var (
		value any
		er    *core.Error
	)
	switch req.Call {
	case callCreate:
		value, er = en.createLocalStep(req)
	case callTake:
		value, er = en.takeLocalSamples(ctx, req)
	case callShow:
		value, er = en.showLocalStep(req.Trainer)
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

// stepState is the status of a step in responses to its trainer.
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

// createLocalStep creates a step, or returns the state of an existing one with the
// same specification.
func (en *Entry) createLocalStep(req *wire.RelayRequest) (state stepState, er *core.Error) {
	var sp sample.Spec
	if err := json.Unmarshal(req.Body, &sp); err != nil {
		return state, core.Refuse(core.CodeBadRequest, "%v", err)
	}
	en.loop.Do(func() {
		st := en.steps[req.Trainer]
		if st != nil && !st.Spec.Same(sp) {
			er = core.Refuse(core.CodeConflict, "step %s already exists with other prompts or settings", sp.Step)
			return
		}
		if st == nil {
			st = &step{Step: sample.NewStep(sp), sampleAdded: make(chan struct{})}
			st.Window = en.settings.Sample.Window
			st.ExtraShare, st.ExtraAfter = en.settings.Sample.ExtraShare, en.settings.Sample.ExtraAfter
			en.steps[req.Trainer] = st
			level.Info(en.logger).Log("event", "step", "step", req.Trainer, "slots", sp.Slots())
		}
		st.lastUsed = en.clock.Now()
		state = st.describe()
	})
	go en.startSampleRuns(en.ctx)
	return state, er
}

func (en *Entry) showLocalStep(name string) (state stepState, er *core.Error) {
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

// takeLocalSamples serves a take, waiting for a first sample if the trainer allows
// it.
func (en *Entry) takeLocalSamples(ctx context.Context, req *wire.RelayRequest) (tr sample.TakeResponse, er *core.Error) {
	var ta sample.Take
	if err := json.Unmarshal(req.Body, &ta); err != nil {
		return tr, core.Refuse(core.CodeBadRequest, "%v", err)
	}
	timeout := en.clock.After(time.Duration(req.WaitNanos))
	for {
		var sampleAdded chan struct{}
		er = unknownStep(req.Trainer)
		en.loop.Do(func() {
			st := en.steps[req.Trainer]
			if st == nil {
				return
			}
			var released []string
			tr, released, er = st.Take(ta)
			st.lastUsed, sampleAdded = en.clock.Now(), st.sampleAdded
			en.releaseSamples(released)
		})
		if er != nil || len(tr.Samples) > 0 || tr.Remaining == 0 {
			return tr, er
		}
		select {
		case <-sampleAdded:
		case <-timeout:
			return tr, nil
		case <-ctx.Done():
			return tr, nil
		}
	}
}

// releaseSamples tells the guards, with their next hellos, which stored samples
// are no longer needed. It runs on the loop.
func (en *Entry) releaseSamples(keys []string) {
	for _, re := range en.remotes {
		re.released = append(re.released, keys...)
	}
}
