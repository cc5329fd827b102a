package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The paths of the route of streams, and of the route that is added.
const (
	streamPath = "/sluq118/"
	addedPath  = streamPath + "2f/"
)

// configureStreams writes a configuration with a route of streams that may be resumed, and
// with the added route for a part of its paths if wanted.
func (cl *cluster) configureStreams(version int, added bool) {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "resumable": true, "timeout_ms": 4000,
			"target_latency_ms": 400, "priority": 1, "service": engines, "max_attempts": 3,
		}
	}
	routes := []any{route("r-q2w8x1v", streamPath)}
	if added {
		routes = append(routes, route("r-n6d3k0p", addedPath))
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": engines, "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 12, "kv_capacity": 78763, "kv_token_bytes": 131072, "models": []any{map[string]any{"name": model}}},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyByte, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	must(err)
	cl.store.put("op", "config", raw)
	cl.note("operator writes configuration %d", version)
}

// caseJoined replaces the workers of a service by those of a newer version while streams run,
// and adds a route.
func caseJoined(cl *cluster, trouble bool) (string, bool) {
	const (
		events  = 60
		streams = 8
	)
	cl.configureStreams(7, false)
	extra := []string{"-events", strconv.Itoa(events), "-pause", "120ms"}
	var old []*workerSpec
	for at := range 2 {
		wo := cl.worker(engines, model, 12, extra...)
		cl.guard(fmt.Sprintf("side-lagos-ik-%d", at+1), "lagos-ik", wo)
		old = append(old, wo)
	}
	cl.entry("front-lagos-ik-1", "lagos-ik", 164, 0.8)
	cl.entry("front-lagos-ap-1", "lagos-ap", 164, 0.8)
	cl.waitReady()

	var group sync.WaitGroup
	clients := make([]*streamClient, streams)
	for at := range clients {
		clients[at] = &streamClient{cl: cl, path: addedPath + strconv.Itoa(at), total: events}
		group.Go(func() { clients[at].run(at) })
	}
	time.Sleep(time.Second)
	for at, wo := range old { // one after the other; the new one starts first
		fresh := cl.workerOf("v2", engines, model, 12, extra...)
		cl.guard(fmt.Sprintf("side-lagos-ap-%d", at+1), "lagos-ap", fresh)
		time.Sleep(500 * time.Millisecond)
		cl.store.drop("servers", wo.id) // a worker that never reports that it drains
		cl.note("worker %s is gone from the list and serves on", wo.id)
		go func() {
			time.Sleep(3500 * time.Millisecond) // drain_ms and a little longer
			cl.kill(wo.process)
		}()
	}
	time.Sleep(time.Second)
	if trouble {
		cl.configureStreams(8, true)
	}
	group.Wait()

	return judgeStreams(cl, clients)
}

// judgeStreams checks that no text has events of two software versions.
func judgeStreams(cl *cluster, clients []*streamClient) (string, bool) {
	joined, complete := 0, 0
	for _, sc := range clients {
		if sc.complete {
			complete++
		}
		if len(sc.versions) > 1 {
			joined++
			cl.note("ORDER: the text of %s is joined from %v; complete: %v", sc.path, sc.versions, sc.complete)
		}
	}
	return fmt.Sprintf("%d streams, %d complete, %d joined from two versions", len(clients), complete, joined), joined > 0
}

// caseAgain has a worker crash, and start again under its id with a newer version, while
// streams run. It is no case of the review: the pages don't say that both may change at once.
func caseAgain(cl *cluster, trouble bool) (string, bool) {
	const (
		events  = 60
		streams = 8
		down    = 400 * time.Millisecond
	)
	cl.configureStreams(7, false)
	extra := []string{"-events", strconv.Itoa(events), "-pause", "120ms"}
	old := cl.worker(engines, model, 12, extra...)
	cl.guard("side-lagos-ik-1", "lagos-ik", old)
	cl.guard("side-lagos-ap-1", "lagos-ap", cl.workerOf("v2", engines, model, 12, extra...))
	cl.entry("front-lagos-ik-1", "lagos-ik", 164, 0.8)
	cl.entry("front-lagos-ap-1", "lagos-ap", 164, 0.8)
	cl.waitReady()

	var group sync.WaitGroup
	clients := make([]*streamClient, streams)
	for at := range clients {
		clients[at] = &streamClient{cl: cl, path: addedPath + strconv.Itoa(at), total: events}
		group.Go(func() { clients[at].run(at) })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		cl.kill(old.process)
		time.Sleep(down)
		old.software = "v2"
		cl.launch(old)
	}
	group.Wait()
	return judgeStreams(cl, clients)
}

// streamClient is a client of a stream. It resumes it after a broken connection.
type streamClient struct {
	cl    *cluster
	path  string
	total int
	// last is the id of the last event, versions those of the events in order.
	last     int
	versions []string
	complete bool
}

// run asks for the stream, and again for the rest of it a few times within the deadline.
func (sc *streamClient) run(number int) {
	end := time.Now().Add(12 * time.Second)
	for attempt := 0; attempt < 5 && !sc.complete && time.Now().Before(end); attempt++ {
		wait := sc.ask(sc.cl.entries[(number+attempt)%len(sc.cl.entries)], end)
		time.Sleep(max(wait, 200*time.Millisecond))
	}
}

// ask makes one attempt and returns how long the answer asks to wait.
func (sc *streamClient) ask(en *entrySpec, end time.Time) time.Duration {
	req, err := http.NewRequest(http.MethodPost, "http://"+en.callers+sc.path, strings.NewReader("prompt"))
	must(err)
	id := randomID()
	req.Host = host
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	if sc.last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(sc.last))
	}
	sc.cl.note("client sends %s, request %s, to %s, after event %d", sc.path, id, en.name, sc.last)
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Until(end)}).Do(req)
	if err != nil {
		sc.cl.note("client has no answer to %s: %v", id, err)
		return 0
	}
	defer res.Body.Close()
	sc.cl.note("client gets %d to %s, Retry-After %q", res.StatusCode, id, res.Header.Get("Retry-After"))
	if res.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second))
	}
	err = sc.read(res.Body)
	sc.cl.note("client has events up to %d of %s after %s, versions %v: %v", sc.last, sc.path, id, sc.versions, err)
	sc.complete = err == nil && sc.last == sc.total
	return 0
}

func (sc *streamClient) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			sc.last, _ = strconv.Atoi(value)
		case "data":
			version, _, _ := strings.Cut(value, "/")
			if len(sc.versions) == 0 || sc.versions[len(sc.versions)-1] != version {
				sc.versions = append(sc.versions, version)
			}
		}
	}
	return lines.Err()
}
