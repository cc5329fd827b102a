package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"bilberryshelf/engine"
)

// PoisonMarker crashes an engine when a prompt contains it.
const PoisonMarker = "crash-the-engine"

// Engine is a fake model engine with continuous batching, a prompt prefix cache,
// delayed load reports and weight swaps during generation. Its text depends only on
// the prompt and the seed, so all engines generate the same text.
type Engine struct {
	faultState
	// TokenEvery is the time per token; each running sequence adds a 64th of it.
	TokenEvery time.Duration
	// PrefillTime is the time to process a prompt whose prefix is not cached.
	PrefillTime time.Duration
	// SwapTime is the time to load weights.
	SwapTime time.Duration
	// MaxBatch limits the running sequences; zero means no limit.
	MaxBatch int
	// Crash is called on a crash fault or a prompt with PoisonMarker.
	Crash func()

	mutex           sync.Mutex
	startID         string
	version         uint64
	fence           uint64
	running         int
	tokensSinceSwap int
	previousVersion uint64
	cache           map[uint64]time.Time
	hits            int
	misses          int
	cacheLog        []CacheEvent
	loadHistory     []loadReport
	cancels         map[string]chan struct{}
	kv              map[string][]byte
}

// CacheEvent reports that a prefix was added to the cache or evicted. Every seventh
// event is never delivered.
type CacheEvent struct {
	Number int    `json:"number"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

type loadReport struct {
	at      time.Time
	running int
}

const (
	cacheSize         = 256
	batchSlowdown     = 64
	lostEventInterval = 7
	maxHistory        = 1024
)

// Handler returns the HTTP API. It sets a new start ID and clears the prefix cache
// and the KV data.
func (en *Engine) Handler() http.Handler {
	en.mutex.Lock()
	en.startID = uuid.NewString()
	en.cache, en.cancels, en.kv = map[uint64]time.Time{}, map[string]chan struct{}{}, map[string][]byte{}
	en.mutex.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", en.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", en.serveCompletion)
	mux.HandleFunc("POST /v1/orders/load", en.serveLoadOrder)
	mux.HandleFunc("POST /v1/cancel/{id}", en.serveCancel)
	mux.HandleFunc("GET /v1/load", en.serveLoadReport)
	mux.HandleFunc("GET /v1/cache-events", en.serveCacheEvents)
	mux.HandleFunc("GET /v1/kv/{id}", en.serveKVExport)
	mux.HandleFunc("PUT /v1/kv/{id}", en.serveKVImport)
	mux.HandleFunc("GET /health", en.serveHealth)
	mux.HandleFunc("POST /fault", func(out http.ResponseWriter, req *http.Request) {
		en.serveFault(out, req)
		if en.current().Crash {
			en.Crash()
		}
	})
	return mux
}

func (en *Engine) serveHealth(out http.ResponseWriter, req *http.Request) {
	if !en.admit(req) {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	en.mutex.Lock()
	he := engine.Health{StartID: en.startID, Version: en.version, Running: en.reportedRunning()}
	en.mutex.Unlock()
	_ = json.NewEncoder(out).Encode(he)
}

// reportedRunning returns the number of running sequences LagMS ago.
func (en *Engine) reportedRunning() int {
	before := time.Now().Add(-time.Duration(en.current().LagMS) * time.Millisecond)
	running := 0
	for _, re := range en.loadHistory {
		if re.at.After(before) {
			break
		}
		running = re.running
	}
	return running
}

func (en *Engine) serveLoadReport(out http.ResponseWriter, _ *http.Request) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	_ = json.NewEncoder(out).Encode(map[string]int{"running": en.reportedRunning(), "hits": en.hits, "misses": en.misses})
}

func (en *Engine) serveCacheEvents(out http.ResponseWriter, req *http.Request) {
	after, _ := strconv.Atoi(req.URL.Query().Get("after"))
	en.mutex.Lock()
	defer en.mutex.Unlock()
	found := []CacheEvent{}
	for _, ev := range en.cacheLog {
		if ev.Number > after && ev.Number%lostEventInterval != 0 {
			found = append(found, ev)
		}
	}
	_ = json.NewEncoder(out).Encode(found)
}

func (en *Engine) startSequence(id, prompt string) (chan struct{}, bool) {
	en.mutex.Lock()
	if en.MaxBatch > 0 && en.running >= en.MaxBatch {
		en.mutex.Unlock()
		return nil, false
	}
	en.running++
	en.recordLoad()
	stop := make(chan struct{})
	if id != "" {
		en.cancels[id] = stop
	}
	prefix := xxhash.Sum64String(prompt[:min(len(prompt), 256)])
	_, hit := en.cache[prefix]
	en.recordPrefix(prefix, hit)
	en.mutex.Unlock()
	if !hit {
		time.Sleep(en.PrefillTime)
	}
	return stop, true
}

// recordPrefix adds a prefix to the cache or refreshes it, and evicts the least
// recently used one from a full cache.
func (en *Engine) recordPrefix(prefix uint64, hit bool) {
	if hit {
		en.hits++
	} else {
		en.misses++
		en.recordCacheEvent(prefix, true)
	}
	en.cache[prefix] = time.Now()
	if len(en.cache) <= cacheSize {
		return
	}
	oldest := prefix
	for pr, at := range en.cache {
		if at.Before(en.cache[oldest]) {
			oldest = pr
		}
	}
	delete(en.cache, oldest)
	en.recordCacheEvent(oldest, false)
}

func (en *Engine) recordCacheEvent(prefix uint64, stored bool) {
	number := 1
	if last := len(en.cacheLog); last > 0 {
		number = en.cacheLog[last-1].Number + 1
	}
	en.cacheLog = append(en.cacheLog, CacheEvent{Number: number, Prefix: prefix, Stored: stored})
	if len(en.cacheLog) > maxHistory {
		en.cacheLog = en.cacheLog[1:]
	}
}

func (en *Engine) recordLoad() {
	en.loadHistory = append(en.loadHistory, loadReport{at: time.Now(), running: en.running})
	if len(en.loadHistory) > maxHistory {
		en.loadHistory = en.loadHistory[1:]
	}
}

func (en *Engine) endSequence(id string) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.running--
	en.recordLoad()
	delete(en.cancels, id)
}

// waitToken waits for the time of a token. It returns false if the caller
// disconnected or cancelled the request, or the engine is down.
func (en *Engine) waitToken(req *http.Request, stop chan struct{}) bool {
	if !en.admit(req) {
		return false
	}
	en.mutex.Lock()
	wait := en.TokenEvery + en.TokenEvery*time.Duration(en.running)/batchSlowdown
	en.mutex.Unlock()
	if wait == 0 {
		return req.Context().Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-stop:
		return false
	case <-req.Context().Done():
		return false
	}
}

// reportedVersion returns the weight version that the engine reports for a token: the
// previous version for the first LateReport tokens after a swap, else the current one.
func (en *Engine) reportedVersion() uint64 {
	lateTokens := en.current().LateReport
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.tokensSinceSwap++
	if en.tokensSinceSwap <= lateTokens && en.previousVersion != 0 {
		return en.previousVersion
	}
	return en.version
}

// Running returns the number of running sequences.
func (en *Engine) Running() int {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	return en.running
}

// Version returns the version of the loaded weights.
func (en *Engine) Version() uint64 {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	return en.version
}

func (en *Engine) serveCancel(_ http.ResponseWriter, req *http.Request) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	id := req.PathValue("id")
	if stop := en.cancels[id]; stop != nil {
		close(stop)
		delete(en.cancels, id)
	}
}

func (en *Engine) serveKVExport(out http.ResponseWriter, req *http.Request) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	_, _ = out.Write(en.kv[req.PathValue("id")])
}

func (en *Engine) serveKVImport(_ http.ResponseWriter, req *http.Request) {
	raw, _ := io.ReadAll(req.Body)
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.kv[req.PathValue("id")] = raw
}
