package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"bilberryshelf/platform/stand"
)

const itemsPerJob = 24

func itemID(job string, at int) string { return fmt.Sprintf("%s-i%d", job, at) }

// trainer submits a step, reads it, ends it and names the next version.
type trainer struct {
	cluster *cluster
	client  *http.Client
	rng     *rand.Rand
	// resubmitRNG draws when a job is sent again.
	resubmitRNG *rand.Rand
	version     uint64
	refusedJobs []string

	mutex          sync.Mutex
	completedSteps int
	// results holds the ids of a job's results as they were read, by position.
	results map[string][]string
}

func (tr *trainer) stepCount() int {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	return tr.completedSteps
}

func (tr *trainer) run(ctx context.Context) {
	tr.version = 1
	for step := 0; ctx.Err() == nil; step++ {
		job := fmt.Sprintf("j%d", step)
		if !tr.submit(ctx, job, step) {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		if !tr.awaitResults(ctx, job) {
			continue
		}
		tr.endJob(ctx, job)
		tr.version++
		tr.cluster.putRow("op", "version/m", fmt.Sprintf(`{"model":"m","version":%d}`, tr.version))
		tr.mutex.Lock()
		tr.completedSteps++
		tr.mutex.Unlock()
	}
}

func (tr *trainer) send(ctx context.Context, method, front, path, id string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Wait-Ms", "500")
	return tr.client.Do(req)
}

func (tr *trainer) randomEntry() string { return tr.cluster.callerAddrs[tr.rng.IntN(entryCount)] }

// submit tries a few entries. A job is refused if each try was, truthfully.
func (tr *trainer) submit(ctx context.Context, job string, step int) bool {
	items := []map[string]any{}
	for at := range itemsPerJob {
		items = append(items, map[string]any{"id": itemID(job, at), "path": "/train/i", "group": fmt.Sprint(at / 4), "tokens": 100, "body": []byte("x")})
	}
	oldest := max(tr.version, 2) - 1
	body, err := json.Marshal(map[string]any{"step": step, "model": "m", "min_version": oldest, "target_groups": itemsPerJob / 4, "requests": items})
	if err != nil {
		tr.cluster.recordViolation("encode a job: %v", err)
		return false
	}
	refused := true
	for range 4 {
		res, err := tr.send(ctx, http.MethodPost, tr.randomEntry(), "/train/x", job, body)
		if err == nil {
			_ = res.Body.Close() // nothing in it is wanted
			if res.StatusCode == http.StatusAccepted {
				tr.resubmit(ctx, job, body)
				return true
			}
		}
		refused = refused && err == nil && res.StatusCode == http.StatusServiceUnavailable
		time.Sleep(150 * time.Millisecond)
	}
	if refused && ctx.Err() == nil {
		tr.refusedJobs = append(tr.refusedJobs, job)
	}
	return false
}

// resubmit sends an accepted job once more, now and then, as clients do whose
// answer was lost. It must change nothing; what was listed is checked by reads.
func (tr *trainer) resubmit(ctx context.Context, job string, body []byte) {
	if tr.resubmitRNG.IntN(2) > 0 {
		return
	}
	time.Sleep(time.Duration(tr.resubmitRNG.IntN(1000)) * time.Millisecond)
	res, err := tr.send(ctx, http.MethodPost, tr.randomEntry(), "/train/x", job, body)
	if err != nil {
		return
	}
	_ = res.Body.Close() // nothing in it is wanted
	if res.StatusCode >= http.StatusBadRequest && res.StatusCode < http.StatusInternalServerError {
		tr.cluster.recordViolation("job %s was accepted, and sent again gets %d", job, res.StatusCode)
	}
}

// awaitResults reads a job until it is whole.
func (tr *trainer) awaitResults(ctx context.Context, job string) bool {
	deadline := time.Now().Add(45 * time.Second)
	for ctx.Err() == nil {
		if time.Now().After(deadline) {
			tr.cluster.recordViolation("job %s is not whole after 45 s: %d listed", job, len(tr.results[job]))
			return false
		}
		from := len(tr.results[job])
		if tr.rng.IntN(8) == 0 {
			from = tr.rng.IntN(from + 1)
		}
		tr.readPage(ctx, tr.randomEntry(), job, from)
		if len(tr.results[job]) == itemsPerJob {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (tr *trainer) checkResultsAt(front, job string) {
	for range 40 {
		if count := tr.readPage(context.Background(), front, job, 0); count >= 0 {
			if count < len(tr.results[job]) {
				tr.cluster.recordViolation("%s lists %d of %d results of %s that were read", front, count, len(tr.results[job]), job)
			}
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	tr.cluster.recordViolation("job %s can't be read at %s after all faults", job, front)
}

// readPage reads once and checks each result. It returns the number of results, or
// -1 without an answer.
func (tr *trainer) readPage(ctx context.Context, front, job string, from int) int {
	res, err := tr.send(ctx, http.MethodGet, front, fmt.Sprintf("/bilberryshelf/lots/%s?after=%d", job, from), "read", nil)
	if err != nil {
		return -1
	}
	defer res.Body.Close() // a failed close of a read body loses nothing
	if res.StatusCode == http.StatusNotFound {
		tr.cluster.recordViolation("%s knows no job %s", front, job)
	}
	if res.StatusCode != http.StatusOK {
		return -1
	}
	li, err := decodePage(res)
	if err != nil {
		return -1
	}
	for at, re := range li.Results {
		known := tr.results[job]
		switch {
		case re.State != "completed" || re.Text != strings.Join(stand.Text(re.ID), "\n"):
			tr.cluster.recordViolation("result %s of %s is %s with another text", re.ID, job, re.State)
		case from+at < len(known) && known[from+at] != re.ID:
			tr.cluster.recordViolation("position %d of %s holds %s, and held %s", from+at, job, re.ID, known[from+at])
		case from+at == len(known):
			for _, id := range known {
				if id == re.ID {
					tr.cluster.recordViolation("item %s of %s stands twice", re.ID, job)
				}
			}
			tr.results[job] = append(known, re.ID)
		}
		for _, ve := range re.Versions {
			if ve+1 < tr.version && from+at >= len(known) {
				tr.cluster.recordViolation("result %s was made by version %d, below %d", re.ID, ve, tr.version-1)
			}
		}
	}
	return len(li.Results)
}

func (tr *trainer) endJob(ctx context.Context, job string) {
	for ctx.Err() == nil {
		res, err := tr.send(ctx, http.MethodDelete, tr.randomEntry(), "/bilberryshelf/lots/"+job, "end", nil)
		if err == nil {
			_ = res.Body.Close() // nothing in it is wanted
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
