package batch

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryshelf/conf"
)

// Share is a service of a route with its weight.
type Share struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Terms are the values of a route when a job was accepted. They are stored with the job, since
// the route may be changed or removed while the job is open.
type Terms struct {
	Name          string        `cbor:"1,keyasint"`
	Host          string        `cbor:"2,keyasint"`
	Prefix        string        `cbor:"3,keyasint"`
	Kind          conf.Kind     `cbor:"4,keyasint"`
	Shares        []Share       `cbor:"5,keyasint"`
	TargetLatency time.Duration `cbor:"6,keyasint,omitempty"`
	Timeout       time.Duration `cbor:"13,keyasint,omitempty"`
	Deadline      time.Duration `cbor:"7,keyasint,omitempty"`
	ItemTTL       time.Duration `cbor:"8,keyasint,omitempty"`
	Attempts      int           `cbor:"9,keyasint,omitempty"`
	// Priority is that of the workspace, if it has one.
	Priority      int  `cbor:"10,keyasint,omitempty"`
	SingleVersion bool `cbor:"11,keyasint,omitempty"`
	Public        bool `cbor:"12,keyasint,omitempty"`
}

// NewTerms returns the terms of a route.
func NewTerms(ro conf.Route) Terms {
	te := Terms{
		Name: ro.Name, Host: ro.Host, Prefix: ro.Prefix, Kind: ro.Kind, Timeout: ro.Timeout, TargetLatency: ro.TargetLatency, Deadline: ro.Deadline,
		ItemTTL: ro.ItemTTL, Attempts: ro.Attempts, Priority: ro.Priority, SingleVersion: ro.SingleVersion, Public: ro.Public,
	}
	for _, sh := range ro.Shares {
		te.Shares = append(te.Shares, Share(sh))
	}
	return te
}

// Route returns the route that the terms were taken from.
func (te Terms) Route() conf.Route {
	ro := conf.Route{
		Name: te.Name, Host: te.Host, Prefix: te.Prefix, Kind: te.Kind, Timeout: te.Timeout, TargetLatency: te.TargetLatency, Deadline: te.Deadline,
		ItemTTL: te.ItemTTL, Attempts: te.Attempts, Priority: te.Priority, SingleVersion: te.SingleVersion, Public: te.Public,
	}
	for _, sh := range te.Shares {
		ro.Shares = append(ro.Shares, conf.Share(sh))
	}
	return ro
}

// Valid reports whether a job can be run by the terms.
func (te *Terms) Valid() bool { return te != nil && len(te.Shares) > 0 }

// ScorerTerms returns the terms of the route of a scoring call when the job was accepted.
func (jo *Job) ScorerTerms(sc Scorer) (Terms, bool) {
	best, found := Terms{}, false
	for _, te := range jo.Scorers {
		if te.Host == sc.Host && strings.HasPrefix(sc.Path, te.Prefix) && te.Valid() && (!found || len(te.Prefix) > len(best.Prefix)) {
			best, found = te, true
		}
	}
	return best, found
}

// SubmittedTo identifies the host and path to which a job was submitted. It is never zero.
func SubmittedTo(host, path string) uint64 {
	return max(xxhash.Sum64String(host+"\x00"+path), 1)
}
