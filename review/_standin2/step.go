package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// step is a step of a trainer, with what the trainer has read of it.
type step struct {
	cl       *cluster
	job      string
	items    []item
	required int
	// from are the entries that the trainer uses.
	from []*process
	// prefix is the path of the route, giveUp when the trainer gives the step up, counted from
	// its submission.
	prefix    string
	giveUp    time.Duration
	submitted time.Time
	read      int
	listed    map[string]string
}

// usualGiveUp is when a trainer gives a step up, by the sheets.
const usualGiveUp = 12 * time.Second

func (cl *cluster) newStep(job string, count, required int, from []*process) *step {
	return &step{cl: cl, job: job, items: newItems(job, count, 3), required: required, from: from, prefix: "/pule252/", giveUp: usualGiveUp, listed: map[string]string{}}
}

// submit sends the step to an entry, and again to others after a failure.
func (st *step) submit(number int) error {
	st.submitted = time.Now()
	for try := range 4 {
		pr := st.from[try%len(st.from)]
		an := call(http.MethodPost, pr.addr, host, st.prefix+"7c41e0", st.job, jobBody(number, 1, st.required, st.items), 3*time.Second, nil)
		st.cl.note("trainer: step %s of %d items, sent to %s: %v", st.job, len(st.items), pr.name, an)
		if an.err == nil && an.status == http.StatusAccepted {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("step %s was not accepted", st.job)
}

// complete returns the number of groups all of whose items are listed.
func (st *step) complete() int {
	groups := map[string]int{}
	for _, it := range st.items {
		if st.listed[it.ID] != "" {
			groups[it.Group]++
		}
	}
	done := 0
	for _, count := range groups {
		if count == 4 {
			done++
		}
	}
	return done
}

// await reads the results until enough groups are complete or the trainer gives up. It reports
// whether enough are complete.
func (st *step) await() bool {
	for try := 0; time.Since(st.submitted) < st.giveUp && st.complete() < st.required; try++ {
		an := call(http.MethodGet, st.from[try%len(st.from)].addr, host, fmt.Sprintf("/bilberryshelf/lots/%s?after=%d", st.job, st.read), "", nil,
			2500*time.Millisecond, map[string]string{"Bilberryshelf-Wait-Ms": "500"})
		var page struct {
			Total, Next int
			Results     []struct{ ID, State string }
		}
		if an.err != nil || an.status != http.StatusOK || json.Unmarshal(an.body, &page) != nil {
			if len(st.items) < 1000 {
				st.cl.note("trainer: read from %d on: %v", st.read, an)
			}
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, re := range page.Results {
			st.listed[re.ID] = re.State
		}
		if st.read != page.Next && len(st.items) < 1000 {
			st.cl.note("trainer: read %d results, %d of %d groups are complete", page.Next, st.complete(), st.required)
		}
		st.read = page.Next
	}
	st.cl.note("trainer: step %s: %d of %d groups complete after %v, %d of %d items listed", st.job, st.complete(), st.required,
		time.Since(st.submitted).Round(time.Millisecond), len(st.listed), len(st.items))
	return st.complete() >= st.required
}

// starved reports whether items that no worker has finished were at no worker for 5 s of steady
// state, which begins at the given time, while others of the step had begun.
func (st *step) starved(steady time.Time) bool {
	idle, begun := 0, 0
	for _, it := range st.items {
		var last time.Time
		runs, finished := 0, false
		for _, wo := range st.cl.workers {
			count, at := wo.worked(it.ID)
			runs, finished = runs+count, finished || wo.hasFinished(it.ID)
			if at.After(last) {
				last = at
			}
		}
		if runs > 0 {
			begun++
		}
		if steady.After(last) {
			last = steady
		}
		if !finished && time.Since(last) >= 5*time.Second {
			idle++
		}
	}
	st.cl.note("%d of %d items had begun; %d items that no worker finished were at no worker for 5 s of steady state", begun, len(st.items), idle)
	running, slots := 0, 0
	for _, wo := range st.cl.workers {
		running, slots = running+wo.load(), slots+wo.slots
	}
	st.cl.note("the workers run %d of %d", running, slots)
	return idle > 0 && begun > 0 && running < slots/2
}
