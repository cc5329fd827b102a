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
	// Strikes is how many failures in a row close the direct way.
	Strikes = 2
	// ProbeEvery is the pause between probes of a closed way.
	ProbeEvery = 500 * time.Millisecond
	// ListEvery is the pause between lists through a peer: several of them fit
	// the bound on how soon a configuration must be in force.
	ListEvery = 400 * time.Millisecond
	// AwayAfter is how long no answer may come while a direct way is closed: a call
	// of each kind is tried within it.
	AwayAfter = 1500 * time.Millisecond
	// directShare is the part of a call's time that the direct way may take.
	directShare = 0.5
	// mostPeers bounds the peers that one call is tried with.
	mostPeers = 3
)

// Peer passes calls on.
type Peer struct {
	Name  string
	Store table.Caller
}

// Store is the way to the tables. Set the exported fields before use.
type Store struct {
	Direct table.Watcher
	// Peers lists the live peers, in any order.
	Peers  func() []Peer
	Clock  core.Clock
	Logger log.Logger

	mutex   sync.Mutex
	strikes int
	closed  bool
	probed  time.Time
	good    string
	// answered is when the store last answered, by any way.
	answered time.Time
}

// Commit writes a transaction.
func (st *Store) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	var version uint64
	err := st.call(ctx, false, func(ctx context.Context, ca table.Caller) error {
		var err error
		version, err = ca.Commit(ctx, tx)
		return err
	})
	return version, err
}

// List reads rows.
func (st *Store) List(ctx context.Context, ra table.Range) (table.Page, error) {
	var page table.Page
	err := st.call(ctx, true, func(ctx context.Context, ca table.Caller) error {
		var err error
		page, err = ca.List(ctx, ra)
		return err
	})
	return page, err
}

// Watch reports changes (rule 4).
func (st *Store) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (table.Page, error) {
	if !st.direct() && !st.mayProbe() {
		select {
		case <-ctx.Done():
			return table.Page{}, ctx.Err()
		case <-st.Clock.After(ListEvery):
			return table.Page{}, table.ErrCompacted
		}
	}
	page, err := st.Direct.Watch(ctx, name, after, wait)
	if errors.Is(err, table.ErrCompacted) {
		st.heard(nil)
		return page, err
	}
	st.heard(err)
	return page, err
}

func (st *Store) call(ctx context.Context, repeat bool, do func(context.Context, table.Caller) error) error {
	peers := st.order()
	err := errors.Wrap(table.ErrRefused, "no way to the store is open")
	if st.direct() || len(peers) == 0 || (repeat && st.mayProbe()) {
		err = st.once(ctx, st.Direct, do)
		st.heard(err)
	}
	for _, pe := range peers {
		if final(err, repeat) || ctx.Err() != nil {
			break
		}
		if err = st.once(ctx, pe.Store, do); settled(err) {
			st.remember(pe.Name)
		}
	}
	return err
}

// final tells whether a call must not be tried another way (rule 2).
func final(err error, repeat bool) bool {
	return settled(err) || (!repeat && !errors.Is(err, table.ErrRefused))
}

// once tries one way within a part of the time, so that another may follow.
func (*Store) once(ctx context.Context, ca table.Caller, do func(context.Context, table.Caller) error) error {
	if deadline, found := ctx.Deadline(); found {
		share := time.Duration(directShare * float64(time.Until(deadline)))
		call, cancel := context.WithTimeout(ctx, share)
		defer cancel()
		return do(call, ca)
	}
	return do(ctx, ca)
}

// settled tells whether the store itself answered.
func settled(err error) bool {
	return err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrCompacted)
}

func (st *Store) direct() bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return !st.closed
}

func (st *Store) mayProbe() bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	now := st.Clock.Now()
	if now.Sub(st.probed) < ProbeEvery {
		return false
	}
	st.probed = now
	return true
}

// heard counts an outcome of the direct way (rule 3).
func (st *Store) heard(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if settled(err) {
		st.answered = st.Clock.Now()
		if st.closed {
			logs.Info(st.Logger, "direct way to the store open")
		}
		st.strikes, st.closed = 0, false
		return
	}
	st.strikes++
	if st.strikes >= Strikes && !st.closed {
		st.closed, st.probed = true, st.Clock.Now()
		logs.Warn(st.Logger, "direct way to the store closed", "strikes", st.strikes, "err", err)
	}
}

// order lists the peers to try, the last good one first.
func (st *Store) order() []Peer {
	peers := st.Peers()
	st.mutex.Lock()
	good := st.good
	st.mutex.Unlock()
	for at, pe := range peers {
		if pe.Name == good {
			peers[0], peers[at] = peers[at], peers[0]
		}
	}
	return peers[:min(len(peers), mostPeers)]
}

func (st *Store) remember(name string) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.good, st.answered = name, st.Clock.Now()
}

// Away tells whether the store answers nobody at present (rule 6).
func (st *Store) Away() bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return st.closed && st.Clock.Now().Sub(st.answered) > AwayAfter
}
