package calls

import (
	"sync"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

// assumeRunAfter is the time after which a plain request that no target has answered or
// refused counts as running: it must be counted before the counts are added up.
const assumeRunAfter = 1500 * time.Millisecond

// Ran is a caller's request that began to run at a target.
type Ran struct {
	ID, Workspace string
	Target        fleet.Target
	// At is when it began, by the clock of this entry, corrected for the network delay to
	// the target.
	At time.Time
}

// runLog finds when a request began to run and tells once. Nil means that nobody asks. A
// plain request begins to run when it is sent to the first target that does not refuse it, a
// stream with its first event. One that is given up after it was sent has begun, too: the
// target may run it.
type runLog struct {
	re    Request
	onRun func(Ran)

	mutex sync.Mutex
	sends []sending
	told  bool
}

type sending struct {
	target fleet.Target
	at     time.Time
}

// newRunLog returns nil for requests that do not count.
func newRunLog(fo *Forwarder, re Request) *runLog {
	if fo.OnRun == nil || re.Deferred || re.Workspace == "" {
		return nil
	}
	return &runLog{re: re, onRun: fo.OnRun}
}

// sent records that the request is sent to a target.
func (rl *runLog) sent(ta fleet.Target, at time.Time) {
	if rl == nil {
		return
	}
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	rl.sends = append(rl.sends, sending{target: ta, at: at})
}

// ended records the outcome of an attempt. If the target did not run the request, the last
// sending to it is void.
func (rl *runLog) ended(ta fleet.Target, err *core.Error) {
	if rl == nil || err == nil || err.Verdict != core.NotRun {
		return
	}
	rl.mutex.Lock()
	defer rl.mutex.Unlock()
	for at := len(rl.sends) - 1; at >= 0; at-- {
		if rl.sends[at].target.ID == ta.ID {
			rl.sends = append(rl.sends[:at], rl.sends[at+1:]...)
			return
		}
	}
}

// firstEvent tells that a stream began to run.
func (rl *runLog) firstEvent(ta fleet.Target, at time.Time) {
	if rl != nil {
		rl.tell(ta, at.Add(-ta.Distance.Delay()))
	}
}

// end tells that the request began to run, unless all targets refused it.
func (rl *runLog) end() {
	if rl == nil {
		return
	}
	rl.mutex.Lock()
	if len(rl.sends) == 0 {
		rl.mutex.Unlock()
		return
	}
	first := rl.sends[0]
	rl.mutex.Unlock()
	rl.tell(first.target, first.at.Add(first.target.Distance.Delay()))
}

func (rl *runLog) tell(ta fleet.Target, at time.Time) {
	rl.mutex.Lock()
	told := rl.told
	rl.told = true
	rl.mutex.Unlock()
	if !told {
		rl.onRun(Ran{ID: rl.re.ID, Workspace: rl.re.Workspace, Target: ta, At: at})
	}
}

// assumed returns a channel that receives when the request counts as running.
func (rl *runLog) assumed(fo *Forwarder) <-chan time.Time {
	if rl == nil {
		return nil
	}
	return fo.Clock.After(assumeRunAfter)
}
