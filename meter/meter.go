// Package meter keeps counters, gauges and histograms, a histogram for each
// tenant or class, and writes them as text. The number of labels of one name
// is bounded; what comes later is counted under "other".
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
	// maxLabels bounds the labels of one name.
	maxLabels = 64
	// otherLabel takes what comes after them.
	otherLabel = "other"
	// reservoirSize is the reservoir of a histogram.
	reservoirSize = 1028
	// reservoirDecay makes a histogram forget within about five minutes.
	reservoirDecay = 0.015
)

// Set is a set of meters. The zero value works.
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

// Observe adds a span to a histogram in microseconds.
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

// Write writes all meters in the text form that Prometheus reads, sorted.
func (se *Set) Write(out io.Writer) {
	var lines []string
	se.registryOf().Each(func(full string, value any) {
		name, label, _ := strings.Cut(full, "|")
		lines = append(lines, render(strings.ReplaceAll(name, "-", "_"), label, value)...)
	})
	slices.Sort(lines)
	for _, li := range lines {
		fmt.Fprintln(out, li) // a reader that went away is not ours to mend
	}
}

func render(name, label string, value any) []string {
	tags := func(more string) string {
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
		return []string{fmt.Sprintf("bilberryshelf_%s_total%s %d", name, tags(""), me.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("bilberryshelf_%s%s %d", name, tags(""), me.Value())}
	case metrics.Histogram:
		shot := me.Snapshot()
		lines := []string{fmt.Sprintf("bilberryshelf_%s_microseconds_count%s %d", name, tags(""), shot.Count())}
		for _, qu := range []float64{0.5, 0.9, 0.99} {
			lines = append(lines, fmt.Sprintf("bilberryshelf_%s_microseconds%s %.0f",
				name, tags(fmt.Sprintf(`quantile="%g"`, qu)), shot.Percentile(qu)))
		}
		return lines
	default:
		return nil
	}
}

// ServeHTTP answers a scrape.
func (se *Set) ServeHTTP(out http.ResponseWriter, _ *http.Request) {
	se.Gauge("goroutines", "", int64(runtime.NumGoroutine()))
	out.Header().Set("Content-Type", "text/plain; version=0.0.4")
	se.Write(out)
}
