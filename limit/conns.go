package limit

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// ConnCost is what a connection takes beside the heads of its requests, in bytes: its
	// goroutine, the buffers of the HTTP library and what the kernel holds unread.
	ConnCost = 32 << 10
	// headLineCost is what a header line takes beside its text, in bytes: entries of the
	// parsed header and of the header that is sent on.
	headLineCost = 256
	// headByteCost is what a byte of a head takes: the text and the copy that is sent on.
	headByteCost = 2
	// LargeHead is the cost in bytes from which a head counts as large. An ordinary head of
	// a KiB in 15 lines costs 6 KiB.
	LargeHead = 64 << 10
	// largeShare is the share of the memory that large heads may take.
	largeShare = 0.75
	// minProgress is what a body must grow by to count as progress, in bytes.
	minProgress = 4 << 10
	// maxLeaving is the number of connections to be closed from which on new ones do not take
	// the places of others: what they take is not bounded.
	maxLeaving = 64
)

// MinWait is the time without progress after which a connection has stalled. The packets of an
// ordinary request arrive within the time that a packet takes between regions.
const MinWait = 100 * time.Millisecond

// ErrCutOff is the error of reading a request whose connection was cut off in favor of others.
// The request should be refused as one that has not run.
var ErrCutOff = errors.New("the connection was cut off because the process is short of memory or connections")

// HeadCost returns what a head takes in memory, in bytes. Its lines cost more than their
// text if they are short.
func HeadCost(size, lines int) int64 {
	return headByteCost*int64(size) + headLineCost*int64(lines)
}

// ConnBudget limits the connections of a process, and what they and the heads of their
// requests take in memory. Times are passed in. It is safe for concurrent use. The zero
// value has no limit.
//
//  1. A connection takes ConnCost while it is open, a head its HeadCost from its first byte
//     until the response is written. What fits is granted.
//  2. Large heads may take largeShare of the memory, so that ordinary requests fit beside
//     them. A large head beside no other is granted in any case.
//  3. What does not fit takes the place of connections that wait for their client: of those
//     that have stalled, large heads and the longest stalled first; then,
//     unless it is for a large head itself, of large heads, the largest first, and of
//     connections on which no request has begun. If connections are short and not memory,
//     the latter yield before large heads.
//  4. A request that was received completely is never cut off.
//  5. A connection that is cut off takes its memory until it is closed. Large heads wait for
//     that, others do not, unless many connections are to be closed.
//  6. What finds no place is refused at once; there is no queue. For MinWait after that,
//     connections should be closed after their response, so that others get a turn.
type ConnBudget struct {
	// MaxBytes is the limit of the memory in bytes, MaxConns that of the connections; zero
	// means no limit.
	MaxBytes int64
	MaxConns int

	mutex sync.Mutex
	// inUse and inLarge are the bytes of all connections and of the large heads.
	inUse, inLarge int64
	conns          map[*Conn]struct{}
	// leaving is the number of connections that were cut off and are not closed yet, and
	// inLeaving what they take in bytes.
	leaving   int
	inLeaving int64
	// refusedAt is when a connection found no place last.
	refusedAt time.Time
}

// Conn is the share of one connection in a ConnBudget.
type Conn struct {
	owner *ConnBudget
	evict func()
	// head is the cost of the head.
	head int64
	// progressAt is when the wait for the client began: for the first byte of a request, for
	// the rest of its head, or for more of its body. progress counts bytes of the body since.
	progressAt time.Time
	progress   int64
	// begun is set from the first byte of a request until its response is written.
	begun bool
	// received is set from the end of a request until its response is written.
	received bool
	// cut is set when the connection was cut off, closed when it is closed.
	cut, closed bool
}

// Open adds a connection. It returns nil if there is no place. evict cuts the connection off;
// it is called at most once, never after Close, and must neither block nor call the budget.
func (cb *ConnBudget) Open(now time.Time, evict func()) *Conn {
	cb.mutex.Lock()
	defer cb.mutex.Unlock()
	for need := cb.openShortage(); need != ""; need = cb.openShortage() {
		if cb.leaving > maxLeaving || !cb.makeRoom(now, nil, need) {
			cb.refusedAt = now
			return nil
		}
	}
	co := &Conn{owner: cb, evict: evict, progressAt: now}
	if cb.conns == nil {
		cb.conns = map[*Conn]struct{}{}
	}
	cb.conns[co] = struct{}{}
	cb.inUse += ConnCost
	return co
}

// IsShort reports whether connections should be closed after their response.
func (cb *ConnBudget) IsShort(now time.Time) bool {
	cb.mutex.Lock()
	defer cb.mutex.Unlock()
	return !cb.refusedAt.IsZero() && now.Sub(cb.refusedAt) < MinWait
}

// CutStalled cuts off all connections that have stalled.
func (cb *ConnBudget) CutStalled(now time.Time) {
	cb.mutex.Lock()
	defer cb.mutex.Unlock()
	for co := range cb.conns {
		if !co.received && co.isStalled(now) {
			co.cutOff()
		}
	}
}

// Count returns the number of connections and the bytes that they take, with those that are
// cut off and not closed yet.
func (cb *ConnBudget) Count() (conns int, bytes int64) {
	cb.mutex.Lock()
	defer cb.mutex.Unlock()
	return len(cb.conns) + cb.leaving, cb.inUse
}

// openShortage returns what a new connection does not find; it is empty if there is a place.
func (cb *ConnBudget) openShortage() shortage {
	switch {
	case cb.MaxConns > 0 && len(cb.conns) >= cb.MaxConns:
		return ofConns
	case !cb.fits(0, ConnCost):
		return ofRoom
	default:
		return ""
	}
}

// fits reports whether a head that has taken held bytes may take more.
func (cb *ConnBudget) fits(held, bytes int64) bool {
	total := held + bytes
	if cb.MaxBytes <= 0 || total < LargeHead {
		return cb.MaxBytes <= 0 || cb.inUse-cb.inLeaving+bytes <= cb.MaxBytes
	}
	others := cb.inLarge
	if held >= LargeHead {
		others -= held
	}
	return others == 0 || cb.inUse+bytes <= cb.MaxBytes && others+total <= int64(largeShare*float64(cb.MaxBytes))
}

// shortage is what a connection does not find.
type shortage string

const (
	ofConns     shortage = "connections"
	ofRoom      shortage = "memory"
	ofLargeRoom shortage = "memory for a large head"
)

// makeRoom cuts off one connection other than co. It returns false if none may be cut off.
func (cb *ConnBudget) makeRoom(now time.Time, co *Conn, need shortage) bool {
	var victim *Conn
	lowest := 0
	for other := range cb.conns {
		rank := other.yieldRank(now, need)
		if other == co || rank < 0 {
			continue
		}
		if victim == nil || rank < lowest || rank == lowest && other.yieldsBefore(victim, now) {
			victim, lowest = other, rank
		}
	}
	if victim == nil {
		return false
	}
	victim.cutOff()
	return true
}

// cutOff cuts a connection off. What it takes is free when it is closed.
func (co *Conn) cutOff() {
	co.cut = true
	delete(co.owner.conns, co)
	co.owner.leaving++
	co.owner.inLeaving += ConnCost + co.head
	co.evict()
}

// yieldsBefore orders connections of one rank: the one that has waited longest yields first;
// of large heads that are not stalled, the largest.
func (co *Conn) yieldsBefore(other *Conn, now time.Time) bool {
	if co.head != other.head && co.isLarge() && !co.isStalled(now) {
		return co.head > other.head
	}
	return co.progressAt.Before(other.progressAt)
}

func (co *Conn) isLarge() bool { return co.head >= LargeHead }

func (co *Conn) isStalled(now time.Time) bool { return now.Sub(co.progressAt) >= MinWait }

// yieldRank orders the connections that may be cut off, the lowest rank first. It is negative
// for one that may not.
func (co *Conn) yieldRank(now time.Time, need shortage) int {
	switch {
	case co.received:
		return -1
	case co.isStalled(now) && co.isLarge():
		return 0
	case co.isStalled(now):
		return 1
	case need == ofLargeRoom:
		return -1
	case !co.begun && need == ofConns:
		return 2
	case co.isLarge():
		return 3
	case !co.begun:
		return 4
	default:
		return -1
	}
}

// Grant is the answer to a request for memory.
type Grant string

// The grants.
const (
	Granted Grant = "granted"
	Refused Grant = "refused"
	// Pending asks the caller to ask again shortly: others were cut off and are to be closed.
	Pending Grant = "pending"
)

// GrowHead adds to the cost of the head of a request that is being received. It is refused if
// there is no room, or if the connection was cut off.
func (co *Conn) GrowHead(now time.Time, bytes int64) Grant {
	co.owner.mutex.Lock()
	defer co.owner.mutex.Unlock()
	if !co.begun {
		co.begun, co.progressAt = true, now // a head that comes byte by byte makes no progress
	}
	return co.grow(now, bytes)
}

// SetHead corrects the cost of a head after it was parsed, before its body is received.
func (co *Conn) SetHead(now time.Time, bytes int64) Grant {
	co.owner.mutex.Lock()
	defer co.owner.mutex.Unlock()
	co.begun, co.progressAt, co.progress = true, now, 0
	if bytes > co.head {
		return co.grow(now, bytes-co.head)
	}
	co.setHead(bytes)
	if co.cut {
		return Refused
	}
	return Granted
}

func (co *Conn) grow(now time.Time, bytes int64) Grant {
	cb, need := co.owner, ofRoom
	if co.head+bytes >= LargeHead {
		need = ofLargeRoom
	}
	for !co.cut && !cb.fits(co.head, bytes) {
		switch {
		case need == ofLargeRoom && cb.inLeaving >= bytes:
			return Pending
		case !cb.makeRoom(now, co, need):
			return Refused
		}
	}
	if co.cut {
		return Refused
	}
	co.setHead(co.head + bytes)
	return Granted
}

// setHead sets the cost of the head.
func (co *Conn) setHead(bytes int64) {
	if co.closed {
		return
	}
	cb := co.owner
	cb.inUse += bytes - co.head
	if co.cut {
		cb.inLeaving += bytes - co.head
	}
	if co.isLarge() {
		cb.inLarge -= co.head
	}
	co.head = bytes
	if co.isLarge() {
		cb.inLarge += co.head
	}
}

// Progress records that the client has sent more of a request's body.
func (co *Conn) Progress(now time.Time, bytes int) {
	co.owner.mutex.Lock()
	defer co.owner.mutex.Unlock()
	if co.progress += int64(bytes); co.progress >= minProgress {
		co.progressAt, co.progress = now, 0
	}
}

// Receive records that a request was received completely. It returns false if the connection
// was cut off before.
func (co *Conn) Receive() bool {
	co.owner.mutex.Lock()
	defer co.owner.mutex.Unlock()
	co.received = true
	return !co.cut
}

// Await records that a response was written and that the connection waits for the next
// request, a part of whose head may be known already.
func (co *Conn) Await(now time.Time, bytes int64) Grant {
	co.owner.mutex.Lock()
	defer co.owner.mutex.Unlock()
	co.received, co.begun, co.progressAt = false, false, now
	co.setHead(0)
	return co.grow(now, bytes)
}

// Close removes the connection. Closing it again changes nothing.
func (co *Conn) Close() {
	co.owner.mutex.Lock()
	defer co.owner.mutex.Unlock()
	if co.closed {
		return
	}
	co.setHead(0)
	co.closed = true
	co.owner.inUse -= ConnCost
	delete(co.owner.conns, co)
	if co.cut {
		co.owner.leaving--
		co.owner.inLeaving -= ConnCost
	}
}
