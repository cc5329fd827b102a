package main

import (
	"fmt"
	"time"
)

// caseSmall loses one machine for good: the only one of three that is not small.
func caseSmall(cl *cluster, trouble bool) (string, bool) {
	const deadline = 40 * time.Second
	cl.configure("idempotent", deadline, 100*time.Second, 8)
	for at := range 3 {
		wo := cl.worker(engines, model, 8, "-events", "20", "-pause", "50ms")
		cl.guard(fmt.Sprintf("side-lagos-ik-%d", at+1), "lagos-ik", wo)
	}
	cl.worker(desk, "", 6, "-work", "20ms")
	big := cl.entry("front-lagos-ik-1", "lagos-ik", 536, 0.8)
	cl.entry("front-lagos-ap-1", "lagos-ap", 112, 0.144)
	cl.entry("front-lagos-ap-2", "lagos-ap", 112, 0.144)
	cl.waitReady()

	job, jo := randomID(), newJob(216, 600, 2)
	if !cl.submit(job, jo, 500*time.Millisecond) {
		panic(errCannotRun{fmt.Errorf("the job was not accepted")})
	}
	due, troubleAt := time.Now().Add(deadline), time.Now()
	re := cl.reader(job)
	left := cl.entries[1:]
	re.readUntil(left, time.Now().Add(3*time.Second))
	if trouble {
		cl.kill(big.process)
		troubleAt = time.Now()
	}
	re.readUntil(left, due)
	return cl.judgeStep(left, job, jo, re, troubleAt, time.Now())
}
