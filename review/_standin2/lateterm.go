package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"time"
)

// streamConfig has a plain route and one whose answers are streams.
const streamConfig = `{"version":3,"routes":[
{"name":"r-draft","host":"ficu95.example","path_prefix":"/gevo118/","kind":"streaming","timeout_ms":10000,"target_latency_ms":500,"priority":1,"service":"blend-lm","max_attempts":2},
{"name":"r-look","host":"ficu95.example","path_prefix":"/lohu930/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":250,"priority":2,"service":"ink-desk","max_attempts":2}],
"services":[{"name":"blend-lm","health_path":"/health","max_conns":150,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":102618,"models":[{"name":"daka510000"}]}},
{"name":"ink-desk","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// keptClient is a client that keeps its connection open for many requests.
type keptClient struct {
	cl     *cluster
	client *http.Client
	name   string
}

func newKeptClient(cl *cluster, name string) *keptClient {
	return &keptClient{cl: cl, name: name, client: &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 12 * time.Second}}
}

// post sends a request. It returns whether the connection was in use before.
func (kc *keptClient) post(addr, path, id, text string) (an answer, reused bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(text))
	if err != nil {
		return answer{err: err}, false
	}
	req.Host = host
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Deadline-Ms", "12000")
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	res, err := kc.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return answer{err: err}, reused
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: raw, err: err}, reused
}

// lateTerm stops a machine with SIGTERM. Clients whose connections to it are open send streams to
// it a little later than 3 s after.
func lateTerm(cl *cluster, trouble bool) (int, error) {
	const (
		clients = 8
		events  = 50
		sendAt  = 3200 * time.Millisecond
		grace   = 8 * time.Second
	)
	cl.store.put("op", "config", streamConfig)
	if err := cl.addEngines("blend-lm", 3); err != nil {
		return failed, err
	}
	for _, wo := range cl.workers {
		wo.pause, wo.events = 100*time.Millisecond, func(string) int { return events }
	}
	desk := newWorker("i-desk", "ink-desk", "", cl.note)
	if err := cl.addWorker(desk); err != nil {
		return failed, err
	}
	for _, name := range entryNames[:2] {
		if _, err := cl.addEntry(name, 0.8, 384, cl.storeAddr); err != nil {
			return failed, err
		}
	}
	if err := cl.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	pr := cl.entries[0]
	var kept []*keptClient
	for at := range clients {
		kc := newKeptClient(cl, fmt.Sprintf("client-%d", at))
		an, _ := kc.post(pr.addr, "/lohu930/a", fmt.Sprintf("5d07b8%02x", at), "shade")
		if an.err != nil || an.status != http.StatusOK {
			return failed, fmt.Errorf("%s: %v", kc.name, an)
		}
		kept = append(kept, kc)
	}
	cl.note("%d clients have open connections to %s", clients, pr.name)
	began := time.Now()
	if trouble {
		_ = pr.cmd.Process.Signal(syscall.SIGTERM)
		cl.note("platform: SIGTERM to %s", pr.name)
		time.AfterFunc(grace, func() {
			_ = pr.cmd.Process.Kill()
			cl.note("platform: SIGKILL to %s, if it still runs", pr.name)
		})
	}
	time.Sleep(sendAt)
	var (
		group sync.WaitGroup
		mutex sync.Mutex
		lost  int
	)
	for at, kc := range kept {
		group.Go(func() {
			id := fmt.Sprintf("9c41d0%02x", at)
			sent := time.Since(began)
			an, reused := kc.post(pr.addr, "/gevo118/b", id, "draft")
			pieces := strings.Count(string(an.body), "\nid: ")
			if strings.HasPrefix(string(an.body), "id: ") {
				pieces++
			}
			cl.note("%s: stream %s sent %v after SIGTERM, on an open connection: %v; status %d, %d of %d events, ended %v after SIGTERM: %v",
				kc.name, id, sent.Round(time.Millisecond), reused, an.status, pieces, events, time.Since(began).Round(time.Millisecond), an)
			ran := 0
			for _, wo := range cl.workers {
				count, _ := wo.worked(id)
				ran += count
			}
			mutex.Lock()
			defer mutex.Unlock()
			if an.err != nil && ran > 0 {
				lost++
			}
		})
	}
	group.Wait()
	cl.note("%d of %d streams were passed on to a worker and ended without a complete answer", lost, clients)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
