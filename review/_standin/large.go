package main

import (
	"fmt"
	"time"
)

// steadyAfter is stable_ms: how long after a disruption the rules with time bounds hold again.
const steadyAfter = 4 * time.Second

// idleSpan is how long an item may be at no worker.
const idleSpan = 5 * time.Second

// judgeStep checks the rules LOST of a step that ran out of time: items that no worker has
// finished and that none has run for idleSpan of steady state, while the workers were under
// half full, and unlisted items whose body does not come at the end of the day.
func (cl *cluster) judgeStep(entries []*entrySpec, job string, jo jobJSON, re *reader, troubleAt, end time.Time) (string, bool) {
	lastRun, recent, slots := map[string]time.Time{}, 0, 0
	for _, ru := range cl.runs() {
		lastRun[ru.id] = ru.at
		if end.Sub(ru.at) < idleSpan {
			recent++
		}
	}
	for _, wo := range cl.workers {
		if wo.model != "" {
			slots += wo.slots
		}
	}
	idle, unlisted, finished := 0, 0, cl.ended()
	var asked []itemJSON
	for _, it := range jo.Requests {
		if _, found := re.listed[it.ID]; found {
			continue
		}
		unlisted++
		since := lastRun[it.ID]
		if since.Before(troubleAt.Add(steadyAfter)) {
			since = troubleAt.Add(steadyAfter)
		}
		if !finished[it.ID] && end.Sub(since) > idleSpan && 2*recent < slots {
			idle++
		}
		if len(asked) < 3 {
			asked = append(asked, it)
		}
	}
	missing := 0
	for _, it := range asked {
		if status, same := cl.itemBody(entries, job, it, 4*time.Second); !same {
			missing++
			cl.note("LOST: the body of item %s, which is not listed, does not come: %d", it.ID, status)
		}
	}
	return fmt.Sprintf("%d of %d items listed at the end; of the others %d are not finished and at no worker for %v; %d of %d bodies do not come; %d runs began in the last %v",
		len(re.listed), len(jo.Requests), idle, idleSpan, missing, len(asked), recent, idleSpan), idle > 0 || missing > 0
}

// caseLarge kills the entry that runs a step of 2,048 samples.
func caseLarge(cl *cluster, trouble bool) (string, bool) {
	const deadline = 60 * time.Second
	cl.configure("idempotent", deadline, 110*time.Second, 12)
	for at := range 4 {
		wo := cl.worker(engines, model, 12, "-events", "8", "-pause", "50ms")
		cl.guard(fmt.Sprintf("side-lagos-ik-%d", at+1), "lagos-ik", wo)
	}
	for range 2 {
		cl.worker(desk, "", 6, "-work", "10ms")
	}
	cl.entry("front-lagos-ik-1", "lagos-ik", 164, 0.8)
	cl.entry("front-lagos-ap-1", "lagos-ap", 164, 0.8)
	cl.waitReady()

	job, jo := randomID(), newJob(2048, 1500, 2)
	if !cl.submit(job, jo, 500*time.Millisecond) {
		panic(errCannotRun{fmt.Errorf("the job was not accepted")})
	}
	due := time.Now().Add(deadline)
	troubleAt := time.Now()
	re := cl.reader(job)
	re.readUntil(cl.entries, time.Now().Add(5*time.Second))
	if trouble {
		owner := cl.ownerOf(job)
		cl.kill(owner.process)
		time.Sleep(time.Second)
		cl.start(owner.process)
		troubleAt = time.Now()
	}
	re.readUntil(cl.entries, due)
	return cl.judgeStep(cl.entries, job, jo, re, troubleAt, time.Now())
}

// ownerOf returns the entry that runs a job, by its log.
func (cl *cluster) ownerOf(job string) *entrySpec {
	var owner *entrySpec
	waitFor(5*time.Second, func() bool {
		for _, en := range cl.entries {
			if logContains(en.process, "job started", job) {
				owner = en
			}
		}
		return owner != nil
	})
	if owner == nil {
		panic(errCannotRun{fmt.Errorf("no entry runs the job")})
	}
	return owner
}
