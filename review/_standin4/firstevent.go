package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// usualClients is the number of clients without the burst, which doubles it.
const usualClients = 12

// firstEvent plays a burst of streams that makes the workers read prompts more slowly.
func firstEvent(la *lab) {
	la.store.put("op", "config", config(10, []any{map[string]any{
		"name": "ask", "host": "h.example", "path_prefix": "/ask/", "kind": "streaming", "resumable": true, "service": "lm", "timeout_ms": 10000,
		"target_latency_ms": 1000, "max_attempts": 2, "priority": 1,
	}}, []any{engineService("lm")}))
	for at := range 3 {
		wo := &worker{
			la: la, id: fmt.Sprintf("i-%d", at), service: "lm", models: map[string]int{"m0": 1}, slots: 12, work: 30 * time.Millisecond,
			texts: func(id string) []string { return lines(id, 20) },
			// Prompts are read in chunks between the tokens of the other requests.
			prefill: func(running int) time.Duration { return time.Duration(running) * 140 * time.Millisecond },
		}
		wo.start()
		go wo.beats()
		la.guard(fmt.Sprintf("side-%d", at), wo.addr, "lm")
	}
	nodes := []*proc{la.entry("front-1", 164, la.storeAddr), la.entry("front-2", 164, la.storeAddr), la.entry("front-3", 164, la.storeAddr)}
	la.awaitReady(nodes...)
	time.Sleep(6 * time.Second)

	var (
		group       sync.WaitGroup
		mutex       sync.Mutex
		whole, none int
		part        int
	)
	for at := range 2 * usualClients { // clients, each on a connection of its own, one stream after the other
		group.Go(func() {
			cl := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{}}
			if at >= usualClients { // the others join for the burst
				if !la.trouble {
					return
				}
				time.Sleep(5 * time.Second)
			}
			end := time.Now().Add(5 * time.Second)
			if at < usualClients {
				end = end.Add(10 * time.Second)
			}
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("stream-%d-%d", at, n)
				events, complete, status, took := countEvents(cl, nodes[at%3], id)
				la.log("%s: status %d, %d events, complete: %v, after %v", id, status, events, complete, took.Round(time.Millisecond))
				mutex.Lock()
				switch {
				case complete && events == 20:
					whole++
				case events == 0 && n > 0:
					none++
				default:
					part++
				}
				mutex.Unlock()
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	group.Wait()
	la.log("%d whole streams, %d in part, %d without an event on a connection in use before", whole, part, none)
	if none > 3 {
		la.breaks("LOST: %d streams on kept connections were passed on and closed without an event", none)
	}
}

func countEvents(cl *http.Client, pr *proc, id string) (events int, complete bool, status int, took time.Duration) {
	req, err := http.NewRequest(http.MethodPost, "http://"+pr.callers+"/ask/x", strings.NewReader("prompt of "+id))
	if err != nil {
		return 0, false, 0, 0
	}
	req.Host = "h.example"
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Deadline-Ms", "12000")
	req.Header.Set("Bilberryshelf-Model", "m0")
	req.Header.Set("Bilberryshelf-Token-Count", "1016,2000")
	began := time.Now()
	res, err := cl.Do(req)
	if err != nil {
		return 0, false, 0, time.Since(began)
	}
	defer res.Body.Close()
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data: ") {
			events++
		}
	}
	return events, scanner.Err() == nil && res.StatusCode == http.StatusOK, res.StatusCode, time.Since(began)
}
