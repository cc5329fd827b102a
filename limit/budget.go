package limit

import "sync"

// ByteBudget limits the total bytes that requests keep in memory. It protects an instance
// that can hold only one or two large bodies from many at once. It is safe for concurrent
// use. The zero value has no limit.
//
//  1. Bytes are granted while the total does not exceed Max.
//  2. A body larger than Max is accepted if no other request holds bytes, since it could
//     not be served otherwise.
//  3. A request that does not fit is refused at once; there is no queue.
type ByteBudget struct {
	// Max is the limit in bytes; zero means no limit.
	Max int64

	mutex sync.Mutex
	inUse int64
}

// Acquire reserves bytes for a request that already holds the given number of bytes. It
// returns false if they do not fit.
func (bb *ByteBudget) Acquire(held, bytes int64) bool {
	bb.mutex.Lock()
	defer bb.mutex.Unlock()
	others := bb.inUse - held
	if bb.Max > 0 && others > 0 && bb.inUse+bytes > bb.Max {
		return false
	}
	bb.inUse += bytes
	return true
}

// Release returns reserved bytes to the budget.
func (bb *ByteBudget) Release(bytes int64) {
	bb.mutex.Lock()
	defer bb.mutex.Unlock()
	bb.inUse -= bytes
}

// InUse returns the number of reserved bytes.
func (bb *ByteBudget) InUse() int64 {
	bb.mutex.Lock()
	defer bb.mutex.Unlock()
	return bb.inUse
}

// force reserves bytes whether they fit or not.
func (bb *ByteBudget) force(bytes int64) {
	bb.mutex.Lock()
	defer bb.mutex.Unlock()
	bb.inUse += bytes
}
