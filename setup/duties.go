package setup

import (
	"slices"
	"strings"
	"time"
)

// Duty is a kind of call to the platform that one instance at a time makes.
type Duty string

// The duties.
const (
	// DutyUsage reports the requests of each workspace.
	DutyUsage Duty = "usage"
	// DutyAutoscale orders the number of targets.
	DutyAutoscale Duty = "autoscale"
)

// NodeDuties holds the settings of the duties of an entry. Without a table, or without
// names, there are none. A missing value has its default. A value of zero, which a template
// gives for a field that the platform does not fill in, counts as missing.
type NodeDuties struct {
	// Address is that of the API that the duties call.
	Address string `toml:"address"`
	// Names are the duties, separated by commas.
	Names string `toml:"names"`
	// CallsPerSecond is the number of calls that the API accepts of all instances.
	CallsPerSecond float64 `toml:"calls-per-second"`
	// Lease is how long a holder of the duties keeps them without renewal.
	Lease Duration `toml:"lease"`
	// ReportWindow is the length of the windows of usage reports, ReportDue how long after
	// the end of a window its report is due.
	ReportWindow Duration `toml:"report-window"`
	ReportDue    Duration `toml:"report-due"`
}

// The defaults of NodeDuties.
const (
	defaultLease        = 3 * time.Second
	defaultReportWindow = 5 * time.Second
	defaultReportDue    = 10 * time.Second
	// minLease is the least lease time: two renewals must fit.
	minLease = 2 * time.Second
)

// WithDefaults returns the settings with the missing values replaced.
func (no NodeDuties) WithDefaults() NodeDuties {
	replace := func(field *Duration, value time.Duration) {
		if *field == 0 {
			*field = Duration(value)
		}
	}
	replace(&no.Lease, defaultLease)
	replace(&no.ReportWindow, defaultReportWindow)
	replace(&no.ReportDue, defaultReportDue)
	return no
}

// List returns the duties.
func (no NodeDuties) List() []Duty {
	var duties []Duty
	for name := range strings.SplitSeq(no.Names, ",") {
		if name = strings.TrimSpace(name); name != "" {
			duties = append(duties, Duty(name))
		}
	}
	return duties
}

// Has reports whether a duty is among them and can be called.
func (no NodeDuties) Has(name Duty) bool {
	return no.Address != "" && slices.Contains(no.List(), name)
}

func (no NodeDuties) check(ch *checker) {
	for _, name := range no.List() {
		ch.require(name == DutyUsage || name == DutyAutoscale, "duties.names", string(name)+" is not usage or autoscale")
	}
	if no.Address != "" || len(no.List()) > 0 {
		ch.address(no.Address, "duties.address")
	}
	ch.require(no.CallsPerSecond >= 0, "duties.calls-per-second", "must be 0 or more")
	ch.require(no.WithDefaults().Lease.Std() >= minLease, "duties.lease", "must be at least "+minLease.String())
}
