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

// PoisonMark in a prompt crashes the engine.
const PoisonMark = "crash-the-engine"

// Engine is a model engine: it batches continuously, caches prompt prefixes,
// reports its load with a lag, and swaps weights in the middle of generations.
// Its text follows from prompt and seed alone, so that two engines agree.
type Engine struct {
	switches
	// TokenEvery is the time of one token in an empty batch; each further
	// sequence adds a 64th.
	TokenEvery time.Duration
	// Prefill is the time of a prompt that is not cached.
	Prefill time.Duration
	// SwapTime is how long a load of weights takes.
	SwapTime time.Duration
	// Batch bounds the sequences at once.
	Batch int
	// Crash is called when the engine is told to crash.
	Crash func()

	mutex   sync.Mutex
	start   string
	version uint64
	fence   uint64
	running int
	swapped int
	former  uint64
	cache   map[uint64]time.Time
	hits    int
	misses  int
	events  []CacheEvent
	reports []loadReport
	cancels map[string]chan struct{}
	kv      map[string][]byte
}

// CacheEvent says that a prefix entered or left the cache. Events come late
// and every seventh is lost.
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
	cacheSize  = 256
	batchSlow  = 64
	eventGap   = 7
	mostEvents = 1024
)

// Handler serves the engine.
func (en *Engine) Handler() http.Handler {
	en.mutex.Lock()
	en.start = uuid.NewString()
	en.cache, en.cancels, en.kv = map[uint64]time.Time{}, map[string]chan struct{}{}, map[string][]byte{}
	en.mutex.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", en.complete)
	mux.HandleFunc("POST /v1/chat/completions", en.complete)
	mux.HandleFunc("POST /v1/orders/load", en.load)
	mux.HandleFunc("POST /v1/cancel/{id}", en.cancel)
	mux.HandleFunc("GET /v1/load", en.report)
	mux.HandleFunc("GET /v1/cache-events", en.cacheEvents)
	mux.HandleFunc("GET /v1/kv/{id}", en.exportKV)
	mux.HandleFunc("PUT /v1/kv/{id}", en.importKV)
	mux.HandleFunc("GET /health", en.health)
	mux.HandleFunc("POST /fault", func(out http.ResponseWriter, req *http.Request) {
		en.serveFault(out, req)
		if en.get().Crash {
			en.Crash()
		}
	})
	return mux
}

func (en *Engine) health(out http.ResponseWriter, req *http.Request) {
	if !en.hold(req) {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	en.mutex.Lock()
	he := engine.Health{StartID: en.start, Version: en.version, Running: en.lagged()}
	en.mutex.Unlock()
	_ = json.NewEncoder(out).Encode(he)
}

// lagged is the load as it was one lag ago.
func (en *Engine) lagged() int {
	before := time.Now().Add(-time.Duration(en.get().LagMS) * time.Millisecond)
	running := 0
	for _, re := range en.reports {
		if re.at.After(before) {
			break
		}
		running = re.running
	}
	return running
}

func (en *Engine) report(out http.ResponseWriter, _ *http.Request) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	_ = json.NewEncoder(out).Encode(map[string]int{"running": en.lagged(), "hits": en.hits, "misses": en.misses})
}

func (en *Engine) cacheEvents(out http.ResponseWriter, req *http.Request) {
	after, _ := strconv.Atoi(req.URL.Query().Get("after"))
	en.mutex.Lock()
	defer en.mutex.Unlock()
	found := []CacheEvent{}
	for _, ev := range en.events {
		if ev.Number > after && ev.Number%eventGap != 0 {
			found = append(found, ev)
		}
	}
	_ = json.NewEncoder(out).Encode(found)
}

func (en *Engine) enter(id, prompt string) (chan struct{}, bool) {
	en.mutex.Lock()
	if en.Batch > 0 && en.running >= en.Batch {
		en.mutex.Unlock()
		return nil, false
	}
	en.running++
	en.note()
	stop := make(chan struct{})
	if id != "" {
		en.cancels[id] = stop
	}
	prefix := xxhash.Sum64String(prompt[:min(len(prompt), 256)])
	_, hit := en.cache[prefix]
	en.touch(prefix, hit)
	en.mutex.Unlock()
	if !hit {
		time.Sleep(en.Prefill)
	}
	return stop, true
}

// touch keeps the cache, whose oldest prefix makes room.
func (en *Engine) touch(prefix uint64, hit bool) {
	if hit {
		en.hits++
	} else {
		en.misses++
		en.event(prefix, true)
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
	en.event(oldest, false)
}

func (en *Engine) event(prefix uint64, stored bool) {
	number := 1
	if last := len(en.events); last > 0 {
		number = en.events[last-1].Number + 1
	}
	en.events = append(en.events, CacheEvent{Number: number, Prefix: prefix, Stored: stored})
	if len(en.events) > mostEvents {
		en.events = en.events[1:]
	}
}

func (en *Engine) note() {
	en.reports = append(en.reports, loadReport{at: time.Now(), running: en.running})
	if len(en.reports) > mostEvents {
		en.reports = en.reports[1:]
	}
}

func (en *Engine) exit(id string) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.running--
	en.note()
	delete(en.cancels, id)
}

// tick waits for the next token; false means that the caller went away or
// cancelled.
func (en *Engine) tick(req *http.Request, stop chan struct{}) bool {
	if !en.hold(req) {
		return false
	}
	en.mutex.Lock()
	wait := en.TokenEvery + en.TokenEvery*time.Duration(en.running)/batchSlow
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

// reported is the version that the engine says a token came from.
func (en *Engine) reported() uint64 {
	late := en.get().LateReport
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.swapped++
	if en.swapped <= late && en.former != 0 {
		return en.former
	}
	return en.version
}

// Running is the number of sequences in progress.
func (en *Engine) Running() int {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	return en.running
}

// Version is the version of the weights in use.
func (en *Engine) Version() uint64 {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	return en.version
}

func (en *Engine) cancel(_ http.ResponseWriter, req *http.Request) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	id := req.PathValue("id")
	if stop := en.cancels[id]; stop != nil {
		close(stop)
		delete(en.cancels, id)
	}
}

func (en *Engine) exportKV(out http.ResponseWriter, req *http.Request) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	_, _ = out.Write(en.kv[req.PathValue("id")])
}

func (en *Engine) importKV(_ http.ResponseWriter, req *http.Request) {
	raw, _ := io.ReadAll(req.Body)
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.kv[req.PathValue("id")] = raw
}
