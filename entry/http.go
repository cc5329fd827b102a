package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
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

// Handler serves the API for callers, trainers and operators, health checks and
// metrics.
func (en *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", en.withRole(setup.Caller, en.completions))
	mux.HandleFunc("POST /v1/chat/completions", en.withRole(setup.Caller, en.completions))
	mux.HandleFunc("/services/{service}/{path...}", en.withRole(setup.Caller, en.callService))
	mux.HandleFunc("POST /v1/steps", en.withRole(setup.Trainer, en.createStep))
	mux.HandleFunc("POST /v1/steps/{step}/take", en.withRole(setup.Trainer, en.takeSamples))
	mux.HandleFunc("GET /v1/steps/{step}", en.withRole(setup.Trainer, en.showStep))
	mux.HandleFunc("POST /v1/weights", en.withRole(setup.Trainer, en.publishWeights))
	mux.HandleFunc("POST /v1/sheets", en.withRole(setup.Operator, en.applySheet))
	mux.HandleFunc("GET /v1/status", en.withRole(setup.Operator, en.showStatus))
	mux.HandleFunc("GET /v1/loans/{loan}", en.withRole(setup.Operator, en.explainLoan))
	mux.HandleFunc("POST /v1/loans/{loan}/recall", en.withRole(setup.Operator, en.recallLoan))
	mux.HandleFunc("POST /v1/operations/{operation}/settle", en.withRole(setup.Operator, en.settleOperation))
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", en.readyz)
	mux.Handle("GET /metrics", en.meters)
	mux.HandleFunc("/", func(out http.ResponseWriter, req *http.Request) {
		writeError(out, core.Refuse(core.CodeUnknownService, "there is no route at %s %s; docs/API.md lists the routes", req.Method, req.URL.Path))
	})
	return mux
}

// InnerHandler serves the other entries, which authenticate with the nodes' token.
func (en *Entry) InnerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeerServiceHandler(en, connect.WithReadMaxBytes(wire.MaxMessageBytes)))
	return server.RequireToken(en.nodeToken, mux)
}

func (en *Entry) readyz(out http.ResponseWriter, _ *http.Request) {
	if !en.Ready() {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out.WriteHeader(http.StatusOK)
}

// handler serves an authenticated request; name is that of the token's holder.
type handler func(out http.ResponseWriter, req *http.Request, name string) *core.Error

// withRole requires a token of the role, limits the body, and writes the error
// that the handler returns.
func (en *Entry) withRole(role setup.Role, next handler) http.HandlerFunc {
	type tokenHolder struct {
		name string
		hash server.TokenHash
	}
	var holders []tokenHolder
	for _, to := range en.settings.Tokens {
		if to.Role == role {
			holders = append(holders, tokenHolder{name: to.Name, hash: server.HashToken(to.Secret())})
		}
	}
	return func(out http.ResponseWriter, req *http.Request) {
		en.requests.Add(1)
		defer en.requests.Done()
		name := ""
		for _, ho := range holders { // all are compared, so that timing does not depend on the match
			if ho.hash.Matches(req) {
				name = ho.name
			}
		}
		if name == "" {
			writeError(out, core.Refuse(core.CodeUnauthorized, "the token is missing, invalid, or not for the role %s", role))
			return
		}
		req.Body = http.MaxBytesReader(out, req.Body, int64(en.settings.Limits.MaxBody))
		if er := next(out, req, name); er != nil {
			writeError(out, er)
		}
	}
}

// readBody reads the complete body within the limits of size and time. The read
// deadline is removed only after a complete read: before the server writes an
// error response, it reads the rest of an incomplete body, and without a deadline
// it would wait indefinitely for a slow sender.
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
	return nil, core.Refuse(core.CodeBadRequest, "reading the body failed: %v", err)
}

func (en *Entry) readJSON(out http.ResponseWriter, req *http.Request, into any) *core.Error {
	raw, er := en.readBody(out, req)
	if er != nil {
		return er
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return core.Refuse(core.CodeBadRequest, "the body is not the expected JSON: %v", err)
	}
	return nil
}

func writeJSON(out http.ResponseWriter, value any) *core.Error {
	raw, err := json.Marshal(value)
	if err != nil {
		return core.InDoubt(core.CodeBadRequest, "the answer cannot be encoded: %v", err)
	}
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write(append(raw, '\n'))
	return nil
}

// completion holds the fields of a completions request that are validated or
// used for routing.
type completion struct {
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
	// MaxTokens and MaxCompletionTokens are two names for the same limit.
	MaxTokens           *int `json:"max_tokens"`
	MaxCompletionTokens *int `json:"max_completion_tokens"`
}

// validate rejects requests that no target accepts.
func (co completion) validate(maxTokens int) *core.Error {
	if co.Model == "" {
		return core.Refuse(core.CodeBadRequest, "model is missing; it names the service")
	}
	for _, limit := range []*int{co.MaxTokens, co.MaxCompletionTokens} {
		if limit != nil && (*limit < 1 || *limit > maxTokens) {
			return core.Refuse(core.CodeBadRequest, "max_tokens is %d, and must be from 1 to %d", *limit, maxTokens)
		}
	}
	return nil
}

// completions serves the completions and chat completions protocols. The model
// field names the service.
func (en *Entry) completions(out http.ResponseWriter, req *http.Request, name string) *core.Error {
	raw, er := en.readBody(out, req)
	if er != nil {
		return er
	}
	var co completion
	if err := json.Unmarshal(raw, &co); err != nil {
		return core.Refuse(core.CodeBadRequest, "the body is not JSON: %v", err)
	}
	if er := co.validate(en.settings.Limits.MaxTokens); er != nil {
		return er
	}
	rq, er := en.request(req, name, co.Model, req.URL.Path, raw, true)
	if er != nil {
		return er
	}
	rq.completion = true
	rq.prefixHash = hashPrefix(name, append(bytes.TrimSpace(co.Prompt), co.Messages...))
	return en.respond(out, req, rq)
}

// prefixBytes is the length of the prompt prefix by which requests are routed to
// the same prefix cache.
const prefixBytes = 256

func hashPrefix(tenant string, prompt []byte) uint64 {
	ha := xxhash.New()
	_, _ = ha.WriteString(tenant)
	_, _ = ha.Write(prompt[:min(len(prompt), prefixBytes)])
	return ha.Sum64()
}

// callService forwards any HTTP request to a service.
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
	return en.respond(out, req, rq)
}

// request returns the request for a caller's HTTP request.
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
		method: req.Method, path: path, headers: wire.Headers(req.Header, unforwardedHeaders), body: raw,
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

// maxKeyBytes limits the length of an idempotency key.
const maxKeyBytes = 256

func (rq *request) readHeaders(he http.Header, now time.Time, timeout time.Duration) *core.Error {
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
			return core.Refuse(core.CodeBadRequest, "%s: %q is not a positive duration such as 2s", headerTimeout, text)
		}
		timeout = span
	}
	rq.deadline = now.Add(timeout)
	if text := he.Get(headerIdempotent); text != "" {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return core.Refuse(core.CodeBadRequest, "%s: %q is not true or false", headerIdempotent, text)
		}
		rq.idempotent = value
	}
	rq.key = he.Get(headerKey)
	if len(rq.key) > maxKeyBytes {
		return core.Refuse(core.CodeBadRequest, "%s is longer than %d bytes", headerKey, maxKeyBytes)
	}
	return nil
}

// unforwardedHeaders are the caller's headers that are not sent to targets.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Accept-Encoding": true, "Host": true, headerPriority: true, headerTimeout: true, headerIdempotent: true,
}

// respond performs a caller's request and writes the answer or the error.
//
// The verdict of a request with a caller's key applies to the key: an earlier
// request with the same key, through any entry, may have run or may still run.
// Only the answer stored at the key's home is certain, so a refusal becomes
// may-have-run; the caller can safely send the key again.
func (en *Entry) respond(out http.ResponseWriter, req *http.Request, rq *request) *core.Error {
	out.Header().Set(headerRequest, rq.id)
	rp := &reply{out: out, completion: rq.completion, buffered: &en.buffered}
	defer rp.release()
	er := en.perform(req.Context(), rq, rp)
	if er == nil {
		return nil
	}
	if rq.keyed && er.Verdict == core.NotRun && er.Code != core.CodeKeyConflict {
		er = er.WithVerdict(core.MayHaveRun)
	}
	rp.fail(req, er)
	return nil
}

// trainerLoan returns a trainer's loan of a service.
func (en *Entry) trainerLoan(name, service string) (loan.Loan, *core.Error) {
	vi := en.view.Load()
	if vi.book.Generation == 0 {
		return loan.Loan{}, core.Refuse(core.CodeNotReady, "no sheet is in force yet").WithRetryAfter(time.Second)
	}
	lo, er := vi.book.Find(name, service, en.clock.Now())
	if er == nil && lo.Kind != core.Trainer {
		return lo, core.Refuse(core.CodeNoLoan, "loan %s is not a loan to a trainer", lo.ID)
	}
	return lo, er
}
