package core

// Loop runs functions one after the other on one goroutine, which owns the
// control state that they use. Goroutines that handle requests call Do or Post.
type Loop struct {
	calls chan func()
	done  chan struct{}
}

// loopQueueDepth is the maximum number of functions waiting to run.
const loopQueueDepth = 1024

// NewLoop returns a loop. It runs no function until Run is called.
func NewLoop() *Loop {
	return &Loop{calls: make(chan func(), loopQueueDepth), done: make(chan struct{})}
}

// Run runs the posted functions until the stop channel is closed.
func (lo *Loop) Run(stop <-chan struct{}) {
	defer close(lo.done)
	for {
		select {
		case call := <-lo.calls:
			call()
		case <-stop:
			return
		}
	}
}

// Do runs a function on the loop and waits for it. It returns false if the
// loop has stopped and the function did not run.
func (lo *Loop) Do(call func()) bool {
	ended := make(chan struct{})
	wrapped := func() {
		call()
		close(ended)
	}
	select {
	case lo.calls <- wrapped:
	case <-lo.done:
		return false
	}
	select {
	case <-ended:
		return true
	case <-lo.done:
	}
	select {
	case <-ended: // the loop stopped right after the call
		return true
	default:
		return false
	}
}

// Post queues a function for the loop and blocks while the queue is full. A
// function posted after the loop has stopped does not run.
func (lo *Loop) Post(call func()) {
	select {
	case lo.calls <- call:
	case <-lo.done:
	}
}

// TryPost queues a function for the loop, or returns false if the queue is full.
// Functions that run on the loop must use it: Post would deadlock there on a
// full queue.
func (lo *Loop) TryPost(call func()) bool {
	select {
	case lo.calls <- call:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed when Run has returned.
func (lo *Loop) Done() <-chan struct{} { return lo.done }
