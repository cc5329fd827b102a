package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// itemLog records the runs of items at workers.
type itemLog struct {
	mutex sync.Mutex
	// last is when an item reached a worker last, busy how many workers have it now.
	last map[string]time.Time
	busy map[string]int
	runs map[string]int
}

func newItemLog() *itemLog {
	return &itemLog{last: map[string]time.Time{}, busy: map[string]int{}, runs: map[string]int{}}
}

func (il *itemLog) observe(req *http.Request) {
	id := req.Header.Get("Bilberryshelf-Request-Id")
	il.mutex.Lock()
	il.busy[id]++
	il.runs[id]++
	il.last[id] = time.Now()
	il.mutex.Unlock()
	go func() {
		<-req.Context().Done()
		il.mutex.Lock()
		defer il.mutex.Unlock()
		il.busy[id]--
		il.last[id] = time.Now()
	}()
}

// idle returns for how long an item has been at no worker, and whether it ever was at one.
func (il *itemLog) idle(id string, since time.Time) (time.Duration, bool) {
	il.mutex.Lock()
	defer il.mutex.Unlock()
	if il.busy[id] > 0 {
		return 0, true
	}
	last, found := il.last[id]
	if !found || last.Before(since) {
		last = since
	}
	return time.Since(last), found
}

func (il *itemLog) running() int {
	il.mutex.Lock()
	defer il.mutex.Unlock()
	sum := 0
	for _, count := range il.busy {
		sum += count
	}
	return sum
}

// started returns the number of runs.
func (il *itemLog) started() int {
	il.mutex.Lock()
	defer il.mutex.Unlock()
	sum := 0
	for _, count := range il.runs {
		sum += count
	}
	return sum
}

// listed reads all results of a job at a node and returns the ids in their order.
func listed(pr *proc, job string) (ids []string, total int, err error) {
	for from := 0; ; {
		status, raw, err := call(pr, "GET", fmt.Sprintf("/bilberryshelf/lots/%s?after=%d", job, from), "", nil, 3*time.Second)
		if err != nil {
			return ids, total, err
		}
		if status != 200 {
			return ids, total, fmt.Errorf("status %d", status)
		}
		var page struct {
			Total, Next int
			Results     []struct{ ID string }
		}
		if err := json.Unmarshal(raw, &page); err != nil {
			return ids, total, err
		}
		total = page.Total
		for _, re := range page.Results {
			ids = append(ids, re.ID)
		}
		if len(page.Results) == 0 {
			return ids, total, nil
		}
		from = page.Next
	}
}

// ownerOf returns the entry that runs a job, by its log.
func (la *lab) ownerOf(job string, all ...*proc) *proc {
	for _, pr := range all {
		raw, _ := os.ReadFile(la.dir + "/" + pr.name + ".log")
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, "job started") && strings.Contains(line, "id="+job+" ") {
				return pr
			}
		}
	}
	return nil
}
