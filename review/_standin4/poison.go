package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// poison plays a request that crashes each worker that begins to run it, and comes again.
func poison(la *lab) {
	la.store.put("op", "config", config(10, []any{plainRoute("quote")}, []any{map[string]any{"name": "dispatch", "health_path": "/health", "max_conns": 96}}))
	var (
		mutex   sync.Mutex
		crashes int
		thirdAt time.Time
		reached = map[string]int{}
	)
	for at := range 3 {
		wo := &worker{la: la, id: fmt.Sprintf("i-%d", at), service: "dispatch", slots: 6, work: 25 * time.Millisecond}
		wo.onRun = func(wo *worker, req *http.Request, body []byte) {
			if string(body) != "poison" {
				return
			}
			id := req.Header.Get("Bilberryshelf-Request-Id")
			la.log("worker %s runs %s", wo.id, id)
			mutex.Lock()
			reached[id]++
			if crashes++; crashes == 3 {
				thirdAt = time.Now()
			}
			mutex.Unlock()
			if la.trouble {
				wo.crash(2 * time.Second)
			}
		}
		wo.start()
		go wo.beats()
	}
	nodes := []*proc{la.entry("front-1", 164, la.storeAddr), la.entry("front-2", 164, la.storeAddr), la.entry("front-3", 164, la.storeAddr)}
	la.awaitReady(nodes...)
	time.Sleep(5 * time.Second)

	// Other clients ask at front-3 only, the client of the crashing request at the others.
	others := &client{la: la, nodes: nodes[2:], http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}}
	ta := &tally{sent: map[string]int{}, served: map[string]int{}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for at := 0; ; at++ {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			group.Go(func() {
				ta.add("quote", others.ask(0, fmt.Sprintf("quote-%d", at), "/quote/list", fmt.Sprintf("order %d", at)) == 200)
			})
		}
	})
	late := 0
	for at := range 12 {
		id, pr, sentAt := fmt.Sprintf("poison-%d", at), nodes[at%2], time.Now()
		status, err := sendOnce(pr, id, "poison")
		la.log("%s to %s: %d %v", id, pr.name, status, err)
		mutex.Lock()
		if !thirdAt.IsZero() && sentAt.After(thirdAt.Add(4*time.Second)) && reached[id] > 0 {
			late++
		}
		mutex.Unlock()
		time.Sleep(4500 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	la.log("other requests: %d sent, %d served", ta.sent["quote"], ta.served["quote"])
	la.log("%d retries reached workers, sent later than 4 s after the third crash", late)
	if la.trouble && late > 3 {
		la.breaks("BUDGET: %d retries of the crashing request reached workers, sent later than 4 s after it had crashed the third", late)
	}
}

// sendOnce sends a request on a new connection.
func sendOnce(pr *proc, id, body string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+pr.callers+"/quote/x", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Deadline-Ms", "4000")
	cl := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := cl.Do(req)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}
