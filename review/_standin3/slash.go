package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// rootHost is the host of a route whose prefix is a single slash.
const rootHost = "root.example"

// slash sends requests and a step whose paths begin with two slashes, as a client does that
// appends a path to an address with a final slash. Without trouble there is one.
func slash(wo *world, trouble bool) []string {
	storeAddr := serve(wo.store.handler())
	co := config(1)
	co["routes"] = append(co["routes"].([]map[string]any), map[string]any{
		"name": "r-root", "host": rootHost, "path_prefix": "/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
		"priority": 2, "service": plain, "max_attempts": 2,
	})
	wo.store.put("op", "config", co)
	var (
		mutex sync.Mutex
		seen  = map[string]string{}
	)
	watched := func(wr *worker) http.Handler {
		return http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
			mutex.Lock()
			seen[req.Header.Get("Bilberryshelf-Request-Id")] = req.Host + " " + req.RequestURI
			mutex.Unlock()
			wo.log("worker=%s id=%s line=%q path=%q host=%q", wr.id, req.Header.Get("Bilberryshelf-Request-Id"), req.Method+" "+req.RequestURI, req.URL.Path, req.Host)
			wr.ServeHTTP(out, req)
		})
	}
	for at := range 2 {
		wo.addWorkerBehind(&worker{
			id: fmt.Sprintf("i-e%d", at), service: engines, model: model, version: 1, slots: 6, events: 3, pace: 20 * time.Millisecond,
		}, watched)
		wo.addWorkerBehind(&worker{id: fmt.Sprintf("i-p%d", at), service: plain, slots: 6}, watched)
	}
	for at := range 2 {
		wo.addEntry(fmt.Sprintf("front-%d", at+1), storeAddr, "0.8", "164MiB")
	}
	wo.waitReady()
	before := ""
	if trouble {
		before = "/"
	}
	sent := map[string]string{}
	for at := range 10 {
		id, path := fmt.Sprintf("q%d", at), fmt.Sprintf("%s/orders/%d?dry=0", before, at)
		sent[id] = rootHost + " " + path
		status := wo.post(wo.entries[at%2], rootHost, path, id)
		wo.log("client id=%s host=%s path=%s status=%d", id, rootHost, path, status)
	}
	const job = "7c41e09b52d6a3f8"
	body, ids := step(job, 5, 4, []byte("a prompt"))
	var fields map[string]any
	check(json.Unmarshal(body, &fields))
	for at, item := range fields["requests"].([]any) {
		path := before + item.(map[string]any)["path"].(string)
		item.(map[string]any)["path"] = path
		sent[ids[at]] = host + " " + path
	}
	body, err := json.Marshal(fields)
	check(err)
	wo.submit(wo.entries[0], job, body)
	time.Sleep(4 * time.Second)
	_, li := wo.entries[1].results(job, host, 0)
	wo.log("client job=%s listed=%d of=%d", job, li.Next, li.Total)
	changed, ran := 0, 0
	mutex.Lock()
	defer mutex.Unlock()
	for id, want := range sent {
		got, found := seen[id]
		if !found {
			continue
		}
		ran++
		if got != want {
			changed++
			wo.log("id=%s sent %q, run as %q", id, want, got)
		}
	}
	wo.log("ran=%d changed=%d", ran, changed)
	if ran == 0 {
		check(fmt.Errorf("no request ran"))
	}
	if changed == 0 {
		return nil
	}
	return []string{fmt.Sprintf("UNASKED: %d of %d requests ran with another path and host than their client sent", changed, ran)}
}

// post sends a request on a raw connection, so that no library changes its path.
func (wo *world) post(en *entry, host, path, id string) int {
	conn, err := net.Dial("tcp", en.callers)
	check(err)
	defer conn.Close()
	check(conn.SetDeadline(time.Now().Add(3 * time.Second)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nBilberryshelf-Request-Id: %s\r\nBilberryshelf-Deadline-Ms: 1500\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", path, host, id)
	check(err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}
