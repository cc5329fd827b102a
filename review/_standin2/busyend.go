package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// delayed returns the address of a proxy that passes all bytes on after a delay, as a link between
// two regions does.
func delayed(target string, delay time.Duration) (string, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			from, err := li.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				_ = from.Close()
				continue
			}
			go pass(from, to, delay)
			go pass(to, from, delay)
		}
	}()
	return li.Addr().String(), nil
}

type packet struct {
	due time.Time
	raw []byte
}

// pass copies from one connection to another and closes both at the end.
func pass(from, to net.Conn, delay time.Duration) {
	packets := make(chan packet, 4096)
	go func() {
		defer close(packets)
		for {
			raw := make([]byte, 64<<10)
			count, err := from.Read(raw)
			if count > 0 {
				packets <- packet{time.Now().Add(delay), raw[:count]}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					_ = to.Close()
				}
				return
			}
		}
	}()
	for pa := range packets {
		time.Sleep(time.Until(pa.due))
		if _, err := to.Write(pa.raw); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// eventCount returns the number of events of an item, 10 to 39.
func eventCount(id string) int {
	ha := fnv.New32a()
	_, _ = ha.Write([]byte(id))
	return 10 + int(ha.Sum32()%30)
}

// busyEnd has a trainer end a large job soon after it was accepted, through entries in another
// region than the store's, as all entries near this trainer are.
func busyEnd(cl *cluster, trouble bool) (int, error) {
	const (
		oneWay  = 30 * time.Millisecond
		count   = 4000
		ack     = 5 * time.Second
		cancel  = 3 * time.Second
		watch   = 3 * time.Second
		attempt = 2500 * time.Millisecond
	)
	var began atomic.Int64
	var mutex sync.Mutex
	var endedAt time.Time
	late := 0
	if err := cl.addEngines("blend-lm", 12); err != nil {
		return failed, err
	}
	for _, wo := range cl.workers {
		wo.pause = 20 * time.Millisecond
		wo.events = eventCount
		wo.note = nil
		wo.onRun = func(id string) {
			began.Add(1)
			mutex.Lock()
			defer mutex.Unlock()
			if !endedAt.IsZero() && time.Since(endedAt) > cancel {
				if late++; late <= 5 {
					cl.note("worker %s runs item %s, %v after the end of its job counts as acknowledged", wo.id, id, time.Since(endedAt).Round(time.Millisecond))
				}
			}
		}
	}
	cl.store.put("op", "config", strings.Replace(trainingConfig(3, "blend-lm"), `"deadline_ms":7500,"item_ttl_s":20`, `"deadline_ms":30000,"item_ttl_s":60`, 1))
	remote, err := delayed(cl.storeAddr, oneWay)
	if err != nil {
		return failed, err
	}
	for at, name := range entryNames {
		storeAddr := remote
		if at == 0 {
			storeAddr = cl.storeAddr
		}
		if _, err := cl.addEntry(name, 0.8, 384, storeAddr); err != nil {
			return failed, err
		}
	}
	if err := cl.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	const job = "7c41e09b52d6a3f8"
	items := newItems(job, count, 3)
	an := call(http.MethodPost, cl.entries[1].addr, host, "/pule252/7c41e0", job, jobBody(0, 1, count/4, items), 6*time.Second, nil)
	cl.note("trainer: job of %d items sent to front-1: %v", count, an)
	if an.err != nil || an.status != http.StatusAccepted {
		return failed, fmt.Errorf("the job was not accepted")
	}
	if !trouble {
		time.Sleep(ack + cancel + watch)
		cl.note("the job is not ended; %d items have begun", began.Load())
		return held, nil
	}
	time.Sleep(1500 * time.Millisecond)
	asked := time.Now()
	acknowledged := false
	for try := 0; time.Since(asked) < ack; try++ {
		pr := cl.entries[1+try%2]
		sent := time.Now()
		an := call(http.MethodDelete, pr.addr, host, "/bilberryshelf/lots/"+job, "", nil, attempt, nil)
		cl.note("trainer: end of the job at %s, after %v: %v", pr.name, time.Since(sent).Round(time.Millisecond), an)
		if acknowledged = an.err == nil && an.status == http.StatusOK; acknowledged {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	mutex.Lock()
	endedAt = time.Now()
	mutex.Unlock()
	cl.note("the end is acknowledged: %v, %v after it was asked for first; %d items have begun", acknowledged, time.Since(asked).Round(time.Millisecond), began.Load())
	time.Sleep(cancel + watch)
	mutex.Lock()
	defer mutex.Unlock()
	cl.note("%d items ran later than %v after that; %d items have begun", late, cancel, began.Load())
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
