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

// allKinds is the number of kinds of faults.
const allKinds = 17

// injector injects faults, in series and overlapping.
type injector struct {
	world *world
	rng   *rand.Rand
	// kinds is how many of the kinds of faults are drawn from.
	kinds int
	done  []string
	group sync.WaitGroup
}

func (in *injector) run(span time.Duration) {
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		in.inject()
		time.Sleep(time.Duration(200+in.rng.IntN(1500)) * time.Millisecond)
	}
	in.group.Wait()
	in.world.rows.Set(fake.RowFaults{})
	for _, li := range in.world.links {
		li.set(pass)
	}
}

// for a while runs the two ends of a fault around a pause.
func (in *injector) during(name string, begin, end func()) {
	pause := time.Duration(300+in.rng.IntN(3500)) * time.Millisecond
	in.done = append(in.done, fmt.Sprintf("%s %v", name, pause))
	in.group.Go(func() {
		begin()
		time.Sleep(pause)
		end()
	})
}

// busy marks processes whose restart is under way.
var busy sync.Map

func (in *injector) once(pr *process, name string, do func()) {
	if _, taken := busy.LoadOrStore(pr, true); taken {
		return
	}
	in.done = append(in.done, name+" "+pr.name)
	in.group.Go(func() {
		defer busy.Delete(pr)
		do()
	})
}

func (in *injector) inject() {
	wo := in.world
	entry, guard := wo.entries[in.rng.IntN(entries)], wo.guards[in.rng.IntN(engines)]
	link, engine := wo.links[in.rng.IntN(entries)], wo.engines[in.rng.IntN(engines)]
	pause := time.Duration(500+in.rng.IntN(4000)) * time.Millisecond
	store := func(fa fake.RowFaults) func() { return func() { wo.rows.Set(fa) } }
	switch in.rng.IntN(in.kinds) {
	case 0:
		in.once(entry, "kill", func() { wo.restart(entry, syscall.SIGKILL) })
	case 1:
		in.once(entry, "stop", func() { wo.restart(entry, syscall.SIGTERM) })
	case 2:
		in.once(entry, "pause", func() {
			entry.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			entry.signal(syscall.SIGCONT)
		})
	case 3:
		in.once(guard, "kill", func() { wo.restart(guard, syscall.SIGKILL) })
	case 4:
		in.during("engine dark", func() { engine.SetPaused(true) }, func() { engine.SetPaused(false) })
	case 5:
		in.during("link silent", func() { link.set(silent) }, func() { link.set(pass); link.reset() })
	case 6:
		in.during("link one way", func() { link.set(oneWay) }, func() { link.set(pass); link.reset() })
	case 7:
		in.during("link slow", func() { link.set(slow) }, func() { link.set(pass) })
	case 8:
		in.during("link reset", link.reset, link.reset)
	case 9:
		in.during("store refuses", store(fake.RowFaults{Refuse: true}), store(fake.RowFaults{}))
	case 10:
		in.during("answers lost", store(fake.RowFaults{LoseAnswers: 3, LateWrites: 2, Late: time.Second}), store(fake.RowFaults{}))
	case 11:
		in.during("history dropped", wo.rows.Compact, func() {})
	case 12:
		in.once(guard, "stop", func() { wo.restart(guard, syscall.SIGTERM) })
	case 13:
		in.once(guard, "pause", func() {
			guard.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			guard.signal(syscall.SIGCONT)
		})
	case 14:
		in.slowSenders(wo.fronts[in.rng.IntN(entries)])
	case 15:
		desk := wo.desks[in.rng.IntN(desks)]
		in.during("answers crossed", func() { desk.SetMismatched(true) }, func() { desk.SetMismatched(false) })
	case 16:
		in.once(entry, "freeze", func() { // longer than its jobs stay its own
			entry.signal(syscall.SIGSTOP)
			time.Sleep(6*time.Second + pause/2)
			entry.signal(syscall.SIGCONT)
		})
	}
}

// slowSenders opens connections that stop in the middle of a request.
func (in *injector) slowSenders(front string) {
	const count = 30
	var conns []net.Conn
	in.during("slow senders", func() {
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
