package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in for a worker of a service. It runs items as streams of events and
// answers all other requests at once.
type worker struct {
	world   *world
	id      string
	service string
	model   string
	version int
	slots   int
	addr    string
	events  int
	pace    time.Duration

	mutex   sync.Mutex
	running map[string]int
}

// register writes the worker's row, as a heartbeat does.
func (wo *worker) register() {
	fields := map[string]any{
		"service": wo.service, "address": wo.addr, "zone": "z1", "version": "v1", "slots": wo.slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": time.Now().UnixMilli(), "born": wo.world.began.UnixMilli(),
	}
	if wo.model != "" {
		fields["stage"] = "both"
		fields["models"] = []map[string]any{{"name": wo.model, "version": wo.version, "adapters": []string{}}}
	}
	wo.world.store.put("servers", wo.id, fields)
}

func (wo *worker) inFlight() int {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	sum := 0
	for _, count := range wo.running {
		sum += count
	}
	return sum
}

func (wo *worker) begin(id string) bool {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	sum := 0
	for _, count := range wo.running {
		sum += count
	}
	if sum >= wo.slots {
		return false
	}
	wo.running[id]++
	return true
}

func (wo *worker) end(id string) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	if wo.running[id]--; wo.running[id] == 0 {
		delete(wo.running, id)
	}
}

func (wo *worker) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Bilberryshelf-Request-Id")
	out.Header().Set("Bilberryshelf-Instance-Id", wo.id)
	out.Header().Set("Bilberryshelf-Request-Id", id)
	if expected := req.Header.Get("Bilberryshelf-Expect-Instance"); expected != "" && expected != wo.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if !wo.begin(id) {
		out.Header().Set("Bilberryshelf-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer wo.end(id)
	stamp := wo.world.stamp()
	out.Header().Set("Bilberryshelf-Response-Stamp", stamp)
	out.Header().Set("Bilberryshelf-Server-Load", fmt.Sprintf("%d,0,%d", wo.inFlight(), wo.slots))
	if wo.model == "" {
		time.Sleep(30 * time.Millisecond)
		wo.world.ran(id, wo.id, stamp)
		_, _ = io.WriteString(out, "ok")
		return
	}
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	wo.world.log("worker=%s item=%s begins after=%d", wo.id, id, after)
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Bilberryshelf-Weight-Versions", strconv.Itoa(wo.version))
	wo.world.itemAt(id, wo.id)
	defer wo.world.itemLeft(id, wo.id)
	for event := after + 1; event <= wo.events; event++ {
		select {
		case <-req.Context().Done():
			wo.world.log("worker=%s item=%s dropped at=%d", wo.id, id, event)
			return
		case <-time.After(wo.pace):
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s-%d\n\n", event, id, event)
		_ = http.NewResponseController(out).Flush()
	}
	wo.world.itemFinished(id)
	wo.world.log("worker=%s item=%s finished", wo.id, id)
}
