// Package relay calls the platform's store directly, or through another entry while
// the direct path is down.
//
// The load pattern: the store refuses the calls of single entries, or a network
// partition separates them from it, for many seconds, while it serves the other
// entries. Without another path, the jobs of such an entry would make no progress
// for that time.
//
//  1. A call takes the direct path while it is up.
//  2. A refused call did nothing and is retried through a peer at once. A write
//     whose outcome is unknown is not retried here: its caller resolves it.
//  3. After FailureThreshold consecutive failures the direct path is down, and
//     calls go through peers, starting with the last that responded. Once per
//     ProbeInterval a read probes the direct path, which is up again after a
//     response. Without peers every call takes the direct path.
//  4. A watch never goes through a peer. While the direct path is down, a watch that
//     is not a probe returns ErrCompacted after ListInterval, so that its caller
//     lists the rows instead.
//  5. A relayed call is never relayed again.
//  6. A store that says on two paths that it is overloaded is: no third path is tried, and
//     the direct path does not count as down. More calls would not help.
//  7. The store is unavailable when the direct path is down and no path has had a
//     response for UnavailableAfter. Callers can then fail without making a call.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"bilberryshelf/core"
	"bilberryshelf/logs"
	"bilberryshelf/table"
)

const (
	// FailureThreshold is how many consecutive failures mark the direct path as down.
	FailureThreshold = 2
	// ProbeInterval is the time between probes of a direct path that is down.
	ProbeInterval = 500 * time.Millisecond
	// ListInterval is the pause between lists through a peer. Several fit into the
	// time within which a new configuration must be in force.
	ListInterval = 400 * time.Millisecond
	// UnavailableAfter is the time without a response after which the store counts as
	// unavailable; it is long enough to try a call of each kind.
	UnavailableAfter = 1500 * time.Millisecond
	// attemptShare is the share of the time left for a call that one attempt may take.
	attemptShare = 0.5
	// maxPeers bounds the peers through which one call is tried.
	maxPeers = 3
)

// Peer is another entry that relays calls to the store.
type Peer struct {
	Name  string
	Store table.Client
}

// Store calls the platform's store on the best available path. Set the exported
// fields before use. It is safe for concurrent use.
type Store struct {
	Direct table.Watcher
	// Peers returns the live peers in any order; Store may reorder the slice.
	Peers  func() []Peer
	Clock  core.Clock
	Logger log.Logger

	mutex      sync.Mutex
	failures   int
	directDown bool
	probedAt   time.Time
	// lastPeer is the name of the peer whose call was answered last.
	lastPeer string
	// answeredAt is when the store last answered on any path.
	answeredAt time.Time
}

// Commit writes a transaction.
func (st *Store) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	var version uint64
	err := st.call(ctx, false, func(ctx context.Context, cl table.Client) error {
		var err error
		version, err = cl.Commit(ctx, tx)
		return err
	})
	return version, err
}

// List reads rows.
func (st *Store) List(ctx context.Context, ra table.Range) (table.Page, error) {
	var page table.Page
	err := st.call(ctx, true, func(ctx context.Context, cl table.Client) error {
		var err error
		page, err = cl.List(ctx, ra)
		return err
	})
	return page, err
}

// Watch reports changes. It returns table.ErrCompacted while the direct path is down
// (rule 4).
func (st *Store) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (table.Page, error) {
	if !st.directUp() && !st.claimProbe() {
		select {
		case <-ctx.Done():
			return table.Page{}, ctx.Err()
		case <-st.Clock.After(ListInterval):
			return table.Page{}, table.ErrCompacted
		}
	}
	page, err := st.Direct.Watch(ctx, name, after, wait)
	switch {
	case errors.Is(err, table.ErrCompacted):
		st.recordDirect(nil)
	case errors.Is(err, table.ErrOverloaded): // a call tells whether other paths are better (rule 6)
	default:
		st.recordDirect(err)
	}
	return page, err
}

// call tries a call on the direct path and through peers (rules 1 to 3).
func (st *Store) call(ctx context.Context, readOnly bool, do func(context.Context, table.Client) error) error {
	peers := st.candidates()
	err := errors.Wrap(table.ErrRefused, "no path to the store is available")
	if st.directUp() || len(peers) == 0 || (readOnly && st.claimProbe()) {
		err = st.attempt(ctx, st.Direct, do)
		st.recordDirect(err)
	}
	for _, pe := range peers {
		if isFinal(err, readOnly) || ctx.Err() != nil {
			break
		}
		overloaded := errors.Is(err, table.ErrOverloaded)
		if err = st.attempt(ctx, pe.Store, do); isResponse(err) {
			st.recordPeer(pe.Name)
		}
		if overloaded && errors.Is(err, table.ErrOverloaded) { // rule 6
			st.recordDirect(nil)
			break
		}
	}
	return err
}

// isFinal reports whether a call must not be retried on another path (rule 2).
func isFinal(err error, readOnly bool) bool {
	return isResponse(err) || (!readOnly && !errors.Is(err, table.ErrRefused))
}

// attempt makes a call on one path within attemptShare of the time left, which
// leaves time for an attempt on another path.
func (*Store) attempt(ctx context.Context, cl table.Client, do func(context.Context, table.Client) error) error {
	if deadline, found := ctx.Deadline(); found {
		share := time.Duration(attemptShare * float64(time.Until(deadline)))
		call, cancel := context.WithTimeout(ctx, share)
		defer cancel()
		return do(call, cl)
	}
	return do(ctx, cl)
}

// isResponse reports whether the outcome of a call came from the store itself.
func isResponse(err error) bool {
	return err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrCompacted)
}

func (st *Store) directUp() bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return !st.directDown
}

// claimProbe reports whether a probe of the direct path is due, and if so counts
// the caller's call as that probe.
func (st *Store) claimProbe() bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	now := st.Clock.Now()
	if now.Sub(st.probedAt) < ProbeInterval {
		return false
	}
	st.probedAt = now
	return true
}

// recordDirect records the outcome of a call on the direct path (rule 3).
func (st *Store) recordDirect(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if isResponse(err) {
		st.answeredAt = st.Clock.Now()
		if st.directDown {
			logs.Info(st.Logger, "direct path to the store is up")
		}
		st.failures, st.directDown = 0, false
		return
	}
	st.failures++
	if st.failures >= FailureThreshold && !st.directDown {
		st.directDown, st.probedAt = true, st.Clock.Now()
		logs.Warn(st.Logger, "direct path to the store is down", "strikes", st.failures, "err", err)
	}
}

// candidates returns the peers to try, starting with the last that answered.
func (st *Store) candidates() []Peer {
	peers := st.Peers()
	st.mutex.Lock()
	last := st.lastPeer
	st.mutex.Unlock()
	for at, pe := range peers {
		if pe.Name == last {
			peers[0], peers[at] = peers[at], peers[0]
		}
	}
	return peers[:min(len(peers), maxPeers)]
}

// recordPeer records a call that was answered through a peer.
func (st *Store) recordPeer(name string) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.lastPeer, st.answeredAt = name, st.Clock.Now()
}

// Unavailable reports whether the store answers on no path at present (rule 7).
func (st *Store) Unavailable() bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return st.directDown && st.Clock.Now().Sub(st.answeredAt) > UnavailableAfter
}
