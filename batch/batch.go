// Package batch holds batch jobs: many items that are accepted at once, run
// later, and listed once each at fixed positions.
//
//  1. A job is accepted by one conditional transaction on its head. Its body is
//     written before or with the head; a body without a head is no job.
//  2. Each owner raises the epoch in the head, so the conditional writes of a
//     former owner no longer apply.
//  3. A result is listed once the transaction that appends it has committed.
//     The transaction expects the head at the version that the owner knows and
//     names itself in the head, so a lost answer is settled by reading it.
//  4. An ended job takes no more results.
package batch

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/table"
)

// Header is one header of an item, as the trainer sent it.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Scorer is the call that scores an item's text.
type Scorer struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Item is one request for tokens of a job.
type Item struct {
	ID      string   `cbor:"1,keyasint"`
	Path    string   `cbor:"2,keyasint"`
	Headers []Header `cbor:"3,keyasint"`
	Body    []byte   `cbor:"4,keyasint"`
	// MaxTokens is the prompt and the longest output together.
	MaxTokens int    `cbor:"5,keyasint"`
	Group     string `cbor:"6,keyasint"`
	// Scorer is nil for an item without a score.
	Scorer *Scorer `cbor:"7,keyasint,omitempty"`
	// Hint is the trainer's estimate of the output tokens; zero if not given.
	Hint int `cbor:"8,keyasint,omitempty"`
	// PromptTokens is the tokens of the prompt; zero if not given.
	PromptTokens int `cbor:"9,keyasint,omitempty"`
}

// Job is a batch job as it was submitted.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Host  string `cbor:"2,keyasint"`
	Path  string `cbor:"3,keyasint"`
	Step  int    `cbor:"4,keyasint"`
	Model string `cbor:"5,keyasint"`
	// Oldest is the oldest version of the weights that may generate its tokens.
	Oldest uint64 `cbor:"6,keyasint"`
	// RequiredGroups is how many whole groups the trainer waits for.
	RequiredGroups int    `cbor:"7,keyasint"`
	Items          []Item `cbor:"8,keyasint"`
}

// Validate tells what is wrong with a job, or nil.
func (jo *Job) Validate() error {
	if jo.ID == "" {
		return errors.New("the job has no id")
	}
	if len(jo.ID) > MaxIDBytes {
		return errors.Newf("the id of the job is longer than %d bytes", MaxIDBytes)
	}
	if len(jo.Items) == 0 {
		return errors.New("the job has no items")
	}
	seen := make(map[string]bool, len(jo.Items))
	for _, it := range jo.Items {
		if it.ID == "" || it.Path == "" || len(it.ID) > MaxIDBytes {
			return errors.New("an item has no id, no path or an id that is too long")
		}
		if seen[it.ID] {
			return errors.Newf("item %s stands twice", it.ID)
		}
		seen[it.ID] = true
	}
	return nil
}

// State is what became of an item.
type State string

// The states of a result.
const (
	Completed State = "completed"
	Errored   State = "errored"
)

// Result is a listed item.
type Result struct {
	ID       string   `cbor:"1,keyasint"`
	State    State    `cbor:"2,keyasint"`
	Text     string   `cbor:"3,keyasint"`
	Versions []uint64 `cbor:"4,keyasint"`
	Score    string   `cbor:"5,keyasint"`
}

// Head is the row that decides on a job.
type Head struct {
	// Epoch rises with each owner.
	Epoch uint64 `cbor:"1,keyasint"`
	// Owner is the entry that runs the job; empty when it was released.
	Owner string `cbor:"2,keyasint"`
	// Total is the number of items, Listed the number of results.
	Total  int  `cbor:"3,keyasint"`
	Listed int  `cbor:"4,keyasint"`
	Ended  bool `cbor:"5,keyasint"`
	// Submitted is the Unix millisecond of the first submission.
	Submitted int64 `cbor:"6,keyasint"`
	// WriteID names the last transaction on the head.
	WriteID uint64 `cbor:"7,keyasint"`
	// Route is the name of the job's route.
	Route string `cbor:"10,keyasint"`
}

// Open tells whether items of the job may still be listed.
func (he Head) Open() bool { return !he.Ended && he.Listed < he.Total }

// Age is how long ago the job was submitted.
func (he Head) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(he.Submitted)) }

// WithOwner returns the head under a new owner.
func (he Head) WithOwner(owner string) Head {
	he.Owner, he.Epoch = owner, he.Epoch+1
	return he
}

// WithEnded returns the head of the ended job.
func (he Head) WithEnded() Head {
	he.Ended = true
	return he
}

// WithListed returns the head after an append, named by the write.
func (he Head) WithListed(count int, write uint64) Head {
	he.Listed, he.WriteID = he.Listed+count, write
	return he
}

// Listing is results of a job from a position on.
type Listing struct {
	Total   int
	Results []Result
}

// Partial is what was generated of an item that its job did not list.
type Partial struct {
	ID string `cbor:"1,keyasint"`
	// Events holds the data of the events from the first one on.
	Events []string `cbor:"2,keyasint"`
	// Versions holds the version of the weights of each event.
	Versions []uint64 `cbor:"3,keyasint"`
	// Complete marks a whole text.
	Complete bool `cbor:"4,keyasint"`
	// Step is the step of the job that it was generated for.
	Step int `cbor:"5,keyasint"`
	// Rows is where the text lies in the store; it is not part of the value.
	Rows []table.ID `cbor:"-"`
}

// Permitted tells whether all events were generated by permitted versions.
func (pa Partial) Permitted(oldest uint64) bool {
	for _, ve := range pa.Versions {
		if ve < oldest {
			return false
		}
	}
	return len(pa.Versions) == len(pa.Events)
}

// DistinctVersions lists each version once, in ascending order.
func DistinctVersions(versions []uint64) []uint64 {
	sorted := slices.Clone(versions)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// encode turns a value of this package into bytes. The types here always
// encode.
func encode(value any) []byte {
	raw, err := cbor.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode a batch record"))
	}
	return raw
}

// addDigest puts a digest before a value whose rows several transactions write, so
// that rows of two writes are never taken for one value.
func addDigest(raw []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(raw)), raw...)
}

func checkDigest(raw []byte) ([]byte, bool) {
	const digestBytes = 8
	if len(raw) < digestBytes || binary.BigEndian.Uint64(raw) != xxhash.Sum64(raw[digestBytes:]) {
		return nil, false
	}
	return raw[digestBytes:], true
}

func decode(raw []byte, into any, what string) error {
	return errors.Wrapf(cbor.Unmarshal(raw, into), "decode %s", what)
}
