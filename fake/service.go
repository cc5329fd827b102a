package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"bilberryshelf/engine"
)

// Service is a fake plain service with non-idempotent calls. It counts the calls
// per request body.
type Service struct {
	faultState
	// CallTime is the duration of a call.
	CallTime time.Duration
	// Crash is called on a crash fault.
	Crash func()

	mutex sync.Mutex
	runs  map[string]int
}

// Handler returns the HTTP API. GET /runs returns the counts.
func (se *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, req *http.Request) {
		if !se.admit(req) {
			http.Error(out, "down", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /runs", func(out http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(out).Encode(se.Runs()) })
	mux.HandleFunc("POST /fault", func(out http.ResponseWriter, req *http.Request) {
		se.serveFault(out, req)
		if se.current().Crash {
			se.Crash()
		}
	})
	mux.HandleFunc("/", se.serveCall)
	return mux
}

// Runs returns the number of calls per request body.
func (se *Service) Runs() map[string]int {
	se.mutex.Lock()
	defer se.mutex.Unlock()
	runs := make(map[string]int, len(se.runs))
	for body, count := range se.runs {
		runs[body] = count
	}
	return runs
}

func (se *Service) serveCall(out http.ResponseWriter, req *http.Request) {
	if !se.admit(req) {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		abortResponse()
	}
	se.mutex.Lock()
	if se.runs == nil {
		se.runs = map[string]int{}
	}
	se.runs[string(raw)]++
	count := se.runs[string(raw)]
	se.mutex.Unlock()
	time.Sleep(se.CallTime)
	if se.current().Cut > 0 {
		abortResponse()
	}
	if text := se.current().RateLimit; text != "" {
		out.Header().Set(engine.RateLimitHeader, text)
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"checked": string(raw), "run": count, "path": req.URL.Path})
}
