// Package batch stores batch jobs. The items of a job are accepted at once and run
// later, and the result of each is listed exactly once, at a fixed position.
//
//  1. A job is accepted by one conditional transaction on its head row. The body
//     is written before the head or with it; a body without a head is not a job.
//  2. Each new owner increments the epoch in the head, which makes the conditional
//     writes of previous owners fail.
//  3. A result is listed once the transaction that appends it has committed. The
//     transaction expects the head at the version known to the owner, and writes
//     an id of its own to the head. After a lost response, the head is read to see
//     whether the write took effect.
//  4. No results are appended to an ended job.
//  5. A job is ended by a conditional write of its head. If the owner changes the head too
//     often for that, the job is sealed first: a row of its own, written unconditionally,
//     which all other writes of the head expect to be absent. An owner that finds its job
//     sealed ends it.
package batch

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/table"
)

// Header is a header of an item's request, as the trainer sent it.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Scorer is the request that has an item's text scored.
type Scorer struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Item is one generation request of a job.
type Item struct {
	ID      string   `cbor:"1,keyasint"`
	Path    string   `cbor:"2,keyasint"`
	Headers []Header `cbor:"3,keyasint"`
	Body    []byte   `cbor:"4,keyasint"`
	// MaxTokens is the length of the prompt plus the longest permitted output.
	MaxTokens int    `cbor:"5,keyasint"`
	Group     string `cbor:"6,keyasint"`
	// Scorer is nil for an item without a score.
	Scorer *Scorer `cbor:"7,keyasint,omitempty"`
	// Hint is the trainer's estimate of the output length in tokens; zero if not
	// given.
	Hint int `cbor:"8,keyasint,omitempty"`
	// PromptTokens is the length of the prompt; zero if not given.
	PromptTokens int `cbor:"9,keyasint,omitempty"`
}

// Job is a batch job as it was submitted.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Host  string `cbor:"2,keyasint"`
	Path  string `cbor:"3,keyasint"`
	Step  int    `cbor:"4,keyasint"`
	Model string `cbor:"5,keyasint"`
	// MinVersion is the oldest permitted version of the weights.
	MinVersion uint64 `cbor:"6,keyasint"`
	// RequiredGroups is the number of complete groups that the trainer waits for.
	RequiredGroups int    `cbor:"7,keyasint"`
	Items          []Item `cbor:"8,keyasint"`
	// Workspace is the name of the workspace that submitted the job; empty if there was none.
	Workspace string `cbor:"9,keyasint,omitempty"`
	// Terms are those of the job's route, Scorers those of the routes of its scoring calls.
	// Jobs of earlier releases have none.
	Terms   *Terms  `cbor:"10,keyasint,omitempty"`
	Scorers []Terms `cbor:"11,keyasint,omitempty"`
}

// Validate returns an error if an id or a path is missing, too long, not unique, or not a
// valid key in the store.
func (jo *Job) Validate() error {
	if jo.ID == "" {
		return errors.New("the job has no id")
	}
	if len(jo.ID) > MaxIDBytes || !utf8.ValidString(jo.ID) {
		return errors.Newf("the id of the job is longer than %d bytes, or not UTF-8", MaxIDBytes)
	}
	if len(jo.Items) == 0 {
		return errors.New("the job has no items")
	}
	seen := make(map[string]bool, len(jo.Items))
	for _, it := range jo.Items {
		if err := it.Validate(); err != nil {
			return err
		}
		if seen[it.ID] {
			return errors.Newf("item %s occurs twice", it.ID)
		}
		seen[it.ID] = true
	}
	return nil
}

// Validate returns an error if the item could not be stored or run.
func (it Item) Validate() error {
	if it.ID == "" || it.Path == "" || len(it.ID) > MaxIDBytes {
		return errors.New("an item has no id, no path or an id that is too long")
	}
	return nil
}

// State is the final state of an item.
type State string

// The states of a result.
const (
	Completed State = "completed"
	Errored   State = "errored"
)

// Result is the result of an item.
type Result struct {
	ID       string   `cbor:"1,keyasint"`
	State    State    `cbor:"2,keyasint"`
	Text     string   `cbor:"3,keyasint"`
	Versions []uint64 `cbor:"4,keyasint"`
	Score    string   `cbor:"5,keyasint"`
}

// MaxScoreBytes is the maximum length of a score. The stamps of targets have some 40 bytes.
const MaxScoreBytes = 4 << 10

// MaxTextBytes is the maximum length of a text: a result must fit one transaction, also with
// its score and its versions.
const MaxTextBytes = maxTxBytes - 4*MaxScoreBytes

// Fits reports whether the result can be stored, whatever its score.
func (re Result) Fits() bool {
	const (
		versionBytes  = 9
		overheadBytes = 64 // keys and lengths
	)
	size := len(re.ID) + len(re.State) + len(re.Text) + versionBytes*len(re.Versions) + overheadBytes
	return size+MaxScoreBytes <= maxTxBytes
}

// Head is the authoritative state of a job, stored in one row.
type Head struct {
	// Epoch is incremented by each new owner.
	Epoch uint64 `cbor:"1,keyasint"`
	// Owner is the name of the entry that runs the job; empty if it was released.
	Owner string `cbor:"2,keyasint"`
	// Total is the number of items, Listed the number of results.
	Total  int  `cbor:"3,keyasint"`
	Listed int  `cbor:"4,keyasint"`
	Ended  bool `cbor:"5,keyasint"`
	// Submitted is the Unix millisecond of the first submission.
	Submitted int64 `cbor:"6,keyasint"`
	// WriteID is a random id of the last transaction on the head.
	WriteID uint64 `cbor:"7,keyasint"`
	// Route is the name of the job's route.
	Route string `cbor:"10,keyasint"`
	// Workspace is that of the job. Jobs of earlier releases have none.
	Workspace string `cbor:"11,keyasint,omitempty"`
	// Public is set if the job's route needed no key when the job was accepted.
	Public bool `cbor:"12,keyasint,omitempty"`
	// SubmittedTo identifies the host and path of the submission; zero in jobs of earlier
	// releases.
	SubmittedTo uint64 `cbor:"13,keyasint,omitempty"`
}

// Open reports whether results of the job may still be listed.
func (he Head) Open() bool { return !he.Ended && he.Listed < he.Total }

// Age returns the time since the job was submitted.
func (he Head) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(he.Submitted)) }

// WithOwner returns the head with a new owner and the next epoch.
func (he Head) WithOwner(owner string) Head {
	he.Owner, he.Epoch = owner, he.Epoch+1
	return he
}

// WithEnded returns the head of the job once it is ended.
func (he Head) WithEnded() Head {
	he.Ended = true
	return he
}

// WithListed returns the head after count results were appended by a write.
func (he Head) WithListed(count int, write uint64) Head {
	he.Listed, he.WriteID = he.Listed+count, write
	return he
}

// Listing holds results of a job from a position on.
type Listing struct {
	Total   int
	Results []Result
}

// Partial is the text generated so far for an item that is not listed.
type Partial struct {
	ID string `cbor:"1,keyasint"`
	// Events holds the data of all events so far.
	Events []string `cbor:"2,keyasint"`
	// Versions holds for each event the version of the weights that generated it.
	Versions []uint64 `cbor:"3,keyasint"`
	// Complete is set if the text is complete.
	Complete bool `cbor:"4,keyasint"`
	// Step is the step of the job for which the text was generated.
	Step int `cbor:"5,keyasint"`
	// Software is the version of the software of the engines that generated it.
	Software string `cbor:"6,keyasint,omitempty"`
	// Service is the service of those engines; empty in texts of earlier releases.
	Service string `cbor:"7,keyasint,omitempty"`
	// Rows are the rows that hold the text; not part of the stored value.
	Rows []table.ID `cbor:"-"`
}

// Permitted reports whether each event was generated by version minVersion or newer.
func (pa Partial) Permitted(minVersion uint64) bool {
	for _, ve := range pa.Versions {
		if ve < minVersion {
			return false
		}
	}
	return len(pa.Versions) == len(pa.Events)
}

// TextBytes returns the size of the text: the events, each with the line feed after it.
func (pa Partial) TextBytes() int {
	sum := len(pa.Events)
	for _, ev := range pa.Events {
		sum += len(ev)
	}
	return sum
}

// isUTF8 reports whether all events are UTF-8.
func (pa Partial) isUTF8() bool {
	return !slices.ContainsFunc(pa.Events, func(ev string) bool { return !utf8.ValidString(ev) })
}

// DistinctVersions returns each version once, in ascending order.
func DistinctVersions(versions []uint64) []uint64 {
	sorted := slices.Clone(versions)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// encode encodes a value of this package as CBOR. It panics on an error, since all
// types of this package can be encoded.
func encode(value any) []byte {
	raw, err := cbor.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode a batch record"))
	}
	return raw
}

// addDigest prepends a digest to a value whose rows are written by several
// transactions. With it, a reader detects a mix of rows of two writes.
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

// decoder accepts strings that are not UTF-8. Earlier releases stored texts and scores
// unchecked, and one of them must not make the other results of its job unreadable.
var decoder = sync.OnceValue(func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(errors.Wrap(err, "options of the decoder"))
	}
	return mode
})

func decode(raw []byte, target any, what string) error {
	return errors.Wrapf(decoder().Unmarshal(raw, target), "decode %s", what)
}
