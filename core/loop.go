package core

// Loop runs functions one after the other on one goroutine, which owns the
// control state that they touch. Traffic goroutines call Do or Post.
type Loop struct {
	calls chan func()
	done  chan struct{}
}

// loopQueueDepth is the number of posted functions that may wait.
const loopQueueDepth = 1024

// NewLoop makes a loop; Run must be called to serve it.
func NewLoop() *Loop {
	return &Loop{calls: make(chan func(), loopQueueDepth), done: make(chan struct{})}
}

// Run serves calls until the stop channel closes.
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
// loop has ended and the function did not run.
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
		return false
	}
}

// Post runs a function on the loop without waiting for it.
func (lo *Loop) Post(call func()) {
	select {
	case lo.calls <- call:
	case <-lo.done:
	}
}

// TryPost runs a function on the loop without waiting for it, unless too many
// wait already. The loop itself must use it: it would wait for itself in Post.
func (lo *Loop) TryPost(call func()) bool {
	select {
	case lo.calls <- call:
		return true
	default:
		return false
	}
}

// Done closes when the loop has ended.
func (lo *Loop) Done() <-chan struct{} { return lo.done }
