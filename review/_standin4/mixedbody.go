package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// distantStore is the store as seen from the other region: 30 ms each way, 450 Mbit/s.
type distantStore struct{ store *store }

func (ds distantStore) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	time.Sleep(60*time.Millisecond + time.Duration(float64(len(raw))*8/450e6*float64(time.Second)))
	req.Body = io.NopCloser(bytes.NewReader(raw))
	ds.store.ServeHTTP(out, req)
}

// lossyStore loses the answer of one write and does it 1 to 6 s late, if its condition still
// holds, as the users' page allows.
type lossyStore struct {
	la    *lab
	store *store

	mutex sync.Mutex
	// armed is set until the write is lost, at which counts writes of the body of a job.
	armed bool
	at    int
	done  chan struct{}
}

func (ls *lossyStore) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(raw))
	if req.URL.Path == "/bilberryshelf/rows-tx" && ls.loses(raw) {
		ls.la.log("store: the answer of a write of %d bytes is lost", len(raw))
		go ls.doLate(raw, time.Now())
		<-req.Context().Done() // no answer
		return
	}
	ls.store.ServeHTTP(out, req)
}

// doLate does a write whose answer was lost, 1 to 6 s after it came: once its rows were written
// again meanwhile, or at the end of that time.
func (ls *lossyStore) doLate(raw []byte, cameAt time.Time) {
	var body struct {
		Puts []wireRow `json:"puts"`
	}
	if json.Unmarshal(raw, &body) != nil || len(body.Puts) == 0 {
		return
	}
	time.Sleep(time.Second)
	for time.Since(cameAt) < 6*time.Second && !ls.store.has(body.Puts[0].id()) {
		time.Sleep(2 * time.Millisecond)
	}
	again, _ := http.NewRequest(http.MethodPost, "/", bytes.NewReader(raw))
	answer := statusWriter{header: http.Header{}}
	ls.store.transact(&answer, again)
	ls.la.log("store: the write whose answer was lost is done now, %v later: %d", time.Since(cameAt).Round(time.Millisecond), answer.status)
	close(ls.done)
}

// arm lets the store lose an answer.
func (ls *lossyStore) arm(armed bool) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	ls.armed = armed
}

// loses reports whether the answer of a write is lost: the third write of a job's body.
func (ls *lossyStore) loses(raw []byte) bool {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	if !ls.armed || !bytes.Contains(raw, []byte(`"table":"job-body"`)) {
		return false
	}
	ls.at++
	if ls.at < 3 {
		return false
	}
	ls.armed = false
	return true
}

type statusWriter struct {
	header http.Header
	status int
}

func (sw *statusWriter) Header() http.Header           { return sw.header }
func (sw *statusWriter) Write(raw []byte) (int, error) { return len(raw), nil }
func (sw *statusWriter) WriteHeader(status int)        { sw.status = status }

// promptJob returns a batch job whose prompts have many parts, as its headers say.
func promptJob(job string, groups, size, parts int) ([]byte, map[string]string) {
	var items []any
	bodies := map[string]string{}
	for group := range groups {
		var prefix []string
		for part := range parts {
			prefix = append(prefix, fmt.Sprintf("%06x%06x:%d", group, part, 20+part%9))
		}
		for at := range size {
			id := itemID(job, group, at)
			bodies[id] = "prompt of " + id
			items = append(items, map[string]any{
				"id": id, "path": "/train/x",
				"headers": map[string]string{
					"Bilberryshelf-Model": "m0", "Bilberryshelf-Token-Count": "1016,2000", "Bilberryshelf-Length-Hint": "640",
					"Content-Type": "application/json", "Accept": "text/event-stream", "X-Request-Source": "trainer-1", "X-Sampling-Seed": fmt.Sprintf("%06d", group),
					"Bilberryshelf-Prompt-Prefix": strings.Join(prefix, ","),
				},
				"body": base64.StdEncoding.EncodeToString([]byte(bodies[id])), "tokens": 3016, "group": fmt.Sprintf("%s-%d", job, group),
			})
		}
	}
	out, _ := json.Marshal(map[string]any{"step": 0, "model": "m0", "min_version": 1, "target_groups": groups, "requests": items})
	return out, bodies
}

// mixedBody plays a batch job that is submitted again at another node, since the store lost the
// answer of one write and does that write late.
func mixedBody(la *lab) {
	route := trainRoute("train", "lm")
	route["deadline_ms"], route["item_ttl_s"] = 90000, 120
	la.store.put("op", "config", config(10, []any{route}, []any{engineService("lm")}))
	il := newItemLog()
	for at := range 8 {
		wo := &worker{
			la: la, id: fmt.Sprintf("i-%d", at), service: "lm", model: "m0", slots: 12, work: 50 * time.Millisecond,
			texts: func(id string) []string { return lines(id, 40) },
			onRun: func(_ *worker, req *http.Request, _ []byte) { il.observe(req) },
		}
		wo.start()
		go wo.beats()
		la.guard(fmt.Sprintf("side-%d", at), wo.addr, "lm")
	}
	ls := &lossyStore{la: la, store: la.store, done: make(chan struct{})}
	nodes := []*proc{
		la.startEntry(&proc{name: "front-1", memoryMB: 384, cores: 0.8, store: la.listen(ls)}),
		la.startEntry(&proc{name: "front-2", memoryMB: 384, cores: 0.8, store: la.listen(distantStore{la.store}), region: "kano", zone: "kano-nas"}),
		la.entry("front-3", 384, la.storeAddr),
	}
	la.awaitReady(nodes...)
	time.Sleep(6 * time.Second)

	const job, groups, size, parts = "7c41e09b52d6a3f8", 1200, 4, 80
	body, bodies := promptJob(job, groups, size, parts)
	ls.arm(la.trouble)
	accepted := false
	for try := 0; try < 6 && !accepted; try++ {
		pr := nodes[try%2]
		status, raw, err := call(pr, "POST", "/train/x", job, body, 8*time.Second)
		la.log("batch job of %d items and %d bytes to %s: %d %s %v", groups*size, len(body), pr.name, status, strings.TrimSpace(string(raw)), err)
		accepted = status == 202
	}
	if !accepted {
		la.fail("the job was not accepted")
	}
	if la.trouble {
		<-ls.done
	}
	la.log("traffic ends; the batch job has 10 s more")
	time.Sleep(10 * time.Second)
	la.askBodies(nodes, job, bodies)
	la.passOn(nodes, il, job)
}

// askBodies requests the bodies of items that are not listed, again after each failure, and
// checks them.
func (la *lab) askBodies(nodes []*proc, job string, bodies map[string]string) {
	isListed := map[string]bool{}
	ids, total, err := listed(nodes[2], job)
	la.log("front-3 lists %d of %d %v", len(ids), total, err)
	for _, id := range ids {
		isListed[id] = true
	}
	right, other, none, text := 0, 0, 0, ""
	for id, want := range bodies {
		if isListed[id] || right+other+none >= 6 {
			continue
		}
		var status int
		var raw []byte
		for try := 0; try < 6 && status != 200; try++ {
			status, raw, err = call(nodes[try%len(nodes)], "GET", "/bilberryshelf/items/"+job+"?id="+id, "", nil, 5*time.Second)
			if status != 200 {
				text = fmt.Sprintf("%d %.200s %v", status, strings.TrimSpace(string(raw)), err)
				time.Sleep(300 * time.Millisecond)
			}
		}
		switch {
		case status == 200 && string(raw) == want:
			right++
		case status == 200:
			other++
		default:
			none++
			la.log("body of %s, which is not listed: %s", id, text)
		}
	}
	la.log("bodies of items that are not listed: %d right, %d with other bytes, %d not given", right, other, none)
	if none > 0 {
		la.breaks("LOST: %d of %d items that are not listed do not give their bodies at any node: %s", none, right+other+none, text)
	}
	if other > 0 {
		la.breaks("MIXED: %d bodies come back with other bytes", other)
	}
}

// passOn stops the entry that runs the job, as planned work does, and checks that another one
// goes on with it.
func (la *lab) passOn(nodes []*proc, il *itemLog, job string) {
	owner := la.ownerOf(job, nodes...)
	if owner == nil {
		la.log("no entry runs the job")
		return
	}
	var others []*proc
	for _, pr := range nodes {
		if pr != owner {
			others = append(others, pr)
		}
	}
	la.log("%s runs the job and gets SIGTERM", owner.name)
	_ = owner.cmd.Process.Signal(syscall.SIGTERM)
	<-owner.done
	time.Sleep(5 * time.Second)
	before := il.started()
	for range 12 {
		time.Sleep(time.Second)
		ids, total, err := listed(others[0], job)
		la.log("%s lists %d of %d %v, %d items at workers", others[0].name, len(ids), total, err, il.running())
		if len(ids) == total && err == nil {
			return
		}
	}
	if il.started() == before && il.running() == 0 {
		la.breaks("LOST: since %s has stopped, no item of the job has been at a worker for 12 s", owner.name)
	}
}
