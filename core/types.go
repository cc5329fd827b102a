package core

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Priority orders queued requests. The lender sets the highest priority that
// requests under a loan may have.
type Priority string

// The priorities, highest first.
const (
	High   Priority = "high"
	Normal Priority = "normal"
	Low    Priority = "low"
)

// Rank returns 0 for the highest priority and a larger number for each lower
// one. The zero value ranks as Normal.
func (pr Priority) Rank() int {
	switch pr {
	case High:
		return 0
	case Low:
		return 2
	default:
		return 1
	}
}

// Valid reports whether the priority is one of the three.
func (pr Priority) Valid() bool { return pr == High || pr == Normal || pr == Low }

// AtMost returns the lower of the two priorities.
func (pr Priority) AtMost(limit Priority) Priority {
	if pr.Rank() < limit.Rank() {
		return limit
	}
	return pr
}

// BorrowerKind is the kind of client that holds a loan.
type BorrowerKind string

// The kinds of borrower.
const (
	Trainer BorrowerKind = "trainer"
	Caller  BorrowerKind = "caller"
	Service BorrowerKind = "service"
)

// Valid reports whether the kind is one of the three.
func (bk BorrowerKind) Valid() bool { return bk == Trainer || bk == Caller || bk == Service }

// State is the lifecycle state of a target or an instance.
type State string

// The states of a target or an instance.
const (
	Starting State = "starting"
	Serving  State = "serving"
	Draining State = "draining"
	Down     State = "down"
)

// AttemptID identifies one attempt of a request.
type AttemptID [16]byte

// ParseAttemptID reads an attempt ID from the wire. It fails unless raw has 16
// bytes.
func ParseAttemptID(raw []byte) (AttemptID, error) {
	var id AttemptID
	if len(raw) != len(id) {
		return id, errors.Newf("an attempt id has %d bytes, not %d", len(id), len(raw))
	}
	copy(id[:], raw)
	return id, nil
}

// Digest hashes the parts of a request that a repeat must have in common with
// the first one.
func Digest(method, path string, body []byte) uint64 {
	ha := xxhash.New()
	_, _ = ha.WriteString(method)
	_, _ = ha.Write([]byte{0})
	_, _ = ha.WriteString(path)
	_, _ = ha.Write([]byte{0})
	_, _ = ha.Write(body)
	return ha.Sum64()
}

// Rendezvous returns the rendezvous hashing weight of a name for a key. The name
// with the highest weight owns the key. All processes must compute the same
// weights.
func Rendezvous(key, name string) uint64 {
	ha := xxhash.New()
	_, _ = ha.WriteString(key)
	_, _ = ha.Write([]byte{0})
	_, _ = ha.WriteString(name)
	return ha.Sum64()
}

// Owner returns the name with the highest rendezvous weight for a key, or "" if
// there are no names.
func Owner(key string, names []string) string {
	var (
		best   string
		weight uint64
	)
	for _, na := range names {
		wt := Rendezvous(key, na)
		if best == "" || wt > weight || (wt == weight && na < best) {
			best, weight = na, wt
		}
	}
	return best
}
