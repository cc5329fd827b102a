package scale

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Busy is what runs and waits for one service, as known to one entry.
type Busy struct {
	InFlight int `cbor:"1,keyasint,omitempty"`
	Waiting  int `cbor:"2,keyasint,omitempty"`
}

// Total returns the number of requests and items.
func (bu Busy) Total() int { return bu.InFlight + bu.Waiting }

// Report maps the names of services to what runs and waits at one entry. A service for
// which there is nothing may be absent.
type Report map[string]Busy

// Encode returns the value for the row of an entry, empty for an empty report.
func (re Report) Encode() (cbor.ByteString, error) {
	if len(re) == 0 {
		return "", nil
	}
	raw, err := cbor.Marshal(re)
	return cbor.ByteString(raw), errors.Wrap(err, "encode the load of an entry")
}

// DecodeReport decodes a value that Encode returned.
func DecodeReport(raw cbor.ByteString) (Report, error) {
	if raw == "" {
		return nil, nil
	}
	var re Report
	if err := cbor.Unmarshal([]byte(raw), &re); err != nil {
		return nil, errors.Wrap(err, "decode the load of an entry")
	}
	for name, bu := range re {
		if bu.InFlight < 0 || bu.Waiting < 0 || bu.Total() < 0 { // the sum of large numbers overflows
			return nil, errors.Newf("the load of service %q is negative", name)
		}
	}
	return re, nil
}
