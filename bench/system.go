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

// plainWorld is a world with guards that ask their targets once a second, as
// by default, and entries with the default pace.
func plainWorld(guards, entries int) (*trial.Cluster, []*trial.Node, error) {
	wo, err := trial.New(nil)
	if err != nil {
		return nil, nil, err
	}
	for at := range guards {
		_, err := wo.AddTarget(fmt.Sprintf("lot-check-%03d", at), "lot-check", "recife-a", nil, &fake.Service{}, func(se *setup.Guard) {
			se.Timing.HealthEvery = setup.DefaultGuard().Timing.HealthEvery
		})
		if err != nil {
			return wo, nil, err
		}
	}
	var nodes []*trial.Node
	for at := range entries {
		no, err := wo.AddEntry(fmt.Sprintf("entry-%03d", at), "recife-a", func(se *setup.Entry) {
			se.Timing = setup.DefaultEntry().Timing
			se.Timing.DrainDelay = 0
			se.Limits.SubsetSize = guards // the slope is over all of them
		})
		if err != nil {
			return wo, nil, err
		}
		nodes = append(nodes, no)
	}
	return wo, nodes, nil
}

const (
	// warmUp lets connections and first configurations settle.
	warmUp = 8 * time.Second
	// watchFor is how long an idle system is watched.
	watchFor = 6 * time.Second
)

// watch brings a world up, applies a sheet if it has an entry, and measures
// while nothing but control goes on.
func watch(guards, entries int, measure func(nodes []*trial.Node, began bool) float64) (float64, error) {
	wo, nodes, err := plainWorld(guards, entries)
	if wo != nil {
		defer wo.Close()
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
	time.Sleep(warmUp)
	before := measure(nodes, true)
	time.Sleep(watchFor)
	return measure(nodes, false) - before, nil
}

func cpuMillis([]*trial.Node, bool) float64 { return float64(cpu().Microseconds()) / 1000 }

func guardCPU(size int) (float64, error) {
	took, err := watch(size, 0, cpuMillis)
	return took / watchFor.Seconds(), err
}

func helloCPU(size int) (float64, error) {
	took, err := watch(size, 1, cpuMillis)
	return took / watchFor.Seconds(), err
}

func entryCPU(size int) (float64, error) {
	took, err := watch(0, size, cpuMillis)
	return took / watchFor.Seconds(), err
}

func helloBytes(size int) (float64, error) {
	took, err := watch(size, 1, innerBytes)
	return took / watchFor.Seconds(), err
}

func entryBytes(size int) (float64, error) {
	took, err := watch(0, size, innerBytes)
	return took / watchFor.Seconds(), err
}

// innerBytes adds up what the entries count on their inner connections.
func innerBytes(nodes []*trial.Node, _ bool) float64 {
	total := 0.0
	for _, no := range nodes {
		total += metric(no.URL, "bytes_in_total") + metric(no.URL, "bytes_out_total")
	}
	return total
}

// metric reads a counter of inner traffic.
func metric(url, name string) float64 {
	res, err := http.Get(url + "/metrics") // a process on loopback
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

// remoteHeap is the memory of a world with guards and one entry; the slope
// holds both sides.
func remoteHeap(size int) (float64, error) {
	wo, nodes, err := plainWorld(size, 1)
	if wo != nil {
		defer wo.Close()
	}
	if err != nil {
		return 0, err
	}
	sheet := trial.SheetHeader + trial.LoanRow("lots", "lot-check", fmt.Sprintf("lot-check-[000-%03d]", size-1), "sales-desk", core.Service, core.Normal, time.Hour)
	if _, err := nodes[0].Apply(context.Background(), sheet); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	return float64(heap()), nil
}

// pathCPU is the processor time of all parties to plain calls at a rate.
func pathCPU(size int) (float64, error) {
	wo, nodes, err := plainWorld(4, 1)
	if wo != nil {
		defer wo.Close()
	}
	if err != nil {
		return 0, err
	}
	sheet := trial.SheetHeader + trial.LoanRow("lots", "lot-check", "lot-check-[000-003]", "sales-desk", core.Service, core.Normal, time.Hour)
	if _, err := nodes[0].Apply(context.Background(), sheet); err != nil {
		return 0, err
	}
	ta := target{
		url: nodes[0].URL + "/services/lot-check/lots", token: trial.CallerToken, client: manyConnections(),
		body: func(number int) string { return strconv.Itoa(number) }, headers: map[string]string{"Bilberryshelf-Idempotent": "true"},
	}
	ty := newTally()
	began := cpu()
	ta.run(context.Background(), float64(size), watchFor, ty)
	took := cpu() - began
	if ty.codes[http.StatusOK] < size {
		return 0, errors.Newf("only %d calls were answered", ty.codes[http.StatusOK])
	}
	return float64(took.Microseconds()) / 1000 / watchFor.Seconds(), nil
}
