package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// lostOwner plays the loss of the front machine that runs a batch job.
func lostOwner(la *lab) {
	allSmall := os.Getenv("FLEET") == "small"
	la.store.put("op", "config", config(10, []any{trainRoute("train", "lm")}, []any{engineService("lm")}))
	il := newItemLog()
	for at := range 4 {
		wo := &worker{
			la: la, id: fmt.Sprintf("i-%d", at), service: "lm", model: "m0", slots: 12, work: 60 * time.Millisecond,
			texts: func(id string) []string { return lines(id, 30) },
			onRun: func(wo *worker, req *http.Request, _ []byte) {
				il.observe(req)
				la.log("worker %s runs %s", wo.id, req.Header.Get("Bilberryshelf-Request-Id"))
			},
		}
		wo.start()
		go wo.beats()
		la.guard(fmt.Sprintf("side-%d", at), wo.addr, "lm")
	}
	big := 0.8
	if allSmall {
		big = 0.144
	}
	nodes := []*proc{la.sizedEntry("front-1", 536, big), la.sizedEntry("front-2", 184, 0.144), la.sizedEntry("front-3", 184, 0.144)}
	la.awaitReady(nodes...)
	time.Sleep(6 * time.Second) // all machines are in touch

	const job, groups, size = "7c41e09b52d6a3f8", 24, 4
	body := jobBody(job, groups, size, 600)
	submitted := time.Now()
	status, _, err := call(nodes[1], "POST", "/train/x", job, body, 3*time.Second)
	la.log("batch job of %d items: %d %v", groups*size, status, err)
	if status != 202 {
		la.fail("the job was not accepted")
	}
	time.Sleep(time.Second)
	owner := la.ownerOf(job, nodes...)
	if owner == nil {
		la.fail("no entry runs the job")
	}
	la.log("%s runs the job", owner.name)
	if la.trouble {
		la.log("%s loses power", owner.name)
		owner.expected = true
		_ = owner.cmd.Process.Signal(syscall.SIGKILL)
		<-owner.done
		if allSmall { // a killed process is started again
			time.Sleep(time.Second)
			_ = os.WriteFile(owner.settings, []byte(owner.text(false)), 0o600)
			la.start(owner)
		}
	}
	calm := time.Now().Add(4 * time.Second)
	for time.Since(submitted) < 12*time.Second+8*time.Second {
		time.Sleep(time.Second)
		ids, total, err := listed(nodes[1], job)
		la.log("front-2 lists %d of %d %v, %d items at workers", len(ids), total, err, il.running())
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
	la.log("%d of %d listed; %d items had begun, %d have been at no worker for 5 s of steady state", len(ids), total, begun, stuck)
	if len(ids) < total && stuck > 0 && begun > 0 {
		la.breaks("LOST: the step ran out of time with %d of %d results; its items have been at no worker for %v", len(ids), total, time.Since(calm).Round(time.Second))
	}
}
