package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainRoute is a route of requests that may be repeated, like those of the site file.
func plainRoute(name string) map[string]any {
	return map[string]any{
		"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": "idempotent", "service": "dispatch", "timeout_ms": 4000,
		"target_latency_ms": 1000, "max_attempts": 3, "priority": 2,
	}
}

// client sends plain requests over kept connections, with one retry at another node.
type client struct {
	la    *lab
	nodes []*proc
	http  *http.Client
}

// ask sends a request and returns the status of its last attempt.
func (cl *client) ask(first int, id, path, body string) int {
	status := 0
	deadline := time.Now().Add(4 * time.Second)
	for try := 0; try < 2 && time.Now().Before(deadline); try++ {
		pr := cl.nodes[(first+try)%len(cl.nodes)]
		req, _ := http.NewRequest(http.MethodPost, "http://"+pr.callers+path, strings.NewReader(body))
		req.Host = "h.example"
		req.Header.Set("Bilberryshelf-Request-Id", fmt.Sprintf("%s-%d", id, try))
		req.Header.Set("Bilberryshelf-Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds()))
		res, err := cl.http.Do(req)
		if err != nil {
			status = 0
			cl.la.log("%s-%d to %s: %v", id, try, pr.name, err)
			continue
		}
		raw, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		status = res.StatusCode
		if err != nil || status == 200 && (string(raw) != "answer to "+req.Header.Get("Bilberryshelf-Request-Id") || res.Header.Get("Bilberryshelf-Response-Stamp") == "") {
			status = 0
		}
		if status == 200 {
			break
		}
		cl.la.log("%s-%d to %s: %d %s", id, try, pr.name, status, strings.TrimSpace(string(raw)))
		if after := res.Header.Get("Retry-After"); after != "" {
			var seconds float64
			_, _ = fmt.Sscan(after, &seconds)
			time.Sleep(min(time.Duration(seconds*float64(time.Second)), time.Until(deadline)/3))
		}
	}
	return status
}

// tally counts the requests of a route in a span of time.
type tally struct {
	mutex        sync.Mutex
	sent, served map[string]int
}

func (ta *tally) add(key string, served bool) {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	ta.sent[key]++
	if served {
		ta.served[key]++
	}
}

// busyAt is the number of requests that the worker runs when it crashes, of its twelve slots.
const busyAt = 9

// crashBusy crashes a worker that runs busyAt requests or more, and reports whether there was one.
func crashBusy(la *lab, workers []*worker) bool {
	for _, wo := range workers {
		if running := wo.load(); running >= busyAt {
			la.log("worker %s runs %d requests and crashes", wo.id, running)
			wo.crash(4500 * time.Millisecond)
			return true
		}
	}
	return false
}

// condemned plays a worker that crashes once while it runs requests of several clients that ask
// for the same thing. Nothing in these requests crashes a worker.
func condemned(la *lab) {
	services := []any{map[string]any{"name": "dispatch", "health_path": "/health", "max_conns": 96}}
	la.store.put("op", "config", config(10, []any{plainRoute("quote")}, services))
	var workers []*worker
	for at := range 6 {
		wo := &worker{la: la, id: fmt.Sprintf("i-%d", at), service: "dispatch", slots: 12, work: 300 * time.Millisecond}
		wo.start()
		go wo.beats()
		workers = append(workers, wo)
	}
	nodes := []*proc{la.entry("front-1", 164, la.storeAddr), la.entry("front-2", 164, la.storeAddr), la.entry("front-3", 164, la.storeAddr)}
	la.awaitReady(nodes...)
	time.Sleep(5 * time.Second)
	la.store.put("op", "config", config(14, []any{plainRoute("quote"), plainRoute("stock")}, services))
	la.log("configuration 14 adds the route stock")
	time.Sleep(4 * time.Second)

	cl := &client{la: la, nodes: nodes, http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}}
	ta := &tally{sent: map[string]int{}, served: map[string]int{}}
	var group sync.WaitGroup
	began, crashAt, lastCrashAt, steadyAt, end := time.Now(), 10*time.Second, 15*time.Second, 24*time.Second, 44*time.Second
	send := func(route, body string, at int) {
		group.Go(func() {
			elapsed := time.Since(began)
			status := cl.ask(at, fmt.Sprintf("%s-%d", route, at), "/"+route+"/list", body)
			span := "before"
			switch {
			case elapsed >= steadyAt:
				span = "after"
			case elapsed >= crashAt:
				span = "around"
			}
			ta.add(route+" "+span, status == 200)
		})
	}
	crashed := false
	for at := 0; time.Since(began) < end; at++ {
		send("stock", `{"depot":"all"}`, at)
		if at%10 == 0 {
			send("quote", fmt.Sprintf(`{"order":%d}`, at), at)
		}
		if elapsed := time.Since(began); la.trouble && !crashed && elapsed >= crashAt && elapsed < lastCrashAt {
			crashed = crashBusy(la, workers)
		}
		time.Sleep(6 * time.Millisecond)
	}
	group.Wait()
	if la.trouble && !crashed {
		la.fail("no worker ran %d requests at once", busyAt)
	}
	for _, route := range []string{"quote", "stock"} {
		for _, span := range []string{"before", "around", "after"} {
			key := route + " " + span
			la.log("%s: %d sent, %d served", key, ta.sent[key], ta.served[key])
		}
	}
	first := float64(ta.served["quote after"]) / float64(max(ta.sent["quote after"], 1))
	later := float64(ta.served["stock after"]) / float64(max(ta.sent["stock after"], 1))
	if ta.sent["stock after"] >= 20 && later < first/4 {
		la.breaks("CONFIG: of %d requests on the route that was added later %.2f are served, of those on the first route %.2f", ta.sent["stock after"], later, first)
	}
}
