package main

import (
	"fmt"
	"net/http"
	"time"
)

// split plays the crash of the only worker of the smaller service of a split route.
func split(la *lab) {
	route := trainRoute("train", "")
	delete(route, "service")
	route["split"] = []any{map[string]any{"service": "lm-a", "weight": 10}, map[string]any{"service": "lm-b", "weight": 90}}
	la.store.put("op", "config", config(10, []any{route}, []any{engineService("lm-a"), engineService("lm-b")}))
	il := newItemLog()
	var workers []*worker
	for at := range 6 {
		service := "lm-b"
		if at == 0 {
			service = "lm-a"
		}
		wo := &worker{
			la: la, id: fmt.Sprintf("i-%d-%s", at, service), service: service, model: "m0", slots: 12, work: 60 * time.Millisecond,
			texts: func(id string) []string { return lines(id, 30) },
			onRun: func(wo *worker, req *http.Request, _ []byte) {
				il.observe(req)
				la.log("worker %s runs %s", wo.id, req.Header.Get("Bilberryshelf-Request-Id"))
			},
		}
		wo.start()
		go wo.beats()
		la.guard(fmt.Sprintf("side-%d", at), wo.addr, service)
		workers = append(workers, wo)
	}
	nodes := []*proc{la.entry("front-1", 164, la.storeAddr), la.entry("front-2", 164, la.storeAddr), la.entry("front-3", 164, la.storeAddr)}
	la.awaitReady(nodes...)
	time.Sleep(6 * time.Second)

	const job, groups, size = "7c41e09b52d6a3f8", 6, 4
	submitted := time.Now()
	status, _, err := call(nodes[1], "POST", "/train/x", job, jobBody(job, groups, size, 600), 3*time.Second)
	la.log("batch job of %d items: %d %v", groups*size, status, err)
	if status != 202 {
		la.fail("the job was not accepted")
	}
	time.Sleep(time.Second)
	if la.trouble {
		la.log("worker %s is lost for good while it runs %d items", workers[0].id, workers[0].load())
		workers[0].crash(time.Hour)
	}
	calm := time.Now().Add(4 * time.Second)
	for time.Since(submitted) < 15*time.Second {
		time.Sleep(time.Second)
		ids, total, err := listed(nodes[0], job)
		la.log("front-1 lists %d of %d %v, %d items at workers", len(ids), total, err, il.running())
		if err == nil && len(ids) == total {
			la.log("the step is complete after %v", time.Since(submitted))
			return
		}
	}
	stuck, begun := 0, 0
	ids, total, _ := listed(nodes[2], job)
	for g := range groups {
		for i := range size {
			idle, was := il.idle(itemID(job, g, i), calm)
			if was {
				begun++
			}
			if idle >= 5*time.Second {
				stuck++
			}
		}
	}
	la.log("%d of %d listed; %d items had begun, %d have been at no worker for 5 s of steady state; the five workers of lm-b run %d", len(ids), total, begun, stuck, il.running())
	if len(ids) < total && stuck > 0 && begun > 0 {
		la.breaks("LOST: the step ran out of time with %d of %d results; its items have been at no worker for %v", len(ids), total, time.Since(calm).Round(time.Second))
	}
}
