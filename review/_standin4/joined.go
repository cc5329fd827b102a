package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// joined plays workers that crash in the middle of streams and are back under their ids with
// newer software. What they write depends on its version.
func joined(la *lab) {
	route := map[string]any{
		"name": "ask", "host": "h.example", "path_prefix": "/ask/", "kind": "streaming", "resumable": true, "service": "lm", "timeout_ms": 10000,
		"target_latency_ms": 400, "max_attempts": 3, "priority": 1,
	}
	la.store.put("op", "config", config(10, []any{route}, []any{engineService("lm")}))
	var workers []*worker
	for at := range 2 {
		wo := &worker{la: la, id: fmt.Sprintf("i-%d", at), service: "lm", model: "m0", slots: 12, work: 50 * time.Millisecond, software: "1.0"}
		wo.texts = func(string) []string {
			wo.mutex.Lock()
			defer wo.mutex.Unlock()
			return lines("software "+wo.software, 60)
		}
		wo.start()
		go wo.beats()
		la.guard(fmt.Sprintf("side-%d", at), wo.addr, "lm")
		workers = append(workers, wo)
	}
	nodes := []*proc{la.entry("front-1", 164, la.storeAddr), la.entry("front-2", 164, la.storeAddr), la.entry("front-3", 164, la.storeAddr)}
	la.awaitReady(nodes...)
	time.Sleep(6 * time.Second)

	var group sync.WaitGroup
	var mutex sync.Mutex
	mixed := 0
	for at := range 6 {
		group.Go(func() {
			id := fmt.Sprintf("stream-%d", at)
			versions, events, complete := readStream(nodes[at%3], id)
			la.log("%s: %d events, of %s, complete: %v", id, events, strings.Join(versions, " then "), complete)
			if len(versions) > 1 {
				mutex.Lock()
				defer mutex.Unlock()
				mixed++
			}
		})
	}
	time.Sleep(time.Second)
	if la.trouble {
		for _, wo := range workers {
			wo.upgrade("2.0")
			wo.crash(1500 * time.Millisecond)
		}
	}
	group.Wait()
	if mixed > 0 {
		la.breaks("ORDER: %d of 6 streams are joined from the texts of two software versions", mixed)
	}
}

// readStream requests a stream and returns the software versions that wrote its events, in
// their order.
func readStream(pr *proc, id string) (versions []string, events int, complete bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+pr.callers+"/ask/x", strings.NewReader("prompt of "+id))
	if err != nil {
		return nil, 0, false
	}
	req.Host = "h.example"
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Deadline-Ms", "12000")
	req.Header.Set("Bilberryshelf-Model", "m0")
	req.Header.Set("Bilberryshelf-Token-Count", "16,4000")
	cl := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{}}
	res, err := cl.Do(req)
	if err != nil {
		return nil, 0, false
	}
	defer res.Body.Close()
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		events++
		version, _, _ := strings.Cut(data, "-")
		if len(versions) == 0 || versions[len(versions)-1] != version {
			versions = append(versions, version)
		}
	}
	return versions, events, scanner.Err() == nil && res.StatusCode == http.StatusOK
}
