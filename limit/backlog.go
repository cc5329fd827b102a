package limit

// backlogChunk is the size of the pieces in which a backlog takes memory, in bytes.
const backlogChunk = 8 << 10

// Backlog is a queue of bytes with a limit, in the order in which they came. It takes
// memory in chunks. It is not safe for concurrent use. The zero value is empty and holds
// nothing.
type Backlog struct {
	// Max is the limit of the memory that the backlog takes, in bytes.
	Max int64
	// Grow is called with the size of each chunk before it is allocated; the backlog does
	// not take it if Grow returns false. Shrink is called with the bytes that are freed.
	Grow   func(bytes int64) bool
	Shrink func(bytes int64)

	chunks [][]byte
	// taken is how many bytes of the first chunk were taken.
	taken int
}

// Add appends bytes. It returns false if they do not fit; then the backlog is incomplete
// and of no further use.
func (ba *Backlog) Add(raw []byte) bool {
	for len(raw) > 0 {
		last := len(ba.chunks) - 1
		if last < 0 || len(ba.chunks[last]) == backlogChunk {
			if int64(len(ba.chunks)+1)*backlogChunk > ba.Max || !ba.Grow(backlogChunk) {
				return false
			}
			ba.chunks, last = append(ba.chunks, make([]byte, 0, backlogChunk)), last+1
		}
		count := min(len(raw), backlogChunk-len(ba.chunks[last]))
		ba.chunks[last], raw = append(ba.chunks[last], raw[:count]...), raw[count:]
	}
	return true
}

// Take moves the oldest bytes to buf and returns their number, zero if there are none.
func (ba *Backlog) Take(buf []byte) int {
	if len(ba.chunks) == 0 {
		return 0
	}
	first := ba.chunks[0]
	count := copy(buf, first[ba.taken:])
	if ba.taken += count; ba.taken == len(first) {
		ba.chunks, ba.taken = ba.chunks[1:], 0
		ba.Shrink(backlogChunk)
	}
	return count
}

// Clear drops all bytes.
func (ba *Backlog) Clear() {
	ba.Shrink(int64(len(ba.chunks)) * backlogChunk)
	ba.chunks, ba.taken = nil, 0
}
