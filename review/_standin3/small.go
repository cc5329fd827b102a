package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	host       = "ficu95.example"
	lotPath    = "/pule252/"
	rewardPath = "/pufi791/"
	model      = "daka510000"
	engines    = "huvo11a"
	plain      = "wuno96b"
)

// config is a configuration like those of the platform's examples.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-lots", "host": host, "path_prefix": lotPath, "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400,
				"deadline_ms": 12000, "item_ttl_s": 40, "priority": 1, "service": engines, "max_attempts": 3,
			},
			{
				"name": "r-reward", "host": host, "path_prefix": rewardPath, "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
				"priority": 2, "service": plain, "max_attempts": 4,
			},
		},
		"services": []map[string]any{
			{
				"name": engines, "health_path": "/health", "max_conns": 200, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 6, "kv_capacity": 48290, "models": []map[string]any{{"name": model}}},
			},
			{"name": plain, "health_path": "/health", "max_conns": 170, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// step returns the body of a batch job and the ids of its items.
func step(job string, groups, size int, body []byte) ([]byte, []string) {
	var (
		requests []map[string]any
		ids      []string
	)
	for gr := range groups {
		for at := range size {
			id := fmt.Sprintf("%s%02d%02d", job[:8], gr, at)
			ids = append(ids, id)
			requests = append(requests, map[string]any{
				"id": id, "path": lotPath + "3/" + id, "body": body, "tokens": 1916, "group": fmt.Sprintf("g%d", gr),
				"headers": map[string]string{
					"Bilberryshelf-Model": model, "Bilberryshelf-Token-Count": "1016,900",
					"Bilberryshelf-Prompt-Prefix": fmt.Sprintf("%x:1000,%x:16", gr+1, 1000+100*gr+at),
				},
				"scorer_url": map[string]any{"id": "r" + id, "host": host, "path": rewardPath + id, "body": []byte("b")},
			})
		}
	}
	raw, err := json.Marshal(map[string]any{
		"step": 1, "model": model, "min_version": 1, "target_groups": groups * 9 / 10, "requests": requests,
	})
	check(err)
	return raw, ids
}

// small kills the entry that runs a step, on a deployment whose entries all have less than half a
// core. The process is started again at once.
func small(wo *world, trouble bool) []string {
	storeAddr := serve(wo.store.handler())
	wo.store.put("op", "config", config(1))
	for at := range 4 {
		wo.addWorker(&worker{
			id: fmt.Sprintf("i-e%d", at), service: engines, model: model, version: 1, slots: 6, events: 14, pace: 60 * time.Millisecond,
		})
	}
	for at := range 2 {
		wo.addWorker(&worker{id: fmt.Sprintf("i-p%d", at), service: plain, slots: 6})
	}
	for at := range 3 {
		wo.addEntry(fmt.Sprintf("front-%d", at+1), storeAddr, "0.48", "154MiB")
	}
	wo.waitReady()
	const job = "7c41e09b52d6a3f8"
	body, ids := step(job, 25, 8, []byte("a prompt"))
	first := wo.entries[0]
	wo.submit(first, job, body)
	accepted := time.Now()
	steadySince := accepted
	time.Sleep(time.Second)
	if trouble {
		wo.log("kill entry=%s", first.name)
		first.kill()
		time.Sleep(100 * time.Millisecond)
		first.start()
		steadySince = time.Now().Add(stable)
	}
	return wo.watch(job, ids, accepted, steadySince)
}

const (
	// stable is stable_ms of the deployment, stepTime its deadline_ms.
	stable   = 5 * time.Second
	stepTime = 12 * time.Second
	// idleTime is how long an item may be at no worker in steady state.
	idleTime = 5 * time.Second
)

// watch reads the results of a step until its deadline and judges the rule LOST: a step runs out
// of time while an item that no worker has finished has been at no worker for idleTime of
// steady state, though others have begun and the workers are under half full.
func (wo *world) watch(job string, ids []string, accepted, steadySince time.Time) []string {
	after := 0
	halfFullAt := steadySince
	for time.Since(accepted) < stepTime {
		en := wo.entries[1+after%2]
		status, li := en.results(job, host, after)
		wo.log("client reads entry=%s after=%d status=%d next=%d of=%d", en.name, after, status, li.Next, li.Total)
		if status == http.StatusOK {
			after = li.Next
		}
		if after == len(ids) {
			wo.log("client has all results after=%.3fs", time.Since(accepted).Seconds())
			return nil
		}
		if wo.halfFull() {
			halfFullAt = time.Now()
		}
		time.Sleep(500 * time.Millisecond)
	}
	since := steadySince
	if halfFullAt.After(since) {
		since = halfFullAt
	}
	lost, begun := 0, 0
	for _, id := range ids {
		left, present, hasBegun := wo.absentSince(id)
		if hasBegun {
			begun++
		}
		if present || wo.finished(id) {
			continue
		}
		if left.Before(since) {
			left = since
		}
		if time.Since(left) >= idleTime {
			lost++
		}
	}
	wo.log("deadline job=%s listed=%d of=%d begun=%d lost=%d", job, after, len(ids), begun, lost)
	if lost == 0 || begun == 0 {
		return nil
	}
	text := fmt.Sprintf("LOST: the step ran out of time, %d of %d items listed; %d items, finished by no worker, were at none for %v of steady state", after, len(ids), lost, idleTime)
	end := time.Now().Add(30 * time.Second)
	for time.Now().Before(end) && after < len(ids) {
		if status, li := wo.entries[1].results(job, host, after); status == http.StatusOK {
			after = li.Next
		}
		time.Sleep(500 * time.Millisecond)
	}
	return []string{fmt.Sprintf("%s; 30 s later %d are listed", text, after)}
}

func (wo *world) halfFull() bool {
	used, slots := 0, 0
	for _, wr := range wo.workers {
		if wr.model != "" {
			used, slots = used+wr.inFlight(), slots+wr.slots
		}
	}
	return 2*used >= slots
}
