package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// caseMixed has the store lose the answer of one write of a submission and do it late, when
// the job is handed in again at another entry.
func caseMixed(cl *cluster, trouble bool) (string, bool) {
	const (
		jobs     = 8
		deadline = 60 * time.Second
	)
	cl.configure("idempotent", deadline, 110*time.Second, 12)
	for at := range 2 {
		wo := cl.worker(engines, model, 12, "-events", "100", "-pause", "200ms")
		cl.guard(fmt.Sprintf("side-lagos-ik-%d", at+1), "lagos-ik", wo)
	}
	cl.worker(desk, "", 6, "-work", "20ms")
	cl.entry("front-lagos-ik-1", "lagos-ik", 164, 0.8)
	cl.entry("front-lagos-ap-1", "lagos-ap", 164, 0.8)
	cl.waitReady()

	var (
		mutex sync.Mutex
		late  = map[string]txBody{} // by job: the write that is done late
		sent  = map[string]time.Time{}
		wrote = map[string]int{}
	)
	if trouble {
		cl.store.beforeTx = func(tx txBody) bool {
			job := bodyOf(tx)
			if job == "" {
				return false
			}
			mutex.Lock()
			defer mutex.Unlock()
			wrote[job]++
			switch {
			case wrote[job] == 1:
				late[job], sent[job] = tx, time.Now()
				cl.note("store gives no answer to the first write of job %s", job)
				return true
			case wrote[job] == 3 && time.Since(sent[job]) >= time.Second:
				_, err := cl.store.apply(late[job])
				cl.note("store does the first write of job %s %v late: %v", job, time.Since(sent[job]).Round(time.Millisecond), err)
			}
			return false
		}
	}
	var ids []string
	var all []jobJSON
	for range jobs {
		job, jo := randomID(), newJob(2048, 24, 24)
		if !cl.submit(job, jo, 1200*time.Millisecond) {
			panic(errCannotRun{fmt.Errorf("the job was not accepted")})
		}
		ids, all = append(ids, job), append(all, jo)
	}
	time.Sleep(4 * time.Second)
	missing := 0
	for at, job := range ids {
		re := cl.reader(job)
		for re.poll(cl.entries[0], 0) && len(re.order) < re.total {
			before := len(re.order)
			if re.poll(cl.entries[0], 0); len(re.order) == before {
				break
			}
		}
		for number := len(all[at].Requests) - 1; number >= 0; number-- {
			it := all[at].Requests[number]
			if _, found := re.listed[it.ID]; found {
				continue
			}
			if status, same := cl.itemBody(cl.entries, job, it, 4*time.Second); !same {
				missing++
				cl.note("LOST: the body of item %s of job %s, which is not listed, does not come: %d", it.ID, job, status)
			}
			break
		}
	}
	return fmt.Sprintf("%d of %d jobs do not give the body of an item that is not listed", missing, jobs), missing > 0
}

// bodyOf returns the job whose body a transaction writes, and nothing for any other.
func bodyOf(tx txBody) string {
	for _, pu := range tx.Puts {
		if job, _, found := strings.Cut(pu.Key, "/body"); found {
			return job
		}
	}
	return ""
}
