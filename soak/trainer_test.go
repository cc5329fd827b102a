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
	world  *world
	client *http.Client
	rng    *rand.Rand
	// again draws when a job is sent again.
	again   *rand.Rand
	version uint64
	refused []string

	mutex sync.Mutex
	steps int
	// known holds the ids of a job's results as they were read, by position.
	known map[string][]string
}

func (tr *trainer) count() int {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	return tr.steps
}

func (tr *trainer) run(ctx context.Context) {
	tr.version = 1
	for step := 0; ctx.Err() == nil; step++ {
		job := fmt.Sprintf("j%d", step)
		if !tr.submit(ctx, job, step) {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		if !tr.read(ctx, job) {
			continue
		}
		tr.end(ctx, job)
		tr.version++
		tr.world.put("op", "version/m", fmt.Sprintf(`{"model":"m","version":%d}`, tr.version))
		tr.mutex.Lock()
		tr.steps++
		tr.mutex.Unlock()
	}
}

func (tr *trainer) ask(ctx context.Context, method, front, path, id string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Wait-Ms", "500")
	return tr.client.Do(req)
}

func (tr *trainer) front() string { return tr.world.fronts[tr.rng.IntN(entries)] }

// submit tries a few entries. A job is refused if each try was, truthfully.
func (tr *trainer) submit(ctx context.Context, job string, step int) bool {
	items := []map[string]any{}
	for at := range itemsPerJob {
		items = append(items, map[string]any{"id": itemID(job, at), "path": "/train/i", "group": fmt.Sprint(at / 4), "tokens": 100, "body": []byte("x")})
	}
	oldest := max(tr.version, 2) - 1
	body, err := json.Marshal(map[string]any{"step": step, "model": "m", "min_version": oldest, "target_groups": itemsPerJob / 4, "requests": items})
	if err != nil {
		tr.world.broken("encode a job: %v", err)
		return false
	}
	refused := true
	for range 4 {
		res, err := tr.ask(ctx, http.MethodPost, tr.front(), "/train/x", job, body)
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
		tr.refused = append(tr.refused, job)
	}
	return false
}

// resubmit sends an accepted job once more, now and then, as clients do whose
// answer was lost. It must change nothing; what was listed is checked by reads.
func (tr *trainer) resubmit(ctx context.Context, job string, body []byte) {
	if tr.again.IntN(2) > 0 {
		return
	}
	time.Sleep(time.Duration(tr.again.IntN(1000)) * time.Millisecond)
	res, err := tr.ask(ctx, http.MethodPost, tr.front(), "/train/x", job, body)
	if err != nil {
		return
	}
	_ = res.Body.Close() // nothing in it is wanted
	if res.StatusCode >= http.StatusBadRequest && res.StatusCode < http.StatusInternalServerError {
		tr.world.broken("job %s was accepted, and sent again gets %d", job, res.StatusCode)
	}
}

// read reads a job until it is whole.
func (tr *trainer) read(ctx context.Context, job string) bool {
	deadline := time.Now().Add(45 * time.Second)
	for ctx.Err() == nil {
		if time.Now().After(deadline) {
			tr.world.broken("job %s is not whole after 45 s: %d listed", job, len(tr.known[job]))
			return false
		}
		from := len(tr.known[job])
		if tr.rng.IntN(8) == 0 {
			from = tr.rng.IntN(from + 1)
		}
		tr.page(ctx, tr.front(), job, from)
		if len(tr.known[job]) == itemsPerJob {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (tr *trainer) reread(front, job string) {
	for range 40 {
		if count := tr.page(context.Background(), front, job, 0); count >= 0 {
			if count < len(tr.known[job]) {
				tr.world.broken("%s lists %d of %d results of %s that were read", front, count, len(tr.known[job]), job)
			}
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	tr.world.broken("job %s can't be read at %s after all faults", job, front)
}

// page reads once and checks each result. It returns the number of results, or
// -1 without an answer.
func (tr *trainer) page(ctx context.Context, front, job string, from int) int {
	res, err := tr.ask(ctx, http.MethodGet, front, fmt.Sprintf("/bilberryshelf/lots/%s?after=%d", job, from), "read", nil)
	if err != nil {
		return -1
	}
	defer res.Body.Close() // a failed close of a read body loses nothing
	if res.StatusCode == http.StatusNotFound {
		tr.world.broken("%s knows no job %s", front, job)
	}
	if res.StatusCode != http.StatusOK {
		return -1
	}
	li, err := decode(res)
	if err != nil {
		return -1
	}
	for at, re := range li.Results {
		known := tr.known[job]
		switch {
		case re.State != "completed" || re.Text != strings.Join(stand.Text(re.ID), "\n"):
			tr.world.broken("result %s of %s is %s with another text", re.ID, job, re.State)
		case from+at < len(known) && known[from+at] != re.ID:
			tr.world.broken("position %d of %s holds %s, and held %s", from+at, job, re.ID, known[from+at])
		case from+at == len(known):
			for _, id := range known {
				if id == re.ID {
					tr.world.broken("item %s of %s stands twice", re.ID, job)
				}
			}
			tr.known[job] = append(known, re.ID)
		}
		for _, ve := range re.Versions {
			if ve+1 < tr.version && from+at >= len(known) {
				tr.world.broken("result %s was made by version %d, below %d", re.ID, ve, tr.version-1)
			}
		}
	}
	return len(li.Results)
}

func (tr *trainer) end(ctx context.Context, job string) {
	for ctx.Err() == nil {
		res, err := tr.ask(ctx, http.MethodDelete, tr.front(), "/bilberryshelf/lots/"+job, "end", nil)
		if err == nil {
			_ = res.Body.Close() // nothing in it is wanted
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
