package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// resident returns the resident memory of a process in MiB.
func (pr *process) resident() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		var kib float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kib); err == nil {
			return kib / 1024
		}
	}
	return 0
}

// enforce does what the platform does: it kills a process that exceeds its memory and starts it
// again a second later. It counts the kills.
func (cl *cluster) enforce(pr *process, limit float64, stop *atomic.Bool, kills, peak *atomic.Int64) {
	for !stop.Load() {
		now := pr.resident()
		if int64(now) > peak.Load() {
			peak.Store(int64(now))
		}
		if now > limit {
			pr.kill()
			cl.note("platform: %s has %.0f of %.0f MiB and is killed, for the %d. time", pr.name, now, limit, kills.Add(1))
			time.Sleep(time.Second)
			if stop.Load() {
				return
			}
			if err := cl.start(pr); err != nil {
				cl.note("%s does not start: %v", pr.name, err)
				return
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// bodies has six clients request the bodies of items of a job, four times as many in a burst. The
// processes have the memory of the machines of harmattan-grit.
func bodies(cl *cluster, trouble bool) (int, error) {
	const (
		count  = 2048
		size   = 3000
		limit  = 164
		length = 30 * time.Second
		burst  = 4
	)
	clients := 6
	if trouble {
		clients *= burst
	}
	cl.store.put("op", "config", strings.Replace(trainingConfig(3, "blend-lm"), `"deadline_ms":7500,"item_ttl_s":20`, `"deadline_ms":60000,"item_ttl_s":100`, 1))
	if err := cl.addEngines("blend-lm", 2); err != nil {
		return failed, err
	}
	for _, wo := range cl.workers {
		wo.note, wo.pause = nil, 40*time.Millisecond
	}
	var stop atomic.Bool
	var group sync.WaitGroup
	kills, peaks := make([]atomic.Int64, 3), make([]atomic.Int64, 3)
	for at, name := range entryNames {
		pr, err := cl.addEntry(name, 0.8, limit, cl.storeAddr)
		if err != nil {
			return failed, err
		}
		group.Go(func() { cl.enforce(pr, limit, &stop, &kills[at], &peaks[at]) })
	}
	defer group.Wait()
	defer stop.Store(true)
	if err := cl.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	const job = "7c41e09b52d6a3f8"
	items := newItems(job, count, 3)
	for it := range items {
		items[it].Body = []byte(strings.Repeat("prompt ", size/7))
	}
	body := jobBody(0, 1, count/4, items)
	an := call(http.MethodPost, cl.entries[0].addr, host, "/pule252/7c41e0", job, body, 6*time.Second, nil)
	cl.note("trainer: job of %d items, %d bytes: %v", count, len(body), an)
	if an.err != nil || an.status != http.StatusAccepted {
		return failed, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	var given, other, cut atomic.Int64
	ends := time.Now().Add(length)
	var readers sync.WaitGroup
	for range clients {
		readers.Go(func() {
			for time.Now().Before(ends) {
				it := items[count/2+rand.IntN(count/2)]
				pr := cl.entries[rand.IntN(3)]
				an := call(http.MethodGet, pr.addr, host, "/bilberryshelf/items/"+job+"?id="+it.ID, "", nil, 5*time.Second, nil)
				switch {
				case an.err != nil:
					cut.Add(1)
					time.Sleep(100 * time.Millisecond)
				case an.status == http.StatusOK && bytes.Equal(an.body, it.Body):
					given.Add(1)
				default:
					other.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	readers.Wait()
	ended := 0
	for at, pr := range cl.entries {
		cl.note("%s: killed %d times for its memory, %d MiB at most", pr.name, kills[at].Load(), peaks[at].Load())
		if kills[at].Load() >= 3 {
			ended++
		}
	}
	cl.note("%d clients: %d bodies given, %d refused, %d without an answer", clients, given.Load(), other.Load(), cut.Load())
	if ended >= 2 {
		return broken, nil
	}
	return held, nil
}
