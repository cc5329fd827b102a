// Package fake holds the stand-ins for the outside: model engine, plain
// service, platform, trainer. They are scaffolding for tests, the quick start
// and measurements, and can be told to fail.
package fake

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the ways in which a stand-in fails at present. Switch them on
// with a POST of this JSON to /fault.
type Faults struct {
	// Crash ends the stand-in at once.
	Crash bool `json:"crash,omitempty"`
	// Freeze holds every request until it is lifted.
	Freeze bool `json:"freeze,omitempty"`
	// Cut breaks every answer off after this many writes.
	Cut int `json:"cut,omitempty"`
	// SlowMS delays every request.
	SlowMS int `json:"slow-ms,omitempty"`
	// LoseAnswers lets the next writes take effect and drops their answers.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// Down refuses every request.
	Down bool `json:"down,omitempty"`
	// LagMS delays lists and load reports.
	LagMS int `json:"lag-ms,omitempty"`
	// IgnoreFence lets orders with an old fencing number through.
	IgnoreFence bool `json:"ignore-fence,omitempty"`
	// FailLoads makes the next loads of weights fail.
	FailLoads int `json:"fail-loads,omitempty"`
	// LateReport makes the engine report the former version for this many
	// tokens after a swap.
	LateReport int `json:"late-report,omitempty"`
}

// faultState guards the faults of one stand-in.
type faultState struct {
	mutex    sync.Mutex
	faults   Faults
	unfrozen chan struct{}
}

// Set replaces the faults.
func (sw *faultState) Set(fa Faults) {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	sw.faults = fa
	if sw.unfrozen != nil {
		close(sw.unfrozen)
		sw.unfrozen = nil
	}
}

func (sw *faultState) current() Faults {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	return sw.faults
}

// consume uses up one of a counted fault.
func (sw *faultState) consume(count func(fa *Faults) *int) bool {
	sw.mutex.Lock()
	defer sw.mutex.Unlock()
	left := count(&sw.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// admit waits while frozen, then for the slowness. It reports false if the
// request is to be refused.
func (sw *faultState) admit(req *http.Request) bool {
	for {
		sw.mutex.Lock()
		fa := sw.faults
		if fa.Freeze && sw.unfrozen == nil {
			sw.unfrozen = make(chan struct{})
		}
		lifted := sw.unfrozen
		sw.mutex.Unlock()
		if !fa.Freeze {
			time.Sleep(time.Duration(fa.SlowMS) * time.Millisecond)
			return !fa.Down
		}
		select {
		case <-lifted:
		case <-req.Context().Done():
			return false
		}
	}
}

// serveFault is the handler of POST /fault.
func (sw *faultState) serveFault(out http.ResponseWriter, req *http.Request) {
	var fa Faults
	if err := json.NewDecoder(req.Body).Decode(&fa); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	sw.Set(fa)
}

func abortResponse() { panic(http.ErrAbortHandler) }
