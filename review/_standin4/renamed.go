package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// renamed plays a route of batch jobs that gets another path while a step is open, and a planned
// stop of the machine that runs the step.
func renamed(la *lab) {
	route := trainRoute("train", "lm")
	route["deadline_ms"], route["item_ttl_s"] = 20000, 60
	la.store.put("op", "config", config(10, []any{route}, []any{engineService("lm")}))
	il := newItemLog()
	for at := range 4 {
		wo := &worker{
			la: la, id: fmt.Sprintf("i-%d", at), service: "lm", models: map[string]int{"m0": 1}, slots: 12, work: 60 * time.Millisecond,
			texts: func(id string) []string { return lines(id, 30) },
			onRun: func(_ *worker, req *http.Request, _ []byte) { il.observe(req) },
		}
		wo.start()
		go wo.beats()
		la.guard(fmt.Sprintf("side-%d", at), wo.addr, "lm")
	}
	nodes := []*proc{la.entry("front-1", 164, la.storeAddr), la.entry("front-2", 164, la.storeAddr), la.entry("front-3", 164, la.storeAddr)}
	la.awaitReady(nodes...)
	time.Sleep(6 * time.Second)

	const job, groups, size = "7c41e09b52d6a3f8", 60, 4
	submitted := time.Now()
	status, _, err := call(nodes[0], "POST", "/train/x", job, jobBody(job, "m0", 1, groups, size, 600), 3*time.Second)
	la.log("batch job of %d items: %d %v", groups*size, status, err)
	if status != 202 {
		la.fail("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if la.trouble {
		route["path_prefix"] = "/train-2/"
		la.store.put("op", "config", config(13, []any{route}, []any{engineService("lm")}))
		la.log("configuration 13: the route train has the prefix /train-2/ in place of /train/")
	}
	time.Sleep(500 * time.Millisecond)
	owner := la.ownerOf(job, nodes...)
	if owner == nil {
		la.fail("no entry runs the job")
	}
	var others []*proc
	for _, pr := range nodes {
		if pr != owner {
			others = append(others, pr)
		}
	}
	la.log("%s runs the job and gets SIGTERM", owner.name)
	_ = owner.cmd.Process.Signal(syscall.SIGTERM)
	for time.Since(submitted) < 24*time.Second {
		time.Sleep(time.Second)
		ids, total, err := listed(others[0], job)
		la.log("%s lists %d of %d %v, %d items at workers", others[0].name, len(ids), total, err, il.running())
		if err == nil && len(ids) == total {
			la.log("the step is complete after %v", time.Since(submitted).Round(time.Millisecond))
			return
		}
	}
	isListed := map[string]bool{}
	ids, total, _ := listed(others[1], job)
	for _, id := range ids {
		isListed[id] = true
	}
	stuck := 0
	calm := submitted.Add(time.Second + 8*time.Second + 4*time.Second) // the stop and stable_ms
	for group := range groups {
		for at := range size {
			id := itemID(job, group, at)
			if idle, _ := il.idle(id, calm); !isListed[id] && idle >= 5*time.Second {
				stuck++
			}
		}
	}
	la.log("%d of %d listed, %d items have been at no worker for 5 s of steady state, %d are at workers", len(ids), total, stuck, il.running())
	if stuck > 0 && il.running() == 0 {
		la.breaks("LOST: the step ran out of time with %d of %d results; %d items have been at no worker for %v", len(ids), total, stuck, time.Since(calm).Round(time.Second))
	}
}
