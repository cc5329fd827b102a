package bench

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/setup"
	"bilberryshelf/trial"
)

// newCluster returns a cluster with guards that check their targets' health once a
// second, the default interval, and entries with the default timing.
func newCluster(guards, entries int) (*trial.Cluster, []*trial.Node, error) {
	cl, err := trial.New(nil)
	if err != nil {
		return nil, nil, err
	}
	for at := range guards {
		_, err := cl.AddTarget(fmt.Sprintf("lot-check-%03d", at), "lot-check", "recife-a", nil, &fake.Service{}, func(se *setup.Guard) {
			se.Timing.HealthEvery = setup.DefaultGuard().Timing.HealthEvery
		})
		if err != nil {
			return cl, nil, err
		}
	}
	var nodes []*trial.Node
	for at := range entries {
		no, err := cl.AddEntry(fmt.Sprintf("entry-%03d", at), "recife-a", func(se *setup.Entry) {
			se.Timing = setup.DefaultEntry().Timing
			se.Timing.DrainDelay = 0
			se.Limits.SubsetSize = guards // the slopes are per guard: each entry must send hellos to all
		})
		if err != nil {
			return cl, nil, err
		}
		nodes = append(nodes, no)
	}
	return cl, nodes, nil
}

const (
	// settleTime is the time to open connections and distribute the configuration.
	settleTime = 8 * time.Second
	// observationTime is the duration of a measurement.
	observationTime = 6 * time.Second
)

// measureIdle starts a cluster, applies a sheet if it has both entries and guards, and
// returns the increase of a measured value over observationTime without requests.
func measureIdle(guards, entries int, measure func(nodes []*trial.Node, began bool) float64) (float64, error) {
	cl, nodes, err := newCluster(guards, entries)
	if cl != nil {
		defer cl.Close()
	}
	if err != nil {
		return 0, err
	}
	if entries > 0 && guards > 0 {
		sheet := trial.SheetHeader + trial.LoanRow("lots", "lot-check", fmt.Sprintf("lot-check-[000-%03d]", guards-1), "sales-desk", core.Service, core.Normal, time.Hour)
		if _, err := nodes[0].Apply(context.Background(), sheet); err != nil {
			return 0, err
		}
	}
	time.Sleep(settleTime)
	before := measure(nodes, true)
	time.Sleep(observationTime)
	return measure(nodes, false) - before, nil
}

func cpuMillis([]*trial.Node, bool) float64 { return float64(processCPU().Microseconds()) / 1000 }

func guardCPU(size int) (float64, error) {
	took, err := measureIdle(size, 0, cpuMillis)
	return took / observationTime.Seconds(), err
}

func helloCPU(size int) (float64, error) {
	took, err := measureIdle(size, 1, cpuMillis)
	return took / observationTime.Seconds(), err
}

func entryCPU(size int) (float64, error) {
	took, err := measureIdle(0, size, cpuMillis)
	return took / observationTime.Seconds(), err
}

func helloBytes(size int) (float64, error) {
	took, err := measureIdle(size, 1, innerBytes)
	return took / observationTime.Seconds(), err
}

func entryBytes(size int) (float64, error) {
	took, err := measureIdle(0, size, innerBytes)
	return took / observationTime.Seconds(), err
}

// innerBytes returns the bytes that the entries counted on their inner connections.
func innerBytes(nodes []*trial.Node, _ bool) float64 {
	total := 0.0
	for _, no := range nodes {
		total += readCounter(no.URL, "bytes_in_total") + readCounter(no.URL, "bytes_out_total")
	}
	return total
}

// readCounter returns the value of a counter for inner traffic, or 0 if it cannot be
// read.
func readCounter(url, name string) float64 {
	res, err := http.Get(url + "/metrics") // on loopback, so no timeout is needed
	if err != nil {
		return 0
	}
	defer res.Body.Close() // read below
	var buf bytes.Buffer
	_, _ = buf.ReadFrom(res.Body)
	for line := range strings.SplitSeq(buf.String(), "\n") {
		if text, found := strings.CutPrefix(line, "bilberryshelf_"+name+`{of="inner"} `); found {
			value, _ := strconv.ParseFloat(text, 64)
			return value
		}
	}
	return 0
}

// remoteHeap returns the memory of a cluster with guards and one entry. The slope
// includes both the guard's and the entry's state.
func remoteHeap(size int) (float64, error) {
	cl, nodes, err := newCluster(size, 1)
	if cl != nil {
		defer cl.Close()
	}
	if err != nil {
		return 0, err
	}
	sheet := trial.SheetHeader + trial.LoanRow("lots", "lot-check", fmt.Sprintf("lot-check-[000-%03d]", size-1), "sales-desk", core.Service, core.Normal, time.Hour)
	if _, err := nodes[0].Apply(context.Background(), sheet); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	return float64(heapBytes()), nil
}

// pathCPU returns the processor time of caller, entry, guard and target for plain calls
// at a rate, in ms per second.
func pathCPU(size int) (float64, error) {
	cl, nodes, err := newCluster(4, 1)
	if cl != nil {
		defer cl.Close()
	}
	if err != nil {
		return 0, err
	}
	sheet := trial.SheetHeader + trial.LoanRow("lots", "lot-check", "lot-check-[000-003]", "sales-desk", core.Service, core.Normal, time.Hour)
	if _, err := nodes[0].Apply(context.Background(), sheet); err != nil {
		return 0, err
	}
	ep := endpoint{
		url: nodes[0].URL + "/services/lot-check/lots", token: trial.CallerToken, client: newLoadClient(),
		body: func(number int) string { return strconv.Itoa(number) }, headers: map[string]string{"Bilberryshelf-Idempotent": "true"},
	}
	ls := newLoadStats()
	began := processCPU()
	ep.run(context.Background(), float64(size), observationTime, ls)
	took := processCPU() - began
	if ls.statusCounts[http.StatusOK] < size {
		return 0, errors.Newf("only %d calls were answered", ls.statusCounts[http.StatusOK])
	}
	return float64(took.Microseconds()) / 1000 / observationTime.Seconds(), nil
}
