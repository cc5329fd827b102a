package main

import (
	"net/http"
	"sync"
	"time"
)

// caseExtra sends requests of a non_idempotent route while half of the workers send an extra
// answer after 2 in 100 of their answers.
func caseExtra(cl *cluster, trouble bool) (string, bool) {
	const (
		workers = 6
		senders = 16
		length  = 30 * time.Second
	)
	cl.configure("non_idempotent", 12*time.Second, 100*time.Second, 12)
	for at := range workers {
		extraEach := "0"
		if trouble && at%2 == 0 {
			extraEach = "50"
		}
		cl.worker(desk, "", 6, "-work", "200ms", "-raw", "-extra-each", extraEach)
	}
	cl.entry("front-lagos-ik-1", "lagos-ik", 164, 0.8)
	cl.entry("front-lagos-ap-1", "lagos-ap", 164, 0.8)
	cl.waitReady()

	var (
		group    sync.WaitGroup
		mutex    sync.Mutex
		statuses = map[string]int{}
	)
	end := time.Now().Add(length)
	for at := range senders {
		group.Go(func() {
			en := cl.entries[at%len(cl.entries)]
			sender := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
			for time.Now().Before(end) {
				id := randomID()
				status := cl.once(sender, en, http.MethodPost, id)
				mutex.Lock()
				statuses[id] = status
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	return cl.judgeOnce(statuses)
}
