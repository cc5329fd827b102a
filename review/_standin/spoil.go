package main

import (
	"fmt"
	"time"
)

// caseSpoil has half of the workers spoil 2 in 100 of their answers.
func caseSpoil(cl *cluster, trouble bool) (string, bool) {
	const deadline = 30 * time.Second
	cl.configure("idempotent", deadline, 100*time.Second, 12)
	spoil := "0"
	if trouble {
		spoil = "50"
	}
	for at, extra := range []string{"0", spoil} {
		wo := cl.worker(engines, model, 12, "-events", "10", "-pause", "30ms", "-spoil-each", extra)
		cl.guard(fmt.Sprintf("side-lagos-ik-%d", at+1), "lagos-ik", wo)
	}
	cl.worker(desk, "", 6, "-work", "20ms")
	cl.entry("front-lagos-ik-1", "lagos-ik", 164, 0.8)
	cl.entry("front-lagos-ap-1", "lagos-ap", 164, 0.8)
	cl.waitReady()

	job, jo := randomID(), newJob(216, 600, 2)
	if !cl.submit(job, jo, 500*time.Millisecond) {
		panic(errCannotRun{fmt.Errorf("the job was not accepted")})
	}
	re := cl.reader(job)
	re.readUntil(cl.entries, time.Now().Add(deadline))
	// At the end of the day the job is read from the start, again after each failure.
	last := cl.reader(job)
	last.readUntil(cl.entries, time.Now().Add(10*time.Second))
	return fmt.Sprintf("%d of %d items can be read at the end of the day, last status %d", len(last.order), len(jo.Requests), last.failed),
		len(last.order) < len(jo.Requests) && last.failed != 0
}
