package limit

import "sync"

// Space bounds the bytes that requests keep in memory together. The load
// pattern: many large bodies at once, on an instance that holds one or two of
// them. It is safe for concurrent use. The zero value has no bound.
//
//  1. Bytes are taken while they fit below Most together.
//  2. A body that is larger than Most alone is taken while nothing else is, so
//     that it is served at all.
//  3. What does not fit is refused at once; nobody waits for space.
type Space struct {
	// Most is the bound in bytes; zero means none.
	Most int64

	mutex sync.Mutex
	taken int64
}

// Take takes bytes, beside those that the taker holds already; false means that
// they don't fit.
func (sp *Space) Take(held, bytes int64) bool {
	sp.mutex.Lock()
	defer sp.mutex.Unlock()
	others := sp.taken - held
	if sp.Most > 0 && others > 0 && sp.taken+bytes > sp.Most {
		return false
	}
	sp.taken += bytes
	return true
}

// Give returns bytes.
func (sp *Space) Give(bytes int64) {
	sp.mutex.Lock()
	defer sp.mutex.Unlock()
	sp.taken -= bytes
}

// Taken is the bytes that are taken at present.
func (sp *Space) Taken() int64 {
	sp.mutex.Lock()
	defer sp.mutex.Unlock()
	return sp.taken
}
