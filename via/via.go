// Package via reaches the platform's tables directly or through another entry.
//
// The load pattern: the store turns single entries away, or a partition parts
// them from it, for many seconds, while it serves the others. What such an
// entry owns would wait all that time.
//
//  1. A call goes directly while the direct way is sound.
//  2. A refused call did nothing and goes through a peer at once. A call whose
//     outcome is open is not repeated here: its caller settles it.
//  3. After Strikes failures in a row the direct way is closed, and calls go
//     through peers, the last good one first. A read tries the direct way each
//     ProbeEvery, and opens it again. Without peers every call goes directly.
//  4. A closed way watches nothing: the watcher is told to list again, at the
//     pace of ListEvery.
//  5. A call that a peer passes on is never passed on again.
//  6. The store is away when the direct way is closed and nobody has got an answer
//     of it for AwayAfter. Callers need not wait for a call to find out.
package via

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
	// FailureThreshold is how many failures in a row close the direct way.
	FailureThreshold = 2
	// ProbeInterval is the pause between probes of a closed way.
	ProbeInterval = 500 * time.Millisecond
	// ListInterval is the pause between lists through a peer: several of them fit
	// the bound on how soon a configuration must be in force.
	ListInterval = 400 * time.Millisecond
	// UnavailableAfter is how long no answer may come while a direct way is closed: a call
	// of each kind is tried within it.
	UnavailableAfter = 1500 * time.Millisecond
	// attemptShare is the part of a call's time that the direct way may take.
	attemptShare = 0.5
	// maxPeers bounds the peers that one call is tried with.
	maxPeers = 3
)

// Peer passes calls on.
type Peer struct {
	Name  string
	Store table.Client
}

// Store is the way to the tables. Set the exported fields before use.
type Store struct {
	Direct table.Watcher
	// Peers lists the live peers, in any order.
	Peers  func() []Peer
	Clock  core.Clock
	Logger log.Logger

	mutex      sync.Mutex
	failures   int
	directDown bool
	probedAt   time.Time
	lastPeer   string
	// answeredAt is when the store last answered, by any way.
	answeredAt time.Time
}

// Commit writes a transaction.
func (st *Store) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	var version uint64
	err := st.call(ctx, false, func(ctx context.Context, ca table.Client) error {
		var err error
		version, err = ca.Commit(ctx, tx)
		return err
	})
	return version, err
}

// List reads rows.
func (st *Store) List(ctx context.Context, ra table.Range) (table.Page, error) {
	var page table.Page
	err := st.call(ctx, true, func(ctx context.Context, ca table.Client) error {
		var err error
		page, err = ca.List(ctx, ra)
		return err
	})
	return page, err
}

// Watch reports changes (rule 4).
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
	if errors.Is(err, table.ErrCompacted) {
		st.recordDirect(nil)
		return page, err
	}
	st.recordDirect(err)
	return page, err
}

func (st *Store) call(ctx context.Context, repeat bool, do func(context.Context, table.Client) error) error {
	peers := st.candidates()
	err := errors.Wrap(table.ErrRefused, "no way to the store is open")
	if st.directUp() || len(peers) == 0 || (repeat && st.claimProbe()) {
		err = st.attempt(ctx, st.Direct, do)
		st.recordDirect(err)
	}
	for _, pe := range peers {
		if isFinal(err, repeat) || ctx.Err() != nil {
			break
		}
		if err = st.attempt(ctx, pe.Store, do); isAnswer(err) {
			st.recordPeer(pe.Name)
		}
	}
	return err
}

// isFinal tells whether a call must not be tried another way (rule 2).
func isFinal(err error, repeat bool) bool {
	return isAnswer(err) || (!repeat && !errors.Is(err, table.ErrRefused))
}

// attempt tries one way within a part of the time, so that another may follow.
func (*Store) attempt(ctx context.Context, ca table.Client, do func(context.Context, table.Client) error) error {
	if deadline, found := ctx.Deadline(); found {
		share := time.Duration(attemptShare * float64(time.Until(deadline)))
		call, cancel := context.WithTimeout(ctx, share)
		defer cancel()
		return do(call, ca)
	}
	return do(ctx, ca)
}

// isAnswer tells whether the store itself answered.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrCompacted)
}

func (st *Store) directUp() bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return !st.directDown
}

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

// recordDirect counts an outcome of the direct way (rule 3).
func (st *Store) recordDirect(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if isAnswer(err) {
		st.answeredAt = st.Clock.Now()
		if st.directDown {
			logs.Info(st.Logger, "direct way to the store open")
		}
		st.failures, st.directDown = 0, false
		return
	}
	st.failures++
	if st.failures >= FailureThreshold && !st.directDown {
		st.directDown, st.probedAt = true, st.Clock.Now()
		logs.Warn(st.Logger, "direct way to the store closed", "strikes", st.failures, "err", err)
	}
}

// candidates lists the peers to try, the last good one first.
func (st *Store) candidates() []Peer {
	peers := st.Peers()
	st.mutex.Lock()
	good := st.lastPeer
	st.mutex.Unlock()
	for at, pe := range peers {
		if pe.Name == good {
			peers[0], peers[at] = peers[at], peers[0]
		}
	}
	return peers[:min(len(peers), maxPeers)]
}

func (st *Store) recordPeer(name string) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.lastPeer, st.answeredAt = name, st.Clock.Now()
}

// Unavailable tells whether the store answers nobody at present (rule 6).
func (st *Store) Unavailable() bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return st.directDown && st.Clock.Now().Sub(st.answeredAt) > UnavailableAfter
}
