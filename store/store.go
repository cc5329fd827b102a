// Package store is a client of the platform's transactional table service, object store
// and list of instances. The table service uses the DynamoDB protocol and the object store
// the S3 protocol, both through the vendor's client library. The list of instances is the
// JSON of Prometheus HTTP service discovery.
package store

import "github.com/cockroachdb/errors"

// Row maps the attributes of a row to their values.
type Row map[string]string

// Put is the write of one row in a transaction. It replaces an existing row.
type Put struct {
	Key  string
	Row  Row
	When Condition
}

// Condition is the condition of a put. The zero value always holds.
type Condition struct {
	// Kind is empty, KindAbsent or KindEquals.
	Kind      string
	Attribute string
	Value     string
}

// The kinds of conditions.
const (
	KindAbsent = "absent"
	KindEquals = "equals"
)

// Absent returns a condition that holds if the row does not exist.
func Absent() Condition { return Condition{Kind: KindAbsent} }

// Equals returns a condition that holds if the row exists and its attribute has the value.
func Equals(attribute, value string) Condition {
	return Condition{Kind: KindEquals, Attribute: attribute, Value: value}
}

// The errors that callers distinguish. After any other error of a transaction it is unknown
// whether it took effect.
var (
	// ErrNoRow means that the row or object does not exist.
	ErrNoRow = errors.New("no such row")
	// ErrCondition means that a condition did not hold; nothing was written.
	ErrCondition = errors.New("a condition does not hold")
)
