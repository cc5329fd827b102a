package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"bilberryshelf/engine"
)

// serveLoadOrder swaps weights. Running sequences continue with the new weights.
func (en *Engine) serveLoadOrder(out http.ResponseWriter, req *http.Request) {
	var or engine.Order
	if !en.admit(req) || json.NewDecoder(req.Body).Decode(&or) != nil {
		http.Error(out, "invalid order", http.StatusBadRequest)
		return
	}
	if !en.acceptFence(or.Fence) {
		http.Error(out, "old fencing token", http.StatusConflict)
		return
	}
	if status := fetchWeights(or.Object); status != http.StatusOK {
		http.Error(out, "weight store request failed", status)
		return
	}
	time.Sleep(en.SwapTime)
	if en.consume(func(fa *Faults) *int { return &fa.FailLoads }) {
		http.Error(out, "swap failed", http.StatusInternalServerError)
		return
	}
	en.mutex.Lock()
	defer en.mutex.Unlock()
	if or.Fence < en.fence && !en.current().IgnoreFence {
		http.Error(out, "old fencing token", http.StatusConflict)
		return
	}
	en.previousVersion, en.version, en.tokensSinceSwap = en.version, or.Version, 0
	_ = json.NewEncoder(out).Encode(or)
}

func (en *Engine) acceptFence(fence uint64) bool {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	if fence < en.fence && !en.current().IgnoreFence {
		return false
	}
	en.fence = max(en.fence, fence)
	return true
}

// fetchWeights reads the object from the weight store if it is a URL, and returns
// the HTTP status.
func fetchWeights(object string) int {
	if !strings.HasPrefix(object, "http") {
		return http.StatusOK
	}
	res, err := http.Get(object) // from a fake, so no timeout is needed
	if err != nil {
		return http.StatusBadGateway
	}
	defer res.Body.Close() // read below
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
