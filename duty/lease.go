// Package duty gives one entry at a time the right to make the calls to the platform that
// are the duty of one instance. The right is a lease: a row of the store that its holder
// renews.
//
//  1. Each write of the row is conditional on the version that was read last. After a write
//     without an answer, the row is read again before anything else is done.
//  2. Acquiring the lease raises the token by one. Renewing and releasing keep it.
//  3. A lease counts as expired once its row was unchanged for the lease time and
//     expiryMargin, from the answer to the first read to the sending of the last. The time
//     between reads is measured by the local monotonic clock, so a store that does not
//     answer, a suspension and a slow answer only make it longer.
//  4. The holder may call only while the last acknowledged write was sent less than the
//     lease time minus callMargin ago, by the monotonic clock and by the clock that counts
//     suspensions.
//  5. It may call only when the lease time has passed since it acquired the lease: the
//     calls of the holder before it ended at least that long ago.
//  6. A later process on the same node is the same holder and skips the wait of rule 5, but
//     only if the row says that its predecessor's wait was over (Row.Cleared). Otherwise a
//     process that stops during its wait would pass the lease on to one that does not wait.
//  7. From the moment that the holder decides to release the lease, it does not call.
package duty

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/table"
)

const (
	// Table is the table of the store with the row of the lease.
	Table = "duty"
	// rowKey is the key of that row.
	rowKey = "holder"
	// DefaultTTL is the lease time if none is configured.
	DefaultTTL = 3 * time.Second
	// RenewInterval is the time between two renewals, and between two reads of a candidate.
	RenewInterval = time.Second
	// expiryMargin is how long after the lease time others treat the lease as expired.
	expiryMargin = time.Second
	// callMargin is how long before the end of the lease the last call may be sent.
	callMargin = 500 * time.Millisecond
	// retryPause is the pause after a call to the store that failed.
	retryPause = 250 * time.Millisecond
	// failureLimit is how long all calls of a holder fail before it releases the lease.
	failureLimit = 4 * time.Second
	// rejoinPause is how long such a holder does not acquire the lease again.
	rejoinPause = 10 * time.Second
)

// ID returns the id of the row of the lease.
func ID() table.ID { return table.ID{Table: Table, Key: rowKey} }

// Row is the content of the row.
type Row struct {
	// Holder is the name of the holding process, unique to its start; empty if the lease
	// was released.
	Holder string `cbor:"1,keyasint"`
	// Node identifies the instance of the last holder.
	Node  string `cbor:"2,keyasint"`
	Token uint64 `cbor:"3,keyasint"`
	// Renewals counts the renewals of the lease.
	Renewals uint64 `cbor:"4,keyasint"`
	// Cleared is set once the wait of rule 5 was over.
	Cleared bool `cbor:"5,keyasint,omitempty"`
}

// Encode returns the stored value of a row.
func (ro Row) Encode() ([]byte, error) { return cbor.Marshal(ro) }

// DecodeRow decodes a stored value.
func DecodeRow(raw []byte) (Row, error) {
	var ro Row
	err := cbor.Unmarshal(raw, &ro)
	return ro, err
}

// Instant is a reading of both clocks of a process.
type Instant struct {
	// At has a monotonic reading, which does not count suspensions.
	At time.Time
	// Boot is the time since the start of the machine, suspensions included.
	Boot time.Duration
}

// Candidacy is the place of a process among the candidates for the lease.
type Candidacy struct {
	// Eligible is false for a process that does not acquire the lease.
	Eligible bool
	// Wait is how long after the lease became available the process acquires it.
	Wait time.Duration
}

// Kind is what a process does next.
type Kind string

// The kinds of steps.
const (
	Wait  Kind = "wait"
	Read  Kind = "read"
	Write Kind = "write"
)

// Step is what a process does next: wait for some time, read the row, or write it if it
// has the expected version.
type Step struct {
	Kind   Kind
	For    time.Duration
	Row    Row
	Expect uint64
}

// Lease is the state of one process. It makes no calls and is not safe for concurrent use.
// Each step that is not a wait ends with one call of RowRead, Acknowledged or Failed.
type Lease struct {
	// Name is unique to the process, Node to the instance.
	Name, Node string
	// TTL is the lease time; zero means DefaultTTL.
	TTL time.Duration

	// row and version were read last, or written with an acknowledgement. known is false if
	// the row may have changed by a write of this process whose outcome is unknown.
	row     Row
	version uint64
	known   bool
	// read is false until a row was read. firstSeen is when the answer with this version
	// arrived first, lastSeen when the last read that found it was sent.
	read                bool
	firstSeen, lastSeen time.Time

	// pending is the row that is being written, sent at sentAt.
	pending Row
	sentAt  Instant

	holds bool
	// renewed is when the last acknowledged write of the holder was sent; the zero value
	// means that there is none.
	renewed Instant
	// acquired is when this process learned that it holds the lease.
	acquired time.Time
	// releasing is set from the decision to release the lease until it is released.
	releasing bool

	retryAt time.Time
	// stopped is set if the lease is not acquired again; rejoinAt is until when not.
	stopped  bool
	rejoinAt time.Time
	// failingSince is when the first failed call after the last successful one ended.
	failingSince time.Time
}

func (le *Lease) ttl() time.Duration {
	if le.TTL > 0 {
		return le.TTL
	}
	return DefaultTTL
}

// Holds reports whether this process holds the lease as far as it knows, and the token.
// Only Permit tells whether it may call.
func (le *Lease) Holds() (token uint64, ok bool) { return le.row.Token, le.holds }

// Permit reports whether the process may send a call now, with this token (rules 4, 5
// and 7).
func (le *Lease) Permit(now Instant) (token uint64, ok bool) {
	if !le.holds || le.releasing || le.renewed.At.IsZero() {
		return 0, false
	}
	valid := le.ttl() - callMargin
	if now.At.Sub(le.renewed.At) >= valid || now.Boot-le.renewed.Boot >= valid || !le.cleared(now.At) {
		return 0, false
	}
	return le.row.Token, true
}

// cleared reports whether the holder has waited long enough (rules 5 and 6).
func (le *Lease) cleared(now time.Time) bool {
	return le.row.Cleared || now.Sub(le.acquired) >= le.ttl()
}

// Next returns the next step.
func (le *Lease) Next(now Instant, ca Candidacy) Step {
	if left := le.retryAt.Sub(now.At); left > 0 {
		return Step{Kind: Wait, For: left}
	}
	if le.holds {
		return le.nextOfHolder(now)
	}
	if le.stopped || !ca.Eligible || now.At.Before(le.rejoinAt) {
		return Step{Kind: Wait, For: RenewInterval}
	}
	if !le.known {
		return Step{Kind: Read}
	}
	if le.available(ca.Wait) {
		// The holder of the same node had waited, so its successor need not (rule 6).
		skips := le.row.Node == le.Node && le.row.Cleared
		return le.write(now, Row{Holder: le.Name, Node: le.Node, Token: le.row.Token + 1, Cleared: skips})
	}
	if left := le.lastSeen.Add(RenewInterval).Sub(now.At); left > 0 {
		return Step{Kind: Wait, For: left}
	}
	return Step{Kind: Read}
}

func (le *Lease) nextOfHolder(now Instant) Step {
	if !le.known {
		return Step{Kind: Read}
	}
	next := le.row
	if le.releasing {
		next.Holder, next.Cleared = "", le.cleared(now.At)
		return le.write(now, next)
	}
	if left := le.renewed.At.Add(RenewInterval).Sub(now.At); left > 0 {
		return Step{Kind: Wait, For: left}
	}
	next.Renewals++
	next.Cleared = le.cleared(now.At)
	return le.write(now, next)
}

// available reports whether the lease was released or has expired (rule 3), at least a time
// ago.
func (le *Lease) available(wait time.Duration) bool {
	if le.row.Holder != "" {
		wait += le.ttl() + expiryMargin
	}
	return le.lastSeen.Sub(le.firstSeen) >= wait || (wait == 0 && le.read)
}

func (le *Lease) write(now Instant, ro Row) Step {
	le.pending, le.sentAt = ro, now
	return Step{Kind: Write, Row: ro, Expect: le.version}
}

// RowRead is the answer to a read that was sent at sentAt. The version is zero if there is
// no row.
func (le *Lease) RowRead(sentAt, now time.Time, ro Row, version uint64) {
	if le.read && version < le.version {
		le.retryAt = now.Add(retryPause) // an answer from before a write that is known here
		return
	}
	if !le.read || version != le.version {
		le.firstSeen, le.lastSeen = now, now
	} else if sentAt.After(le.lastSeen) {
		le.lastSeen = sentAt
	}
	le.row, le.version, le.read, le.known = ro, version, true, true
	switch {
	case ro.Holder != le.Name:
		le.holds, le.releasing = false, false
	case !le.holds: // a write of this process without an answer has taken effect
		le.hold(now)
	}
}

func (le *Lease) hold(now time.Time) {
	le.holds, le.acquired, le.renewed, le.failingSince = true, now, Instant{}, time.Time{}
	le.releasing = le.stopped || now.Before(le.rejoinAt)
}

// Acknowledged is the answer to a write that took effect and gave the row this version.
func (le *Lease) Acknowledged(now time.Time, version uint64) {
	le.row, le.version, le.read, le.known = le.pending, version, true, true
	le.firstSeen, le.lastSeen = now, now
	if le.row.Holder != le.Name {
		le.holds, le.releasing = false, false
		return
	}
	if !le.holds {
		le.hold(now)
	}
	le.renewed = le.sentAt
}

// Failed ends a step whose call failed, or whose write found another version. The write may
// have taken effect, or still may.
func (le *Lease) Failed(now time.Time) {
	le.known = false
	le.retryAt = now.Add(retryPause)
}

// Release has the process release the lease and not acquire it again.
func (le *Lease) Release() {
	le.stopped = true
	le.releasing = le.holds
}

// Called records the outcome of a call to the platform. A holder whose calls have failed
// for failureLimit while the store answers releases the lease and does not acquire it again
// for rejoinPause; released reports that.
func (le *Lease) Called(now Instant, succeeded bool) (released bool) {
	if succeeded || !le.holds {
		le.failingSince = time.Time{}
		return false
	}
	if le.failingSince.IsZero() {
		le.failingSince = now.At
	}
	if _, permitted := le.Permit(now); !permitted || now.At.Sub(le.failingSince) < failureLimit {
		return false
	}
	le.releasing, le.rejoinAt, le.failingSince = true, now.At.Add(rejoinPause), time.Time{}
	return true
}
