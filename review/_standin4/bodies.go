package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func envInt(name string, other int) int {
	if count, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return count
	}
	return other
}

// limitMemory plays the platform's limit of the memory of a process: one that exceeds it is
// killed, and started again after a short delay. It returns a function that tells how often.
func (la *lab) limitMemory(pr *proc) func() int {
	var mutex sync.Mutex
	ends, peak := 0, 0
	go func() {
		for ; ; time.Sleep(5 * time.Millisecond) {
			mb := residentMB(pr.cmd.Process.Pid)
			if mb > peak+8 {
				peak = mb
				la.log("%s takes %d MiB", pr.name, mb)
			}
			if mb <= pr.memoryMB {
				continue
			}
			la.log("%s takes %d of %d MiB and is killed", pr.name, mb, pr.memoryMB)
			_ = pr.cmd.Process.Signal(syscall.SIGKILL)
			<-pr.done
			mutex.Lock()
			ends++
			mutex.Unlock()
			peak = 0
			time.Sleep(500 * time.Millisecond)
			_ = os.WriteFile(pr.settings, []byte(pr.text(false)), 0o600)
			la.start(pr)
		}
	}()
	return func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return ends
	}
}

// bodies plays clients that request the bodies of the items of one batch job.
func bodies(la *lab) {
	readers, megabytes := envInt("READERS", 12), envInt("MB", 12)
	if !la.trouble {
		readers = 1
	}
	la.store.put("op", "config", config(10, []any{trainRoute("train", "lm")}, []any{engineService("lm")}))
	for at := range 4 {
		wo := &worker{la: la, id: fmt.Sprintf("i-%d", at), service: "lm", model: "m0", slots: 12, work: 60 * time.Millisecond, texts: func(id string) []string { return lines(id, 30) }}
		wo.start()
		go wo.beats()
		la.guard(fmt.Sprintf("side-%d", at), wo.addr, "lm")
	}
	nodes := []*proc{la.entry("front-1", 164, la.storeAddr), la.entry("front-2", 164, la.storeAddr), la.entry("front-3", 164, la.storeAddr)}
	la.awaitReady(nodes...)
	ends := map[string]func() int{}
	for _, pr := range nodes {
		ends[pr.name] = la.limitMemory(pr)
	}
	time.Sleep(5 * time.Second)
	const job, groups, size = "7c41e09b52d6a3f8", 54, 4
	body := jobBody(job, groups, size, megabytes*1000000/groups/size*3/4)
	status, _, err := call(nodes[0], "POST", "/train/x", job, body, 5*time.Second)
	la.log("batch job of %d items and %d bytes: %d %v", groups*size, len(body), status, err)
	if status != 202 {
		la.fail("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	for at := range readers {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				pr := nodes[(at+n)%len(nodes)]
				status, raw, err := call(pr, "GET", fmt.Sprintf("/bilberryshelf/items/%s?id=%s", job, itemID(job, (at*7+n)%groups, n%size)), "", nil, 5*time.Second)
				if status != 200 {
					la.log("body at %s: %d, %d bytes, %v", pr.name, status, len(raw), err)
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	group.Wait()
	failing := 0
	for _, pr := range nodes {
		la.log("%s ended by itself %d times", pr.name, ends[pr.name]())
		if ends[pr.name]() >= 3 {
			failing++
		}
	}
	if failing >= 2 {
		la.breaks("Fault: on %d of %d machines the process exceeded its memory three times or more", failing, len(nodes))
	}
}
