// Package fake provides fakes of the external systems with fault injection: model
// engine, plain service and platform. They are used by tests, the quick start and
// measurements.
package fake

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the active faults of a fake. A POST of this JSON to /fault replaces
// them.
type Faults struct {
	// Crash stops the fake immediately.
	Crash bool `json:"crash,omitempty"`
	// Freeze blocks every request until the fault is cleared.
	Freeze bool `json:"freeze,omitempty"`
	// Cut aborts every response of an engine after this many tokens. A service
	// aborts every response if it is positive.
	Cut int `json:"cut,omitempty"`
	// SlowMS delays every request.
	SlowMS int `json:"slow-ms,omitempty"`
	// LoseAnswers applies this many writes and drops their responses.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// RateLimit is announced in every response, in requests per second.
	RateLimit string `json:"rate-limit,omitempty"`
	// Down rejects every request.
	Down bool `json:"down,omitempty"`
	// LagMS delays changes in the instance list and in load reports.
	LagMS int `json:"lag-ms,omitempty"`
	// IgnoreFence accepts orders with an old fencing token.
	IgnoreFence bool `json:"ignore-fence,omitempty"`
	// FailLoads makes this many weight loads fail.
	FailLoads int `json:"fail-loads,omitempty"`
	// LateReport makes the engine report the previous version for this many
	// tokens after a swap.
	LateReport int `json:"late-report,omitempty"`
}

// faultState holds the faults of one fake and is safe for concurrent use.
type faultState struct {
	mutex    sync.Mutex
	faults   Faults
	unfrozen chan struct{}
}

// Set replaces the faults.
func (fs *faultState) Set(fa Faults) {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	fs.faults = fa
	if fs.unfrozen != nil {
		close(fs.unfrozen)
		fs.unfrozen = nil
	}
}

func (fs *faultState) current() Faults {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	return fs.faults
}

// consume decrements a counted fault and returns whether it applies.
func (fs *faultState) consume(count func(fa *Faults) *int) bool {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	left := count(&fs.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// admit blocks while the fake is frozen, then delays the request by SlowMS. It
// returns false if the request must be rejected.
func (fs *faultState) admit(req *http.Request) bool {
	for {
		fs.mutex.Lock()
		fa := fs.faults
		if fa.Freeze && fs.unfrozen == nil {
			fs.unfrozen = make(chan struct{})
		}
		unfrozen := fs.unfrozen
		fs.mutex.Unlock()
		if !fa.Freeze {
			time.Sleep(time.Duration(fa.SlowMS) * time.Millisecond)
			return !fa.Down
		}
		select {
		case <-unfrozen:
		case <-req.Context().Done():
			return false
		}
	}
}

// serveFault handles POST /fault.
func (fs *faultState) serveFault(out http.ResponseWriter, req *http.Request) {
	var fa Faults
	if err := json.NewDecoder(req.Body).Decode(&fa); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	fs.Set(fa)
}

func abortResponse() { panic(http.ErrAbortHandler) }
