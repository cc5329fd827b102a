// Package table defines the rows of the platform's metadata store, the calls to it
// and their errors. Rows carry versions from one counter that increases with each
// transaction. A transaction is atomic.
package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxTxRows is the number of rows that the store accepts in one transaction.
const MaxTxRows = 100

// ID identifies a row. A transaction may only contain rows of one Part, which may
// be empty.
type ID struct {
	Table string
	Part  string
	Key   string
}

// Row is one version of a row. Deleted marks a row that a watch reports as deleted;
// its value is empty.
type Row struct {
	ID      ID
	Value   []byte
	Version uint64
	Deleted bool
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

// Tx is one transaction. All its rows are in the same part.
type Tx struct {
	Expect []Expect
	Puts   []Put
	Drops  []ID
}

// Range selects rows of one part by key, in ascending order. To is exclusive;
// empty means no bound. A Limit of zero means the store's default.
type Range struct {
	Table string
	Part  string
	From  string
	To    string
	Limit int
}

// Page holds rows as of Version, the newest version of the store when they were
// read. More means that further rows follow.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
	// Now is the store's clock at its answer, which all its clients share; zero if the answer
	// has none. Its origin is not known.
	Now time.Duration
}

// The errors that callers distinguish. After any other error of a commit it is
// unknown whether the commit took effect or still will.
var (
	// ErrConflict means that a row did not have its expected version; nothing was
	// written.
	ErrConflict = errors.New("a row has another version than expected")
	// ErrRefused means that the store did nothing: it is overloaded or not serving.
	ErrRefused = errors.New("the store refused the call")
	// ErrOverloaded is an ErrRefused: the store gets more calls than it serves.
	ErrOverloaded = errors.Wrap(ErrRefused, "overloaded")
	// ErrCompacted means that the store no longer has all changes after a version;
	// the rows must be listed again.
	ErrCompacted = errors.New("the store no longer has the history after the version")
)

// Lister reads rows.
type Lister interface {
	List(ctx context.Context, ra Range) (Page, error)
}

// Client reads and writes rows. Commit returns the version of the transaction.
type Client interface {
	Lister
	Commit(ctx context.Context, tx Tx) (version uint64, err error)
}

// Watcher is a Client that also reports changes. Watch returns the rows of a table
// that changed after a version; if there are none, it waits for one at most the
// given time.
type Watcher interface {
	Client
	Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Page, error)
}

// ListAll reads all pages of a range. The version of the result is that of the first
// page, from which a watch must start, and its clock that of the last.
func ListAll(ctx context.Context, cl Lister, ra Range) (Page, error) {
	var all Page
	for {
		page, err := cl.List(ctx, ra)
		if err != nil {
			return Page{}, err
		}
		if all.Version == 0 {
			// A watch from this version reports changes between the pages.
			all.Version = page.Version
		}
		all.Rows, all.Now = append(all.Rows, page.Rows...), page.Now
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		ra.From = page.Rows[len(page.Rows)-1].ID.Key + "\x00"
	}
}
