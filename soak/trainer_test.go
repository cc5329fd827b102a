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

	"bilberryshelf/platform/stub"
)

const itemsPerJob = 24

func itemID(job string, at int) string { return fmt.Sprintf("%s-i%d", job, at) }

// trainer submits the job of a step, reads its results, ends it and publishes the
// next weight version.
type trainer struct {
	cluster *cluster
	client  *http.Client
	rng     *rand.Rand
	// resubmitRNG decides when an accepted job is sent again.
	resubmitRNG *rand.Rand
	version     uint64
	refusedJobs []string

	mutex          sync.Mutex
	completedSteps int
	// results holds the ids of the results read so far, by job and position.
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

func (tr *trainer) send(ctx context.Context, method, addr, path, id string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Wait-Ms", "500")
	return tr.client.Do(req)
}

func (tr *trainer) randomEntry() string { return tr.cluster.callerAddrs[tr.rng.IntN(entryCount)] }

// submit tries up to four times, each time at a random entry. The job counts as refused
// only if all attempts were answered with 503; then none of its items may run.
func (tr *trainer) submit(ctx context.Context, job string, step int) bool {
	items := []map[string]any{}
	for at := range itemsPerJob {
		items = append(items, map[string]any{"id": itemID(job, at), "path": "/train/i", "group": fmt.Sprint(at / 4), "tokens": 100, "body": []byte("x")})
	}
	minVersion := max(tr.version, 2) - 1
	body, err := json.Marshal(map[string]any{"step": step, "model": "m", "min_version": minVersion, "target_groups": itemsPerJob / 4, "requests": items})
	if err != nil {
		tr.cluster.recordViolation("encode a job: %v", err)
		return false
	}
	refused, path := true, tr.cluster.submitPath()
	for range 4 {
		res, err := tr.send(ctx, http.MethodPost, tr.randomEntry(), path, job, body)
		if err == nil {
			_ = res.Body.Close() // only the status is needed
			if res.StatusCode == http.StatusAccepted {
				tr.resubmit(ctx, path, job, body)
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

// resubmit sends about half of the accepted jobs a second time, like a client that
// lost the first response. It must not be rejected with a 4xx status and must change
// nothing: readPage checks that the results stay the same.
func (tr *trainer) resubmit(ctx context.Context, path, job string, body []byte) {
	if tr.resubmitRNG.IntN(2) > 0 {
		return
	}
	time.Sleep(time.Duration(tr.resubmitRNG.IntN(1000)) * time.Millisecond)
	res, err := tr.send(ctx, http.MethodPost, tr.randomEntry(), path, job, body)
	if err != nil {
		return
	}
	_ = res.Body.Close() // only the status is needed
	if res.StatusCode >= http.StatusBadRequest && res.StatusCode < http.StatusInternalServerError {
		tr.cluster.recordViolation("job %s was accepted, but sending it again returned %d", job, res.StatusCode)
	}
}

// awaitResults reads the results of a job until all are listed.
func (tr *trainer) awaitResults(ctx context.Context, job string) bool {
	deadline := time.Now().Add(45 * time.Second)
	for ctx.Err() == nil {
		if time.Now().After(deadline) {
			tr.cluster.recordViolation("job %s is not complete after 45 s: %d results listed", job, len(tr.results[job]))
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

// checkResultsAt checks that an entry lists all results that were read before.
func (tr *trainer) checkResultsAt(addr, job string) {
	for range 40 {
		if count := tr.readPage(context.Background(), addr, job, 0); count >= 0 {
			if count < len(tr.results[job]) {
				tr.cluster.recordViolation("%s lists only %d of the %d results of job %s that were read", addr, count, len(tr.results[job]), job)
			}
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	tr.cluster.recordViolation("job %s cannot be read from %s after all faults have ended", job, addr)
}

// readPage reads the results from a position on and checks each. It returns their
// number, or -1 if the read failed.
func (tr *trainer) readPage(ctx context.Context, addr, job string, from int) int {
	res, err := tr.send(ctx, http.MethodGet, addr, fmt.Sprintf("/bilberryshelf/lots/%s?after=%d", job, from), "read", nil)
	if err != nil {
		return -1
	}
	defer res.Body.Close() // a close error after reading is harmless
	if res.StatusCode == http.StatusNotFound {
		tr.cluster.recordViolation("%s returned 404 for job %s", addr, job)
	}
	if res.StatusCode != http.StatusOK {
		return -1
	}
	pa, err := decodePage(res)
	if err != nil {
		return -1
	}
	for at, re := range pa.Results {
		known := tr.results[job]
		switch {
		case re.State != "completed" || re.Text != strings.Join(stub.Text(re.ID), "\n"):
			tr.cluster.recordViolation("result %s of job %s is %s with the text %.80q, not completed with the whole text", re.ID, job, re.State, re.Text)
		case from+at < len(known) && known[from+at] != re.ID:
			tr.cluster.recordViolation("position %d of job %s has item %s, but had %s before", from+at, job, re.ID, known[from+at])
		case from+at == len(known):
			for _, id := range known {
				if id == re.ID {
					tr.cluster.recordViolation("item %s of job %s is listed twice", re.ID, job)
				}
			}
			tr.results[job] = append(known, re.ID)
		}
		for _, ve := range re.Versions {
			if ve+1 < tr.version && from+at >= len(known) {
				tr.cluster.recordViolation("result %s was generated with weight version %d, older than %d", re.ID, ve, tr.version-1)
			}
		}
	}
	return len(pa.Results)
}

// endJob deletes a job, and retries until that succeeds.
func (tr *trainer) endJob(ctx context.Context, job string) {
	for ctx.Err() == nil {
		res, err := tr.send(ctx, http.MethodDelete, tr.randomEntry(), "/bilberryshelf/lots/"+job, "end", nil)
		if err == nil {
			_ = res.Body.Close() // only the status is needed
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
