package limit

import "sync"

// ByteBudget bounds the bytes that requests keep in memory together. The load
// pattern: many large bodies at once, on an instance that holds one or two of
// them. It is safe for concurrent use. The zero value has no bound.
//
//  1. Bytes are taken while they fit below Most together.
//  2. A body that is larger than Most alone is taken while nothing else is, so
//     that it is served at all.
//  3. What does not fit is refused at once; nobody waits for space.
type ByteBudget struct {
	// Max is the bound in bytes; zero means none.
	Max int64

	mutex sync.Mutex
	inUse int64
}

// Acquire takes bytes, beside those that the taker holds already; false means that
// they don't fit.
func (sp *ByteBudget) Acquire(held, bytes int64) bool {
	sp.mutex.Lock()
	defer sp.mutex.Unlock()
	others := sp.inUse - held
	if sp.Max > 0 && others > 0 && sp.inUse+bytes > sp.Max {
		return false
	}
	sp.inUse += bytes
	return true
}

// Release returns bytes.
func (sp *ByteBudget) Release(bytes int64) {
	sp.mutex.Lock()
	defer sp.mutex.Unlock()
	sp.inUse -= bytes
}

// InUse is the bytes that are taken at present.
func (sp *ByteBudget) InUse() int64 {
	sp.mutex.Lock()
	defer sp.mutex.Unlock()
	return sp.inUse
}
