package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/server"
	"bilberryshelf/setup"
	"bilberryshelf/wire"
	"bilberryshelf/wire/wireconnect"
)

// Handler serves callers, trainers and operators.
func (en *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", en.as(setup.Caller, en.completions))
	mux.HandleFunc("POST /v1/chat/completions", en.as(setup.Caller, en.completions))
	mux.HandleFunc("/services/{service}/{path...}", en.as(setup.Caller, en.callService))
	mux.HandleFunc("POST /v1/steps", en.as(setup.Trainer, en.createStep))
	mux.HandleFunc("POST /v1/steps/{step}/take", en.as(setup.Trainer, en.takeSamples))
	mux.HandleFunc("GET /v1/steps/{step}", en.as(setup.Trainer, en.showStep))
	mux.HandleFunc("POST /v1/weights", en.as(setup.Trainer, en.publishWeights))
	mux.HandleFunc("POST /v1/sheets", en.as(setup.Operator, en.applySheet))
	mux.HandleFunc("GET /v1/status", en.as(setup.Operator, en.showStatus))
	mux.HandleFunc("GET /v1/loans/{loan}", en.as(setup.Operator, en.explainLoan))
	mux.HandleFunc("POST /v1/loans/{loan}/recall", en.as(setup.Operator, en.recallLoan))
	mux.HandleFunc("POST /v1/operations/{operation}/settle", en.as(setup.Operator, en.settleOperation))
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", en.readyz)
	mux.Handle("GET /metrics", en.meters)
	mux.HandleFunc("/", func(out http.ResponseWriter, req *http.Request) {
		writeError(out, core.Refuse(core.CodeUnknownService, "there is nothing at %s %s; docs/API.md lists what there is", req.Method, req.URL.Path))
	})
	return mux
}

// InnerHandler serves the other entries and the guards.
func (en *Entry) InnerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeerServiceHandler(en))
	return server.RequireToken(en.nodeKey, mux)
}

func (en *Entry) readyz(out http.ResponseWriter, _ *http.Request) {
	if !en.Ready() {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out.WriteHeader(http.StatusOK)
}

// handler serves a request of somebody whose token was right.
type handler func(out http.ResponseWriter, req *http.Request, name string) *core.Error

// as lets holders of a role in and writes the error that the handler returns.
func (en *Entry) as(role setup.Role, next handler) http.HandlerFunc {
	type known struct {
		name string
		hash server.TokenHash
	}
	var holders []known
	for _, to := range en.settings.Tokens {
		if to.Role == role {
			holders = append(holders, known{name: to.Name, hash: server.HashToken(to.Secret())})
		}
	}
	return func(out http.ResponseWriter, req *http.Request) {
		en.requests.Add(1)
		defer en.requests.Done()
		name := ""
		for _, ho := range holders { // every one is compared, whatever matched
			if ho.hash.Bears(req) {
				name = ho.name
			}
		}
		if name == "" {
			writeError(out, core.Refuse(core.CodeUnauthorized, "the token is missing, wrong, or not that of a %s", role))
			return
		}
		req.Body = http.MaxBytesReader(out, req.Body, int64(en.settings.Limits.MaxBody))
		if er := next(out, req, name); er != nil {
			writeError(out, er)
		}
	}
}

// readBody reads the whole body within the limits of size and time. The time
// limit is lifted only once the body is whole: before the server writes a
// refusal, it reads on in a body that is not, and without the limit would wait
// for a slow sender for ever.
func (en *Entry) readBody(out http.ResponseWriter, req *http.Request) ([]byte, *core.Error) {
	control := http.NewResponseController(out)
	_ = control.SetReadDeadline(time.Now().Add(en.settings.Timing.ReadTimeout.Std()))
	raw, err := io.ReadAll(req.Body)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return raw, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, core.Refuse(core.CodeTooLarge, "the body is larger than %d bytes", large.Limit)
	}
	return nil, core.Refuse(core.CodeBadRequest, "the body did not arrive: %v", err)
}

func (en *Entry) readJSON(out http.ResponseWriter, req *http.Request, into any) *core.Error {
	raw, er := en.readBody(out, req)
	if er != nil {
		return er
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return core.Refuse(core.CodeBadRequest, "the body is not the JSON that is expected: %v", err)
	}
	return nil
}

func writeJSON(out http.ResponseWriter, value any) *core.Error {
	raw, err := json.Marshal(value)
	if err != nil {
		return core.InDoubt(core.CodeBadRequest, "the answer cannot be written: %v", err)
	}
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write(append(raw, '\n'))
	return nil
}

// completion is what of a completions request decides where it goes.
type completion struct {
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
	// MaxTokens and MaxChat are the two names of the same bound.
	MaxTokens *int `json:"max_tokens"`
	MaxChat   *int `json:"max_completion_tokens"`
}

// check refuses what no target should be asked for.
func (co completion) check(most int) *core.Error {
	if co.Model == "" {
		return core.Refuse(core.CodeBadRequest, "model is missing; it names the service")
	}
	for _, asked := range []*int{co.MaxTokens, co.MaxChat} {
		if asked != nil && (*asked < 1 || *asked > most) {
			return core.Refuse(core.CodeBadRequest, "max_tokens is %d, and must be from 1 to %d", *asked, most)
		}
	}
	return nil
}

// completions serves the completions and chat completions protocols. The
// model is the service.
func (en *Entry) completions(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	raw, er := en.readBody(out, req)
	if er != nil {
		return er
	}
	var co completion
	if err := json.Unmarshal(raw, &co); err != nil {
		return core.Refuse(core.CodeBadRequest, "the body is not JSON: %v", err)
	}
	if er := co.check(en.settings.Limits.MaxTokens); er != nil {
		return er
	}
	rq, er := en.request(req, name, co.Model, req.URL.Path, raw, true)
	if er != nil {
		return er
	}
	rq.model = true
	rq.prefix = prefixOf(name, append(bytes.TrimSpace(co.Prompt), co.Messages...))
	return en.answer(out, req, rq)
}

// prefixBytes is how much of a prompt decides which cache it goes to.
const prefixBytes = 256

func prefixOf(tenant string, prompt []byte) uint64 {
	ha := xxhash.New()
	_, _ = ha.WriteString(tenant)
	_, _ = ha.Write(prompt[:min(len(prompt), prefixBytes)])
	return ha.Sum64()
}

// callService passes any HTTP call to a plain service.
func (en *Entry) callService(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	raw, er := en.readBody(out, req)
	if er != nil {
		return er
	}
	path := "/" + req.PathValue("path")
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	safe := req.Method == http.MethodGet || req.Method == http.MethodHead
	rq, er := en.request(req, name, req.PathValue("service"), path, raw, safe)
	if er != nil {
		return er
	}
	return en.answer(out, req, rq)
}

// request reads what the caller asks of its request from the headers.
func (en *Entry) request(req *http.Request, name, service, path string, raw []byte, idempotent bool) (*request, *core.Error) {
	now := en.clock.Now()
	vi := en.view.Load()
	if vi.book.Generation == 0 {
		return nil, core.Refuse(core.CodeNotReady, "no sheet is in force yet").WithRetryAfter(time.Second)
	}
	if !vi.book.Serves(service) {
		return nil, core.Refuse(core.CodeUnknownService, "no sheet names a service %q", service)
	}
	lo, er := vi.book.Find(name, service, now)
	if er != nil {
		return nil, er
	}
	rq := &request{
		id: uuid.NewString(), tenant: name, service: service, loan: lo,
		method: req.Method, path: path, headers: wire.Headers(req.Header, keptHeaders), body: raw,
		digest: core.Digest(req.Method, service+path, raw), idempotent: idempotent,
	}
	if er := rq.readHeaders(req.Header, now, en.settings.Timing.DefaultTimeout.Std()); er != nil {
		return nil, er
	}
	if rq.key != "" {
		rq.key, rq.keyed = name+"/"+rq.key, !rq.idempotent
	}
	if rq.key == "" && !rq.idempotent {
		rq.key = "request/" + rq.id
	}
	return rq, nil
}

// longestKey bounds an idempotency key.
const longestKey = 256

func (rq *request) readHeaders(he http.Header, now time.Time, patience time.Duration) *core.Error {
	rq.priority = rq.loan.Priority
	if text := he.Get(headerPriority); text != "" {
		rq.priority = core.Priority(text)
		if !rq.priority.Valid() {
			return core.Refuse(core.CodeBadRequest, "%s: %q is not high, normal or low", headerPriority, text)
		}
		rq.priority = rq.priority.AtMost(rq.loan.Priority)
	}
	if text := he.Get(headerTimeout); text != "" {
		span, err := time.ParseDuration(text)
		if err != nil || span <= 0 {
			return core.Refuse(core.CodeBadRequest, "%s: %q is not a span such as 2s", headerTimeout, text)
		}
		patience = span
	}
	rq.deadline = now.Add(patience)
	if text := he.Get(headerIdempotent); text != "" {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return core.Refuse(core.CodeBadRequest, "%s: %q is not true or false", headerIdempotent, text)
		}
		rq.idempotent = value
	}
	rq.key = he.Get(headerKey)
	if len(rq.key) > longestKey {
		return core.Refuse(core.CodeBadRequest, "%s is longer than %d bytes", headerKey, longestKey)
	}
	return nil
}

// keptHeaders are the caller's headers that stay with the system.
var keptHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Accept-Encoding": true, "Host": true, headerPriority: true, headerTimeout: true, headerIdempotent: true,
}

// answer performs a caller's request and writes what became of it.
//
// A refusal of a request with a caller's key speaks of the key: an earlier
// send of it, through any entry, may have run or may still do so. So nothing
// but the home's kept answer can be certain, and the verdict is may-have-run;
// sending the key again is safe.
func (en *Entry) answer(out http.ResponseWriter, req *http.Request, rq *request) *core.Error {
	out.Header().Set(headerRequest, rq.id)
	rp := &reply{out: out, model: rq.model}
	er := en.perform(req.Context(), rq, rp)
	if er == nil {
		return nil
	}
	if rq.keyed && er.Verdict == core.NotRun && er.Code != core.CodeKeyConflict {
		er = er.WithVerdict(core.MayHaveRun)
	}
	rp.fail(er)
	return nil
}

// find returns the loan of a trainer, for calls that need one.
func (en *Entry) find(name, service string) (loan.Loan, *core.Error) {
	vi := en.view.Load()
	if vi.book.Generation == 0 {
		return loan.Loan{}, core.Refuse(core.CodeNotReady, "no sheet is in force yet").WithRetryAfter(time.Second)
	}
	lo, er := vi.book.Find(name, service, en.clock.Now())
	if er == nil && lo.Kind != core.Trainer {
		return lo, core.Refuse(core.CodeNoLoan, "loan %s is not a trainer's", lo.ID)
	}
	return lo, er
}
