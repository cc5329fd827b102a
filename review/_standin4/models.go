package main

import (
	"fmt"
	"net/http"
	"time"
)

// models plays the loss of the worker to which a model is assigned. The service has as many
// workers as models, and each worker can serve all of them.
func models(la *lab) {
	la.store.put("op", "config", config(10, []any{trainRoute("train", "lm")}, []any{engineService("lm", "m1", "m2", "m3", "m4", "m5")}))
	il := newItemLog()
	var workers []*worker
	for at := range 6 {
		wo := &worker{
			la: la, id: fmt.Sprintf("i-%d", at), service: "lm", models: map[string]int{"m0": 1, "m1": 1, "m2": 1, "m3": 1, "m4": 1, "m5": 1}, slots: 12, work: 60 * time.Millisecond,
			texts: func(id string) []string { return lines(id, 30) },
			onRun: func(wo *worker, req *http.Request, _ []byte) {
				il.observe(req)
				la.log("worker %s runs %s", wo.id, req.Header.Get("Bilberryshelf-Request-Id"))
			},
		}
		wo.start()
		go wo.beats()
		la.guard(fmt.Sprintf("side-%d", at), wo.addr, "lm")
		workers = append(workers, wo)
	}
	nodes := []*proc{la.entry("front-1", 164, la.storeAddr), la.entry("front-2", 164, la.storeAddr), la.entry("front-3", 164, la.storeAddr)}
	la.awaitReady(nodes...)
	time.Sleep(4 * time.Second)
	const model = "m1"
	la.store.put("op", "version/"+model, map[string]any{"model": model, "version": 2})
	la.log("version 2 of %s is named", model)
	time.Sleep(8 * time.Second)

	const job, groups, size = "7c41e09b52d6a3f8", 9, 4
	submitted := time.Now()
	status, _, err := call(nodes[0], "POST", "/train/x", job, jobBody(job, model, 2, groups, size, 600), 3*time.Second)
	la.log("batch job of %d items for %s: %d %v", groups*size, model, status, err)
	if status != 202 {
		la.fail("the job was not accepted")
	}
	time.Sleep(time.Second)
	var lost *worker
	for _, wo := range workers {
		la.log("worker %s runs %d items, versions %s", wo.id, wo.load(), wo.versions())
		if wo.load() > 0 && (lost == nil || wo.load() > lost.load()) {
			lost = wo
		}
	}
	if la.trouble && lost != nil {
		la.log("worker %s is lost for good", lost.id)
		lost.crash(time.Hour)
	}
	calm := time.Now().Add(4 * time.Second)
	for time.Since(submitted) < 14*time.Second {
		time.Sleep(time.Second)
		ids, total, err := listed(nodes[1], job)
		la.log("front-2 lists %d of %d %v, %d items at workers", len(ids), total, err, il.running())
		if err == nil && len(ids) == total {
			la.log("the step is complete after %v", time.Since(submitted).Round(time.Millisecond))
			return
		}
	}
	isListed := map[string]bool{}
	ids, total, _ := listed(nodes[2], job)
	for _, id := range ids {
		isListed[id] = true
	}
	stuck := 0
	for group := range groups {
		for at := range size {
			id := itemID(job, group, at)
			if idle, _ := il.idle(id, calm); !isListed[id] && idle >= 5*time.Second {
				stuck++
			}
		}
	}
	la.log("%d of %d listed, %d items have been at no worker for 5 s of steady state, %d are at workers", len(ids), total, stuck, il.running())
	if stuck > 0 && il.running() == 0 && il.started() > 0 {
		la.breaks("LOST: the step ran out of time with %d of %d results; %d items have been at no worker for %v", len(ids), total, stuck, time.Since(calm).Round(time.Second))
	}
}
