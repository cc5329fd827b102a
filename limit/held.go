package limit

import (
	"sync"
	"time"
)

// MinStall is the time without progress after which a slow reader may be cut off in favor
// of others. A reader that lost a packet is back sooner.
const MinStall = time.Second

// HeldBytes limits the bytes that a process holds for readers: responses that are being
// read or written, and events that wait for a slow caller; or for the senders of requests.
// Times are passed in. It is safe
// for concurrent use. The zero value has no limit.
//
//  1. Bytes that are still to be read are granted by the rules of ByteBudget.
//  2. Bytes that are in memory already, since a response was read, always count.
//  3. Where bytes do not fit, the readers that have made no progress for MinStall are cut
//     off, the longest stalled first, until they fit. So stalled readers do not make other
//     requests fail.
//  4. A holder that grows by Request asks the one that holds most to yield instead, whether or
//     not that one makes progress, and waits until its bytes are returned. So a source without
//     end does not make others fail.
type HeldBytes struct {
	ByteBudget

	mutex   sync.Mutex
	holders map[*Holder]struct{}
}

// Holder is a reader for which bytes are held.
type Holder struct {
	owner      *HeldBytes
	bytes      int64
	progressAt time.Time
	cut        func()
	// ended is set when the reader was cut off or is done, yields when it was asked to yield and
	// has not ended yet.
	ended, yields bool
}

// Hold counts bytes for a reader. cut ends the reader; it is called at most once, never
// after End, and must not block. A reader without it is never cut off.
func (hb *HeldBytes) Hold(now time.Time, bytes int64, cut func()) *Holder {
	ho := &Holder{owner: hb, bytes: bytes, progressAt: now, cut: cut}
	hb.force(bytes)
	hb.mutex.Lock()
	defer hb.mutex.Unlock()
	if hb.holders == nil {
		hb.holders = map[*Holder]struct{}{}
	}
	hb.holders[ho] = struct{}{}
	return ho
}

// Reserve acquires bytes as Acquire does, and cuts off stalled readers if they do not fit.
func (hb *HeldBytes) Reserve(now time.Time, held, bytes int64) bool {
	for !hb.Acquire(held, bytes) {
		if !hb.cutStalled(now) {
			return false
		}
	}
	return true
}

// cutStalled cuts off the reader that has been stalled longest. It returns false if none
// has been stalled for MinStall.
func (hb *HeldBytes) cutStalled(now time.Time) bool {
	hb.mutex.Lock()
	defer hb.mutex.Unlock()
	var longest *Holder
	for ho := range hb.holders {
		if ho.cut != nil && ho.bytes > 0 && now.Sub(ho.progressAt) >= MinStall && (longest == nil || ho.progressAt.Before(longest.progressAt)) {
			longest = ho
		}
	}
	if longest == nil {
		return false
	}
	longest.end()
	longest.cut()
	return true
}

// Grow adds bytes to those of the reader. It returns false if they do not fit, or if the
// reader was cut off.
func (ho *Holder) Grow(now time.Time, bytes int64) bool {
	ho.owner.mutex.Lock()
	held := ho.bytes
	ho.owner.mutex.Unlock()
	if !ho.owner.Reserve(now, held, bytes) {
		return false
	}
	ho.owner.mutex.Lock()
	defer ho.owner.mutex.Unlock()
	if ho.ended {
		ho.owner.Release(bytes)
		return false
	}
	ho.bytes += bytes
	return true
}

// Request adds bytes to those of the holder, or asks another one to yield (rule 4). It is
// Refused if the holder itself was asked to yield, holds most, or would exceed Max alone. After
// Pending the caller asks again shortly: the bytes of those that yield count until they end.
func (ho *Holder) Request(bytes int64) Grant {
	hb := ho.owner
	hb.mutex.Lock()
	defer hb.mutex.Unlock()
	switch {
	case ho.ended || ho.yields:
		return Refused
	case hb.Max > 0 && ho.bytes+bytes > hb.Max: // also if no other holder has any
		ho.yields = true
		return Refused
	}
	if hb.Acquire(ho.bytes, bytes) {
		ho.bytes += bytes
		return Granted
	}
	largest := ho
	for other := range hb.holders {
		if other.yields {
			return Pending
		}
		if other.cut != nil && other.bytes > largest.bytes {
			largest = other
		}
	}
	largest.yields = true
	if largest == ho {
		return Refused
	}
	largest.cut()
	return Pending
}

const (
	// requestInterval is the time between two requests for memory that another holder is to
	// return, and requestPatience bounds the wait. A peer cuts off what is unread for some
	// seconds.
	requestInterval = 2 * time.Millisecond
	requestPatience = time.Second
)

// Await requests bytes and waits while they are pending. It reports whether they were granted.
func (ho *Holder) Await(bytes int64, sleep func(time.Duration)) bool {
	grant := ho.Request(bytes)
	for waited := time.Duration(0); grant == Pending && waited < requestPatience; waited += requestInterval {
		sleep(requestInterval)
		grant = ho.Request(bytes)
	}
	return grant == Granted
}

// Shrink returns bytes that the reader has received.
func (ho *Holder) Shrink(bytes int64) {
	ho.owner.mutex.Lock()
	defer ho.owner.mutex.Unlock()
	if !ho.ended {
		ho.bytes -= bytes
		ho.owner.Release(bytes)
	}
}

// Progress records that the reader has received bytes.
func (ho *Holder) Progress(now time.Time) {
	ho.owner.mutex.Lock()
	defer ho.owner.mutex.Unlock()
	ho.progressAt = now
}

// Keep protects the reader from being cut off from now on. It returns false if that has
// happened.
func (ho *Holder) Keep() bool {
	ho.owner.mutex.Lock()
	defer ho.owner.mutex.Unlock()
	ho.cut = nil
	return !ho.ended && !ho.yields
}

// End returns all bytes of the reader. Ending it again changes nothing.
func (ho *Holder) End() {
	ho.owner.mutex.Lock()
	defer ho.owner.mutex.Unlock()
	ho.end()
}

func (ho *Holder) end() {
	if ho.ended {
		return
	}
	ho.ended = true
	delete(ho.owner.holders, ho)
	ho.owner.Release(ho.bytes)
}
