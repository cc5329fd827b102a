package batch

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"bilberryshelf/core"
	"bilberryshelf/logs"
	"bilberryshelf/table"
)

// Index is a local copy of the heads of all jobs, kept up to date by the feed of
// their table. It is safe for concurrent use. Create it with NewIndex.
type Index struct {
	clock  core.Clock
	logger log.Logger
	mutex  sync.Mutex
	heads  map[string]VersionedHead
	// firstSeen maps a job to when its head first arrived here.
	firstSeen   map[string]time.Time
	changed     chan struct{}
	confirmedAt time.Time
}

// NewIndex returns an empty index.
func NewIndex(clock core.Clock, lg log.Logger) *Index {
	return &Index{
		clock: clock, logger: lg, heads: map[string]VersionedHead{}, firstSeen: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// KnownFor returns how long this process has known a job; zero if it doesn't. It
// never exceeds the job's age and doesn't depend on the clocks of other machines.
func (in *Index) KnownFor(job string) time.Duration {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	since, found := in.firstSeen[job]
	if !found {
		return 0
	}
	return in.clock.Now().Sub(since)
}

// Get returns the head of a job, and whether the job is known.
func (in *Index) Get(job string) (VersionedHead, bool) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	vh, found := in.heads[job]
	return vh, found
}

// Changed returns a channel that is closed when any head changes.
func (in *Index) Changed() <-chan struct{} {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return in.changed
}

// Confirm records that the index was complete at a given time.
func (in *Index) Confirm(at time.Time) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	in.confirmedAt = at
}

// ConfirmedAt returns when the index was last known to be complete.
func (in *Index) ConfirmedAt() time.Time {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return in.confirmedAt
}

// Put records a head that was read or written by this process. It ignores a head
// that is not newer than the known one.
func (in *Index) Put(job string, vh VersionedHead) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	if in.put(job, vh) {
		in.notify()
	}
}

func (in *Index) put(job string, vh VersionedHead) bool {
	if known, found := in.heads[job]; found && known.Version >= vh.Version {
		return false
	}
	if _, seen := in.firstSeen[job]; !seen {
		in.firstSeen[job] = in.clock.Now()
	}
	in.heads[job] = vh
	return true
}

func (in *Index) notify() {
	close(in.changed)
	in.changed = make(chan struct{})
}

// Apply records changed rows of the table of heads.
func (in *Index) Apply(rows []table.Row) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	modified := false
	for _, ro := range rows {
		if ro.Deleted {
			delete(in.heads, ro.ID.Key)
			delete(in.firstSeen, ro.ID.Key)
			modified = true
			continue
		}
		he, err := DecodeHead(ro.Value)
		if err != nil {
			logs.Error(in.logger, "cannot decode the head of a job", "job", ro.ID.Key, "version", ro.Version, "err", err)
			continue
		}
		modified = in.put(ro.ID.Key, VersionedHead{Head: he, Version: ro.Version}) || modified
	}
	if modified {
		in.notify()
	}
}

// All returns the heads of all jobs.
func (in *Index) All() map[string]VersionedHead {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	all := make(map[string]VersionedHead, len(in.heads))
	for job, vh := range in.heads {
		all[job] = vh
	}
	return all
}
