package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// adopted has seven trainers with two open steps each, of the size that the users plan for, when
// all of seven machines but one are lost for good. The processes have the memory of the machines of
// harmattan-grit.
func adopted(cl *cluster, trouble bool) (int, error) {
	const (
		trainers = 7
		steps    = 2
		count    = 2048
		size     = 5500
		limit    = 164
		fronts   = 7
		deadline = 80 * time.Second
		stable   = 4 * time.Second
	)
	var routes []string
	for at := range trainers {
		routes = append(routes, fmt.Sprintf(`{"name":"r-train%d","host":"ficu95.example","path_prefix":"/pule%d/","kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"deadline_ms":%d,"item_ttl_s":100,"priority":1,"service":"blend-lm","max_attempts":3}`,
			at, at, deadline.Milliseconds()))
	}
	cl.store.put("op", "config", `{"version":3,"routes":[`+strings.Join(routes, ",")+`],"services":[{"name":"blend-lm","health_path":"/health","max_conns":150,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":78763,"models":[{"name":"daka510000"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	if err := cl.addEngines("blend-lm", 8); err != nil {
		return failed, err
	}
	for _, wo := range cl.workers {
		wo.note, wo.pause, wo.events = nil, 20*time.Millisecond, func(string) int { return 10 }
	}
	var (
		stop      atomic.Bool
		platform  sync.WaitGroup
		kills     [fronts]atomic.Int64
		peaks     [fronts]atomic.Int64
		survivors = cl.entries
	)
	for at := range fronts {
		pr, err := cl.addEntry(fmt.Sprintf("front-%d", at), 0.8, limit, cl.storeAddr)
		if err != nil {
			return failed, err
		}
		if at == 0 || !trouble {
			survivors = append(survivors, pr)
			platform.Go(func() { cl.enforce(pr, limit, &stop, &kills[at], &peaks[at]) })
		}
	}
	defer platform.Wait()
	defer stop.Store(true)
	if err := cl.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	var open []*step
	for at := range trainers * steps {
		from := append(append([]*process{}, cl.entries[at%fronts:]...), cl.entries[:at%fronts]...)
		st := cl.newStep(fmt.Sprintf("7c41e09b52d6a3%02x", at), count, count*9/40, from)
		st.prefix, st.giveUp = fmt.Sprintf("/pule%d/", at%trainers), deadline
		for it := range st.items {
			st.items[it].Path, st.items[it].Body = st.prefix+"3/91c4", []byte(strings.Repeat("prompt ", size/7))
		}
		if err := st.submit(at / trainers); err != nil {
			return failed, err
		}
		st.from = survivors
		open = append(open, st)
	}
	if trouble {
		for _, pr := range cl.entries[1:] {
			pr.kill()
		}
		cl.note("all machines but front-0 are lost for good")
	}
	steady := time.Now().Add(stable)
	var (
		readers sync.WaitGroup
		lost    atomic.Int64
	)
	for _, st := range open {
		readers.Go(func() {
			if !st.await() && st.starved(steady) {
				lost.Add(1)
			}
		})
	}
	readers.Wait()
	for at, pr := range cl.entries {
		cl.note("%s: killed %d times for its memory, %d MiB at most", pr.name, kills[at].Load(), peaks[at].Load())
	}
	cl.note("%d of %d steps ran out of time while items were at no worker for 5 s and the workers were idle", lost.Load(), len(open))
	if lost.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
