package usage

import (
	"context"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/table"
)

// Stamper is a store whose answers to writes carry its clock, too.
type Stamper interface {
	CommitPage(ctx context.Context, tx table.Tx) (table.Page, error)
}

// Observed is a store whose answers give readings of the platform's clock (Truth). The answer
// of a watch is a reading, too, though a loose one: it bounds the clock by the time that the
// watch waited, which is enough to notice a suspension.
type Observed struct {
	table.Watcher
	Clock core.Clock
	Truth *Truth
}

// Commit writes a transaction.
func (ob Observed) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	st, found := ob.Watcher.(Stamper)
	if !found {
		return ob.Watcher.Commit(ctx, tx)
	}
	page, err := ob.observe(func() (table.Page, error) { return st.CommitPage(ctx, tx) })
	return page.Version, err
}

// List reads rows.
func (ob Observed) List(ctx context.Context, ra table.Range) (table.Page, error) {
	return ob.observe(func() (table.Page, error) { return ob.Watcher.List(ctx, ra) })
}

// Watch reports changes.
func (ob Observed) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (table.Page, error) {
	return ob.observe(func() (table.Page, error) { return ob.Watcher.Watch(ctx, name, after, wait) })
}

func (ob Observed) observe(call func() (table.Page, error)) (table.Page, error) {
	sent := ob.Clock.Now()
	page, err := call()
	if err == nil {
		ob.Truth.Observe(sent, ob.Clock.Now(), page.Now)
	}
	return page, err
}
