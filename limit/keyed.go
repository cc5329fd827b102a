package limit

import "sync"

// KeyedBudget limits the bytes per key, by the rules of ByteBudget. It keeps nothing for a
// key without bytes. It is safe for concurrent use. The zero value has no limit.
type KeyedBudget struct {
	// Max is the limit per key in bytes; zero means no limit.
	Max int64

	mutex sync.Mutex
	inUse map[string]int64
}

// Acquire reserves bytes for a key. It returns false if they do not fit beside those that
// the key has. Bytes that exceed the limit alone are accepted if the key has no others.
func (kb *KeyedBudget) Acquire(key string, bytes int64) bool {
	kb.mutex.Lock()
	defer kb.mutex.Unlock()
	others := kb.inUse[key]
	if kb.Max > 0 && others > 0 && others+bytes > kb.Max {
		return false
	}
	if kb.inUse == nil {
		kb.inUse = map[string]int64{}
	}
	if bytes > 0 {
		kb.inUse[key] = others + bytes
	}
	return true
}

// Release returns reserved bytes of a key.
func (kb *KeyedBudget) Release(key string, bytes int64) {
	kb.mutex.Lock()
	defer kb.mutex.Unlock()
	if kb.inUse[key] -= bytes; kb.inUse[key] <= 0 {
		delete(kb.inUse, key)
	}
}
