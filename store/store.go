// Package store talks to the platform: the transactional table service, the
// object store and the list of instances. The table service speaks the
// DynamoDB protocol, the object store the S3 protocol, both through the
// vendor's client library; the list of instances is the JSON of Prometheus
// HTTP service discovery.
package store

import "github.com/cockroachdb/errors"

// Row is the attributes of one row.
type Row map[string]string

// Put writes one row of a transaction.
type Put struct {
	Key  string
	Row  Row
	When Condition
}

// Condition must hold for a put to be written. The zero value always holds.
type Condition struct {
	// Kind is empty, absent or equals.
	Kind      string
	Attribute string
	Value     string
}

// The kinds of condition.
const (
	KindAbsent = "absent"
	KindEquals = "equals"
)

// Absent holds when there is no such row.
func Absent() Condition { return Condition{Kind: KindAbsent} }

// Equals holds when the row has the value in the attribute.
func Equals(attribute, value string) Condition {
	return Condition{Kind: KindEquals, Attribute: attribute, Value: value}
}

// The errors that a caller decides on. Any other error of a transaction
// leaves open whether it took effect.
var (
	// ErrNoRow means that there is no such row or object.
	ErrNoRow = errors.New("no such row")
	// ErrCondition means that a condition did not hold; nothing was written.
	ErrCondition = errors.New("a condition does not hold")
)
