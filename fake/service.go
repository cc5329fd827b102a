package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a plain service whose calls may not be repeated. It counts how
// often each body was run.
type Service struct {
	switches
	// Takes is how long a call takes.
	Takes time.Duration
	// Crash is called when the service is told to crash.
	Crash func()

	mutex sync.Mutex
	runs  map[string]int
}

// Handler serves the service. GET /runs tells the counts.
func (se *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, req *http.Request) {
		if !se.hold(req) {
			http.Error(out, "down", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /runs", func(out http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(out).Encode(se.Runs()) })
	mux.HandleFunc("POST /fault", func(out http.ResponseWriter, req *http.Request) {
		se.serveFault(out, req)
		if se.get().Crash {
			se.Crash()
		}
	})
	mux.HandleFunc("/", se.call)
	return mux
}

// Runs tells how often each body was run.
func (se *Service) Runs() map[string]int {
	se.mutex.Lock()
	defer se.mutex.Unlock()
	runs := make(map[string]int, len(se.runs))
	for body, count := range se.runs {
		runs[body] = count
	}
	return runs
}

func (se *Service) call(out http.ResponseWriter, req *http.Request) {
	if !se.hold(req) {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		cutOff()
	}
	se.mutex.Lock()
	if se.runs == nil {
		se.runs = map[string]int{}
	}
	se.runs[string(raw)]++
	count := se.runs[string(raw)]
	se.mutex.Unlock()
	time.Sleep(se.Takes)
	if se.get().Cut > 0 {
		cutOff()
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"checked": string(raw), "run": count, "path": req.URL.Path})
}
