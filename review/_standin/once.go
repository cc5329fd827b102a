package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// caseOnce sends requests of a non_idempotent route while single workers crash.
func caseOnce(cl *cluster, trouble bool) (string, bool) {
	const (
		workers  = 7
		senders  = 10
		length   = 24 * time.Second
		down     = 4500 * time.Millisecond
		workTime = "250ms"
	)
	cl.configure("non_idempotent", 12*time.Second, 100*time.Second, 12)
	for range workers {
		cl.worker(desk, "", 6, "-work", workTime)
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
				status := cl.once(sender, en, http.MethodGet, id)
				mutex.Lock()
				statuses[id] = status
				mutex.Unlock()
			}
		})
	}
	if trouble {
		time.Sleep(4 * time.Second)
		for range 3 { // one of seven workers at a time: a share of 0.143
			cl.crashWorker(cl.busiest(), down)
			time.Sleep(time.Second)
		}
	}
	group.Wait()
	time.Sleep(time.Second)
	return cl.judgeOnce(statuses)
}

// judgeOnce checks that no request ran twice, and that none ran that was answered 429 or 503.
func (cl *cluster) judgeOnce(statuses map[string]int) (string, bool) {
	count, workersOf := map[string]int{}, map[string][]string{}
	for _, ru := range cl.runs() {
		count[ru.id]++
		workersOf[ru.id] = append(workersOf[ru.id], ru.worker)
	}
	served, twice, refused := 0, 0, 0
	for id, status := range statuses {
		if status == http.StatusOK {
			served++
		}
		if count[id] > 1 {
			twice++
			cl.note("TWICE: request %s ran %d times, at %v; its client got %d", id, count[id], workersOf[id], status)
		}
		if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && count[id] > 0 {
			refused++
			cl.note("REFUSED: request %s was answered %d and ran %d times", id, status, count[id])
		}
	}
	return fmt.Sprintf("%d requests, %d served, %d ran twice, %d were refused and ran", len(statuses), served, twice, refused), twice+refused > 0
}

// once sends one request, with a body unless its method is GET, and returns its status, zero
// without an answer.
func (cl *cluster) once(sender *http.Client, en *entrySpec, method, id string) int {
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader("lot " + id[:4])
	}
	req, err := http.NewRequest(method, "http://"+en.callers+oncePath+"2f?lot="+id[:4], body)
	must(err)
	req.Host = host
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Deadline-Ms", "4000")
	cl.note("client sends %s to %s", id, en.name)
	res, err := sender.Do(req)
	if err != nil {
		cl.note("client has no answer to %s: %v", id, err)
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	cl.note("client gets %d to %s", res.StatusCode, id)
	return res.StatusCode
}

// busiest returns a worker that has just begun a request.
func (cl *cluster) busiest() *workerSpec {
	var found *workerSpec
	waitFor(2*time.Second, func() bool {
		all := cl.runs()
		last := all[len(all)-1]
		for _, wo := range cl.workers {
			if wo.id == last.worker && time.Since(last.at) < 100*time.Millisecond {
				found = wo
			}
		}
		return found != nil
	})
	if found == nil {
		panic(errCannotRun{fmt.Errorf("no worker runs a request")})
	}
	return found
}
