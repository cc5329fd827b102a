package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// removedAfter is the silence after which the platform removes a worker's entry.
	removedAfter = 3 * heartbeat
)

// worker is a stand-in of a worker: an engine if it has a model.
type worker struct {
	la      *lab
	id      string
	service string
	// models maps the models of an engine to the versions of their weights; nil for a plain service.
	models map[string]int
	slots  int
	// work is the time of a plain request, or of one event of an engine.
	work time.Duration
	// onRun is called when a request begins to run, with its body. It may crash the worker.
	onRun func(wo *worker, req *http.Request, body []byte)
	// prefill, if set, returns the time to read a prompt beside the given number of requests.
	prefill func(running int) time.Duration
	// texts returns the events of an item.
	texts func(id string) []string

	mutex   sync.Mutex
	addr    string
	server  *http.Server
	conns   map[net.Conn]bool
	running int
	seq     int
	busy    bool
	born    int64
	up      bool
	beatAt  time.Time
}

// start starts the worker at its address, the first time at a free one.
func (wo *worker) start() {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	addr := wo.addr
	if addr == "" {
		addr = wo.la.freeAddr() // nobody else takes it while the worker is down
	}
	var li net.Listener
	var err error
	for try := 0; try < 50; try++ {
		if li, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		cannotRun("worker %s: %v", wo.id, err)
	}
	wo.addr, wo.conns = li.Addr().String(), map[net.Conn]bool{}
	wo.born, wo.seq, wo.busy, wo.running, wo.up = time.Now().UnixMilli(), 0, false, 0, true
	wo.server = &http.Server{Handler: wo, ConnState: func(conn net.Conn, state http.ConnState) {
		wo.mutex.Lock()
		defer wo.mutex.Unlock()
		if state == http.StateClosed {
			delete(wo.conns, conn)
		} else {
			wo.conns[conn] = true
		}
	}}
	server := wo.server
	go func() { _ = server.Serve(li) }()
	wo.register()
}

// beats writes the worker's entry while it is up, and has the platform remove it after its
// silence.
func (wo *worker) beats() {
	for {
		wo.mutex.Lock()
		if wo.up {
			wo.register()
		} else if time.Since(wo.beatAt) > removedAfter {
			wo.la.store.remove("servers", wo.id)
		}
		wo.mutex.Unlock()
		time.Sleep(heartbeat / 2)
	}
}

func (wo *worker) register() {
	if time.Since(wo.beatAt) < heartbeat/3 {
		return
	}
	wo.beatAt = time.Now()
	row := map[string]any{
		"service": wo.service, "address": wo.addr, "zone": "lagos-ik", "version": "1.0", "slots": wo.slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": wo.seq, "born": wo.born,
	}
	if wo.models != nil {
		row["stage"], row["models"] = "both", wo.modelList()
	}
	wo.la.store.put("servers", wo.id, row)
}

// crash ends the worker as a crash of its process would: its port is closed and its
// connections are reset. It starts again after the given time, under the same id.
func (wo *worker) crash(downFor time.Duration) {
	wo.mutex.Lock()
	if !wo.up {
		wo.mutex.Unlock()
		return
	}
	wo.up = false
	server, conns := wo.server, wo.conns
	wo.conns = map[net.Conn]bool{}
	wo.mutex.Unlock()
	for conn := range conns {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	_ = server.Close()
	wo.la.log("worker %s crashed", wo.id)
	time.AfterFunc(downFor, func() {
		wo.start()
		wo.la.log("worker %s is back", wo.id)
	})
}

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

// versions returns the versions of the weights, for the record.
func (wo *worker) versions() string {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return fmt.Sprint(wo.models)
}

func (wo *worker) modelList() []any {
	list := []any{}
	for _, name := range slices.Sorted(maps.Keys(wo.models)) {
		list = append(list, map[string]any{"name": name, "version": wo.models[name], "adapters": []any{}})
	}
	return list
}

func (wo *worker) report(out http.ResponseWriter) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	out.Header().Set("Bilberryshelf-Instance-Id", wo.id)
	_ = json.NewEncoder(out).Encode(map[string]any{
		"stage": "both", "models": wo.modelList(), "busy": wo.busy,
		"seq": wo.seq, "num_waiting": 0, "num_running": wo.running, "kv_used": 0, "kv_total": 78763, "handles": 0, "born": wo.born,
	})
}

func (wo *worker) order(out http.ResponseWriter, req *http.Request) {
	var or struct {
		Version, Expected int
		Model, Holder     string
	}
	if json.NewDecoder(req.Body).Decode(&or) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	switch {
	case wo.busy || or.Expected != wo.seq:
		out.WriteHeader(http.StatusConflict)
	case wo.models[or.Model] >= or.Version:
		out.WriteHeader(http.StatusOK)
	default:
		wo.la.log("worker %s loads version %d of %s", wo.id, or.Version, or.Model)
		wo.busy = true
		wo.seq++
		time.AfterFunc(900*time.Millisecond, func() {
			wo.mutex.Lock()
			defer wo.mutex.Unlock()
			wo.models[or.Model], wo.busy, wo.beatAt = or.Version, false, time.Time{}
			wo.register()
		})
		out.WriteHeader(http.StatusAccepted)
	}
}

// admit returns the status of a refusal, or zero.
func (wo *worker) admit(req *http.Request) int {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	if expected := req.Header.Get("Bilberryshelf-Expect-Instance"); expected != "" && expected != wo.id {
		return http.StatusMisdirectedRequest
	}
	if wo.busy || wo.running >= wo.slots {
		return http.StatusServiceUnavailable
	}
	wo.running++
	return 0
}

// stampOf returns the signature of an answer.
func stampOf(id string, body []byte) string {
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(id))
	_, _ = ha.Write(body)
	return fmt.Sprintf("%x", ha.Sum64())
}

func (wo *worker) run(out http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("Bilberryshelf-Request-Id")
	out.Header().Set("Bilberryshelf-Request-Id", id)
	out.Header().Set("Bilberryshelf-Instance-Id", wo.id)
	if status := wo.admit(req); status != 0 {
		out.Header().Set("Bilberryshelf-Not-Run", "1")
		out.WriteHeader(status)
		return
	}
	defer func() {
		wo.mutex.Lock()
		defer wo.mutex.Unlock()
		wo.running = max(wo.running-1, 0)
	}()
	if wo.onRun != nil {
		wo.onRun(wo, req, body)
	}
	if wo.models != nil {
		wo.stream(out, req, id)
		return
	}
	select {
	case <-time.After(wo.work):
	case <-req.Context().Done():
		return
	}
	out.Header().Set("Bilberryshelf-Response-Stamp", stampOf(id, body))
	_, _ = fmt.Fprintf(out, "answer to %s", id)
}

func (wo *worker) stream(out http.ResponseWriter, req *http.Request, id string) {
	wo.mutex.Lock()
	version := wo.models[req.Header.Get("Bilberryshelf-Model")]
	wo.mutex.Unlock()
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Bilberryshelf-Response-Stamp", stampOf(id, nil))
	out.Header().Set("Bilberryshelf-Weight-Versions", strconv.Itoa(version))
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if wo.prefill != nil {
		_ = http.NewResponseController(out).Flush()
		select {
		case <-time.After(wo.prefill(wo.load())):
		case <-req.Context().Done():
			return
		}
	}
	for at, line := range wo.texts(id) {
		if at < after {
			continue
		}
		select {
		case <-time.After(wo.work):
		case <-req.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", at+1, line); err != nil {
			return
		}
		_ = http.NewResponseController(out).Flush()
	}
}

// lines returns the events of a text.
func lines(id string, count int) []string {
	all := make([]string, count)
	for at := range all {
		all[at] = id + "-" + strconv.Itoa(at+1) + strings.Repeat("x", 20)
	}
	return all
}

// load returns the number of requests that it runs.
func (wo *worker) load() int {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return wo.running
}
