// Package meter provides counters, gauges and histograms and writes them as text. Each
// has a name and an optional label, such as a tenant. The number of labels of one name is
// bounded; values of further labels are counted under "other".
package meter

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxLabels is the maximum number of labels of one name.
	maxLabels = 64
	// otherLabel replaces further labels.
	otherLabel = "other"
	// reservoirSize is the number of values that a histogram holds.
	reservoirSize = 1028
	// reservoirDecay weights a histogram toward about the last five minutes.
	reservoirDecay = 0.015
)

// Set is a set of metrics. The zero value is ready to use. In its methods an empty label
// means none.
type Set struct {
	mutex    sync.Mutex
	registry metrics.Registry
	labels   map[string]map[string]bool
}

// Count adds to a counter.
func (se *Set) Count(name, label string, add int64) {
	full := se.full(name, label)
	metrics.GetOrRegisterCounter(full, se.registryOf()).Inc(add)
}

// Gauge sets a gauge.
func (se *Set) Gauge(name, label string, value int64) {
	full := se.full(name, label)
	metrics.GetOrRegisterGauge(full, se.registryOf()).Update(value)
}

// Observe adds a duration to a histogram, in microseconds.
func (se *Set) Observe(name, label string, took time.Duration) {
	full := se.full(name, label)
	hi := se.registryOf().GetOrRegister(full, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirDecay))
	}).(metrics.Histogram)
	hi.Update(took.Microseconds())
}

func (se *Set) registryOf() metrics.Registry {
	se.mutex.Lock()
	defer se.mutex.Unlock()
	if se.registry == nil {
		se.registry = metrics.NewRegistry()
	}
	return se.registry
}

// full returns the key of a metric in the registry: the name and the label, or otherLabel
// if the name already has maxLabels other labels.
func (se *Set) full(name, label string) string {
	se.mutex.Lock()
	defer se.mutex.Unlock()
	if se.labels == nil {
		se.labels = map[string]map[string]bool{}
	}
	known := se.labels[name]
	if known == nil {
		known = map[string]bool{}
		se.labels[name] = known
	}
	if !known[label] && len(known) >= maxLabels {
		label = otherLabel
	}
	known[label] = true
	if label == "" {
		return name
	}
	return name + "|" + label
}

// Write writes all metrics in the Prometheus text format, sorted by line.
func (se *Set) Write(out io.Writer) {
	var lines []string
	se.registryOf().Each(func(full string, value any) {
		name, label, _ := strings.Cut(full, "|")
		lines = append(lines, render(strings.ReplaceAll(name, "-", "_"), label, value)...)
	})
	slices.Sort(lines)
	for _, li := range lines {
		fmt.Fprintln(out, li) // an error means that the reader has disconnected
	}
}

func render(name, label string, value any) []string {
	labels := func(more string) string {
		parts := []string{}
		if label != "" {
			parts = append(parts, fmt.Sprintf("of=%q", label))
		}
		if more != "" {
			parts = append(parts, more)
		}
		if len(parts) == 0 {
			return ""
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	switch me := value.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("bilberryshelf_%s_total%s %d", name, labels(""), me.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("bilberryshelf_%s%s %d", name, labels(""), me.Value())}
	case metrics.Histogram:
		snapshot := me.Snapshot()
		lines := []string{fmt.Sprintf("bilberryshelf_%s_microseconds_count%s %d", name, labels(""), snapshot.Count())}
		for _, qu := range []float64{0.5, 0.9, 0.99} {
			lines = append(lines, fmt.Sprintf("bilberryshelf_%s_microseconds%s %.0f",
				name, labels(fmt.Sprintf(`quantile="%g"`, qu)), snapshot.Percentile(qu)))
		}
		return lines
	default:
		return nil
	}
}

// ServeHTTP serves the metrics as text.
func (se *Set) ServeHTTP(out http.ResponseWriter, _ *http.Request) {
	se.Gauge("goroutines", "", int64(runtime.NumGoroutine()))
	out.Header().Set("Content-Type", "text/plain; version=0.0.4")
	se.Write(out)
}
