package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"bilberryshelf/fake"
	"bilberryshelf/platform/stub"
)

// faultKindCount is the number of kinds of faults.
const faultKindCount = 25

// injector injects random faults, which may overlap.
type injector struct {
	cluster *cluster
	rng     *rand.Rand
	// faultKinds is the number of kinds to draw from: the first ones of injectRandom.
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
	for _, pr := range in.cluster.storeProxies {
		pr.setMode(passThrough)
	}
}

// injectTemporary starts a fault and ends it after a random time, in a goroutine.
func (in *injector) injectTemporary(name string, begin, end func()) {
	in.injectFor(name, time.Duration(300+in.rng.IntN(3500))*time.Millisecond, begin, end)
}

func (in *injector) injectFor(name string, period time.Duration, begin, end func()) {
	in.injected = append(in.injected, fmt.Sprintf("%s %v", name, period))
	in.wait.Go(func() {
		begin()
		time.Sleep(period)
		end()
	})
}

// processesWithFault holds the processes that are being restarted or paused, so that
// each has at most one such fault at a time.
var processesWithFault sync.Map

// injectProcess runs a fault of a process in a goroutine, unless the process already
// has one.
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
	cl := in.cluster
	entry, guard := cl.entries[in.rng.IntN(entryCount)], cl.guards[in.rng.IntN(engineCount)]
	link, engine := cl.storeProxies[in.rng.IntN(entryCount)], cl.engines[in.rng.IntN(engineCount)]
	pause := time.Duration(500+in.rng.IntN(4000)) * time.Millisecond
	store := func(fa fake.RowFaults) func() { return func() { cl.rows.Set(fa) } }
	switch in.rng.IntN(in.faultKinds) {
	case 0:
		in.injectProcess(entry, "kill", func() { cl.restart(entry, syscall.SIGKILL) })
	case 1:
		in.injectProcess(entry, "stop", func() { cl.restart(entry, syscall.SIGTERM) })
	case 2:
		in.injectProcess(entry, "pause", func() {
			entry.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			entry.signal(syscall.SIGCONT)
		})
	case 3:
		in.injectProcess(guard, "kill", func() { cl.restart(guard, syscall.SIGKILL) })
	case 4:
		in.injectTemporary("engine unresponsive", func() { engine.SetPaused(true) }, func() { engine.SetPaused(false) })
	case 5:
		in.injectTemporary("store link stalled", func() { link.setMode(stalled) }, func() { link.setMode(passThrough); link.reset() })
	case 6:
		in.injectTemporary("store link one way", func() { link.setMode(oneWay) }, func() { link.setMode(passThrough); link.reset() })
	case 7:
		in.injectTemporary("store link slow", func() { link.setMode(slow) }, func() { link.setMode(passThrough) })
	case 8:
		in.injectTemporary("store link reset", link.reset, link.reset)
	case 9:
		in.injectTemporary("store refuses calls", store(fake.RowFaults{Refuse: true}), store(fake.RowFaults{}))
	case 10:
		in.injectTemporary("store responses lost", store(fake.RowFaults{LoseAnswers: 3, DelayedWrites: 2, WriteDelay: time.Second}), store(fake.RowFaults{}))
	case 11:
		in.injectTemporary("store history compacted", cl.rows.Compact, func() {})
	case 12:
		in.injectProcess(guard, "stop", func() { cl.restart(guard, syscall.SIGTERM) })
	case 13:
		in.injectProcess(guard, "pause", func() {
			guard.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			guard.signal(syscall.SIGCONT)
		})
	case 14:
		in.openSlowClients(cl.callerAddrs[in.rng.IntN(entryCount)])
	case 15:
		target := cl.plainTargets[in.rng.IntN(plainTargetCount)]
		in.injectTemporary("responses swapped", func() { target.SetMismatched(true) }, func() { target.SetMismatched(false) })
	case 16:
		in.injectProcess(entry, "freeze", func() { // long enough for other entries to adopt its jobs
			entry.signal(syscall.SIGSTOP)
			time.Sleep(6*time.Second + pause/2)
			entry.signal(syscall.SIGCONT)
		})
	case 17:
		target := in.randomTarget()
		in.injectTemporary("target leaves", func() { target.SetLeaving(true) }, func() { target.SetLeaving(false) })
	case 18:
		target := in.randomTarget()
		in.injectTemporary("responses without end", func() { target.SetEndless(true) }, func() { target.SetEndless(false) })
	case 19:
		in.limitTargets([]*stub.Target{in.randomTarget()}, 5*time.Second+2*pause)
	case 20:
		in.limitTargets(cl.plainTargets, 8*time.Second+pause)
	case 21:
		version := softwareVersions[in.rng.IntN(2)]
		in.injectTemporary("other software", func() { engine.SetSoftware(version) }, func() {})
	case 22:
		in.injectSeries()
	case 23:
		in.injectHerdKill()
	case 24:
		target := in.randomTarget()
		in.injectTemporary("connections break", func() { target.SetBreaking(true) }, func() { target.SetBreaking(false) })
	}
}

// limitTargets has targets name limits, in requests per second.
func (in *injector) limitTargets(all []*stub.Target, period time.Duration) {
	limit := 1 + 3*in.rng.Float64()
	set := func(limit float64) func() {
		return func() {
			for _, ta := range all {
				ta.SetLimit(limit)
			}
		}
	}
	in.injectFor(fmt.Sprintf("%d targets name a limit", len(all)), period, set(limit), set(0))
}

// injectSeries restarts entries one after the other, each before the last is back, with
// changes of the configuration in between.
func (in *injector) injectSeries() {
	for at, entry := range in.cluster.entries[:(entryCount+1)/2] {
		sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[in.rng.IntN(2)]
		in.injectProcess(entry, "series "+sig.String(), func() {
			time.Sleep(time.Duration(at) * 300 * time.Millisecond)
			in.cluster.changeConfig()
			in.cluster.restart(entry, sig)
		})
	}
}

// injectHerdKill kills all entries while streams of two software versions are open, right
// after the last engine of one version was replaced.
func (in *injector) injectHerdKill() {
	const streams, longText, registryTime = 8, 50, 500 * time.Millisecond
	cl, pause, series := in.cluster, time.Duration(in.rng.IntN(300))*time.Millisecond, len(in.injected)
	version := softwareVersions[in.rng.IntN(2)]
	for at, en := range cl.engines {
		en.SetSoftware(softwareVersions[at%2])
	}
	time.Sleep(registryTime)
	for at := range streams {
		id := fmt.Sprintf("herd%d-%d", series, at)
		for len(stub.Text(id)) < longText {
			id += "+"
		}
		in.wait.Go(func() { cl.sendStream(id, at) })
	}
	time.Sleep(100 * time.Millisecond)
	for _, en := range cl.engines {
		en.SetSoftware(version)
	}
	time.Sleep(pause)
	for _, entry := range cl.entries {
		in.injectProcess(entry, "herd kill", func() { cl.restart(entry, syscall.SIGKILL) })
	}
}

// randomTarget returns an engine or, as often, a plain target.
func (in *injector) randomTarget() *stub.Target {
	if in.rng.IntN(2) == 0 {
		return in.cluster.engines[in.rng.IntN(engineCount)]
	}
	return in.cluster.plainTargets[in.rng.IntN(plainTargetCount)]
}

// openSlowClients opens connections that each send an incomplete request.
func (in *injector) openSlowClients(addr string) {
	const count = 30
	var conns []net.Conn
	in.injectTemporary("slow clients", func() {
		for at := range count {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return // the entry is down
			}
			conns = append(conns, conn)
			text := fmt.Sprintf("POST /look/x HTTP/1.1\r\nHost: h\r\nBilberryshelf-Request-Id: s%d\r\nContent-Length: 100\r\n\r\nbody", at)
			_, _ = conn.Write([]byte(text)[:len(text)-at]) // fails if the entry goes down
		}
	}, func() {
		for _, conn := range conns {
			_ = conn.Close() // no response is expected
		}
	})
}
