// Package table names rows of the platform's metadata store and the outcomes
// of calls to it. Rows carry versions from one counter that rises with each
// transaction; a transaction applies whole or not at all.
package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ID names a row. Part groups the rows that one transaction may touch; it may
// be empty.
type ID struct {
	Table string
	Part  string
	Key   string
}

// Row is one row at one version. Dropped marks a row that a feed reports as
// removed; its value is empty.
type Row struct {
	ID      ID
	Value   []byte
	Version uint64
	Dropped bool
}

// Expect is the version that a row must have for a transaction to apply; zero
// means that the row must not exist.
type Expect struct {
	ID      ID
	Version uint64
}

// Put writes a row.
type Put struct {
	ID    ID
	Value []byte
}

// Tx is one transaction. All its rows share a part.
type Tx struct {
	Expect []Expect
	Puts   []Put
	Drops  []ID
}

// Range selects rows of one part by key, in ascending order. To is exclusive;
// empty means no bound. Limit zero means the store's own.
type Range struct {
	Table string
	Part  string
	From  string
	To    string
	Limit int
}

// Page is rows as of one moment. Version is the newest version of the store at
// that moment.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
}

// The errors that callers decide on. Any other error of a commit leaves open
// whether it took effect, now or later.
var (
	// ErrConflict means that an expectation did not hold; nothing was written.
	ErrConflict = errors.New("a row has another version than expected")
	// ErrRefused means that the store did nothing: busy, or not serving.
	ErrRefused = errors.New("the store refused the call")
	// ErrCompacted means that the history after a version is gone; the rows
	// must be listed again.
	ErrCompacted = errors.New("the store no longer has that history")
)

// Client is a reader and writer of rows.
type Client interface {
	Commit(ctx context.Context, tx Tx) (version uint64, err error)
	List(ctx context.Context, ra Range) (Page, error)
}

// Watcher is a Caller that also reports changes. Watch returns the rows of a
// table that changed after a version, waiting at most the given span for one.
type Watcher interface {
	Client
	Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Page, error)
}

// ListAll reads all pages of a range.
func ListAll(ctx context.Context, ca Client, ra Range) (Page, error) {
	var all Page
	for {
		page, err := ca.List(ctx, ra)
		if err != nil {
			return Page{}, err
		}
		if all.Version == 0 {
			// Changes after the first page are reported by a watch from here.
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		ra.From = page.Rows[len(page.Rows)-1].ID.Key + "\x00"
	}
}
