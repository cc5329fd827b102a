package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in of a model worker. An item has the same text at each worker.
type worker struct {
	id, service, model string
	addr               string
	server             *http.Server
	slots              int
	// pause is the time between two events, events the number of events of an item.
	pause  time.Duration
	events func(id string) int
	note   func(format string, values ...any)
	// onRun is told of each run; it is optional.
	onRun    func(id string)
	mutex    sync.Mutex
	version  uint64
	busy     bool
	accepted uint64
	running  int
	born     int64
	// begun counts the runs of each item, lastAt is when a worker last worked on it.
	begun    map[string]int
	lastAt   map[string]time.Time
	finished map[string]bool
	// state is ready, draining or gone.
	state string
}

func newWorker(id, service, model string, note func(string, ...any)) *worker {
	return &worker{
		id: id, service: service, model: model, slots: 12, pause: 20 * time.Millisecond, version: 1, born: time.Now().UnixMilli(),
		events: func(string) int { return 25 }, note: note, begun: map[string]int{}, lastAt: map[string]time.Time{}, finished: map[string]bool{}, state: "ready",
	}
}

// entry returns what the worker writes about itself.
func (wo *worker) entry() string {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	models := "[]"
	if wo.model != "" {
		models = fmt.Sprintf(`[{"name":%q,"version":%d,"adapters":[]}]`, wo.model, wo.version)
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"stage":"both","models":%s,"seq":%d,"born":%d}`,
		wo.service, wo.addr, wo.slots, wo.state, models, wo.accepted, wo.born)
}

// ServeHTTP serves reports, orders and requests.
func (wo *worker) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/bilberryshelf/report":
		wo.report(out)
	case "/bilberryshelf/order":
		wo.order(out, req)
	default:
		wo.run(out, req)
	}
}

func (wo *worker) report(out http.ResponseWriter) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	out.Header().Set("Bilberryshelf-Instance-Id", wo.id)
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{
		"stage": "both", "models": []map[string]any{{"name": wo.model, "version": wo.version, "adapters": []string{}}}, "busy": wo.busy,
		"seq": wo.accepted, "num_waiting": 0, "num_running": wo.running, "kv_used": 0, "kv_total": 100000, "handles": 0, "born": wo.born,
	})
}

func (wo *worker) order(out http.ResponseWriter, req *http.Request) {
	var or struct {
		Op, Model, Mode, Holder string
		Version, Fence          uint64
		Expected                *uint64
	}
	if err := json.NewDecoder(req.Body).Decode(&or); err != nil || or.Holder == "" || or.Fence == 0 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	switch {
	case or.Version <= wo.version:
		return
	case wo.busy || or.Expected != nil && *or.Expected != wo.accepted:
		out.WriteHeader(http.StatusConflict)
		return
	}
	wo.accepted++
	wo.busy = true
	time.AfterFunc(900*time.Millisecond, func() {
		wo.mutex.Lock()
		defer wo.mutex.Unlock()
		wo.version, wo.busy = or.Version, false
	})
	out.WriteHeader(http.StatusAccepted)
}

func (wo *worker) run(out http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("Bilberryshelf-Request-Id")
	out.Header().Set("Bilberryshelf-Request-Id", id)
	wo.mutex.Lock()
	expected := req.Header.Get("Bilberryshelf-Expect-Instance")
	isOther, isFull := expected != "" && expected != wo.id, wo.running >= wo.slots || wo.busy
	if isOther || isFull {
		wo.mutex.Unlock()
		out.Header().Set("Bilberryshelf-Not-Run", "1")
		status := http.StatusServiceUnavailable
		if isOther {
			status = http.StatusMisdirectedRequest
		}
		out.WriteHeader(status)
		return
	}
	wo.running++
	wo.begun[id]++
	first := wo.begun[id] == 1
	version := wo.version
	wo.mutex.Unlock()
	defer func() {
		wo.mutex.Lock()
		defer wo.mutex.Unlock()
		wo.running--
		wo.lastAt[id] = time.Now()
	}()
	if wo.onRun != nil {
		wo.onRun(id)
	}
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if first && wo.note != nil {
		wo.note("worker %s runs %s after event %d", wo.id, id, after)
	}
	out.Header().Set("Bilberryshelf-Response-Stamp", "stamp-"+wo.id+"-"+id)
	if wo.model == "" {
		time.Sleep(wo.pause)
		_, _ = io.WriteString(out, "answer of "+wo.id+" to "+id)
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Bilberryshelf-Weight-Versions", strconv.FormatUint(version, 10))
	control := http.NewResponseController(out)
	for at := after + 1; at <= wo.events(id); at++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(wo.pause):
		}
		wo.mutex.Lock()
		wo.lastAt[id] = time.Now()
		wo.mutex.Unlock()
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s-%d\n\n", at, id, at); err != nil {
			return
		}
		_ = control.Flush()
	}
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	wo.finished[id] = true
}

// leave reports draining, serves on for the given time and a little longer, and exits.
func (wo *worker) leave(cl *cluster, drain time.Duration) {
	wo.mutex.Lock()
	wo.state = "draining"
	wo.mutex.Unlock()
	cl.store.put("servers", wo.id, wo.entry())
	cl.note("worker %s reports draining", wo.id)
	time.AfterFunc(drain+time.Second, func() {
		wo.mutex.Lock()
		wo.state = "gone"
		wo.mutex.Unlock()
		cl.store.remove("servers", wo.id)
		cl.note("worker %s has left", wo.id)
		_ = wo.server.Close()
	})
}

func (wo *worker) hasFinished(id string) bool {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return wo.finished[id]
}

func (wo *worker) load() int {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return wo.running
}

func (wo *worker) gone() bool {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return wo.state == "gone"
}

// worked returns whether an item began to run here, and when it was last worked on.
func (wo *worker) worked(id string) (int, time.Time) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return wo.begun[id], wo.lastAt[id]
}
