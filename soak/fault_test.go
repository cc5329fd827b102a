package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"bilberryshelf/fake"
)

// faultKindCount is the number of kinds of faults.
const faultKindCount = 17

// injector injects faults, in series and overlapping.
type injector struct {
	cluster *cluster
	rng     *rand.Rand
	// faultKinds is how many of the kinds of faults are drawn from.
	faultKinds int
	injected   []string
	wait       sync.WaitGroup
}

func (in *injector) run(span time.Duration) {
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		in.injectRandom()
		time.Sleep(time.Duration(200+in.rng.IntN(1500)) * time.Millisecond)
	}
	in.wait.Wait()
	in.cluster.rows.Set(fake.RowFaults{})
	for _, li := range in.cluster.storeProxies {
		li.setMode(passThrough)
	}
}

// for a while runs the two ends of a fault around a pause.
func (in *injector) injectTemporary(name string, begin, end func()) {
	pause := time.Duration(300+in.rng.IntN(3500)) * time.Millisecond
	in.injected = append(in.injected, fmt.Sprintf("%s %v", name, pause))
	in.wait.Go(func() {
		begin()
		time.Sleep(pause)
		end()
	})
}

// processesWithFault marks processes whose restart is under way.
var processesWithFault sync.Map

func (in *injector) injectProcess(pr *process, name string, do func()) {
	if _, taken := processesWithFault.LoadOrStore(pr, true); taken {
		return
	}
	in.injected = append(in.injected, name+" "+pr.name)
	in.wait.Go(func() {
		defer processesWithFault.Delete(pr)
		do()
	})
}

func (in *injector) injectRandom() {
	wo := in.cluster
	entry, guard := wo.entries[in.rng.IntN(entryCount)], wo.guards[in.rng.IntN(engineCount)]
	link, engine := wo.storeProxies[in.rng.IntN(entryCount)], wo.engines[in.rng.IntN(engineCount)]
	pause := time.Duration(500+in.rng.IntN(4000)) * time.Millisecond
	store := func(fa fake.RowFaults) func() { return func() { wo.rows.Set(fa) } }
	switch in.rng.IntN(in.faultKinds) {
	case 0:
		in.injectProcess(entry, "kill", func() { wo.restart(entry, syscall.SIGKILL) })
	case 1:
		in.injectProcess(entry, "stop", func() { wo.restart(entry, syscall.SIGTERM) })
	case 2:
		in.injectProcess(entry, "pause", func() {
			entry.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			entry.signal(syscall.SIGCONT)
		})
	case 3:
		in.injectProcess(guard, "kill", func() { wo.restart(guard, syscall.SIGKILL) })
	case 4:
		in.injectTemporary("engine dark", func() { engine.SetPaused(true) }, func() { engine.SetPaused(false) })
	case 5:
		in.injectTemporary("link silent", func() { link.setMode(stalled) }, func() { link.setMode(passThrough); link.reset() })
	case 6:
		in.injectTemporary("link one way", func() { link.setMode(oneWay) }, func() { link.setMode(passThrough); link.reset() })
	case 7:
		in.injectTemporary("link slow", func() { link.setMode(slow) }, func() { link.setMode(passThrough) })
	case 8:
		in.injectTemporary("link reset", link.reset, link.reset)
	case 9:
		in.injectTemporary("store refuses", store(fake.RowFaults{Refuse: true}), store(fake.RowFaults{}))
	case 10:
		in.injectTemporary("answers lost", store(fake.RowFaults{LoseAnswers: 3, DelayedWrites: 2, WriteDelay: time.Second}), store(fake.RowFaults{}))
	case 11:
		in.injectTemporary("history dropped", wo.rows.Compact, func() {})
	case 12:
		in.injectProcess(guard, "stop", func() { wo.restart(guard, syscall.SIGTERM) })
	case 13:
		in.injectProcess(guard, "pause", func() {
			guard.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			guard.signal(syscall.SIGCONT)
		})
	case 14:
		in.openSlowClients(wo.callerAddrs[in.rng.IntN(entryCount)])
	case 15:
		desk := wo.plainTargets[in.rng.IntN(plainTargetCount)]
		in.injectTemporary("answers crossed", func() { desk.SetMismatched(true) }, func() { desk.SetMismatched(false) })
	case 16:
		in.injectProcess(entry, "freeze", func() { // longer than its jobs stay its own
			entry.signal(syscall.SIGSTOP)
			time.Sleep(6*time.Second + pause/2)
			entry.signal(syscall.SIGCONT)
		})
	}
}

// openSlowClients opens connections that stop in the middle of a request.
func (in *injector) openSlowClients(front string) {
	const count = 30
	var conns []net.Conn
	in.injectTemporary("slow senders", func() {
		for at := range count {
			conn, err := net.Dial("tcp", front)
			if err != nil {
				return // the entry is down at the moment
			}
			conns = append(conns, conn)
			text := fmt.Sprintf("POST /look/x HTTP/1.1\r\nHost: h\r\nBilberryshelf-Request-Id: s%d\r\nContent-Length: 100\r\n\r\nbody", at)
			_, _ = conn.Write([]byte(text)[:len(text)-at]) // the entry may go down at any moment
		}
	}, func() {
		for _, conn := range conns {
			_ = conn.Close() // nothing is wanted from it
		}
	})
}
