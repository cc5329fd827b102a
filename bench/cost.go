package bench

import (
	"context"
	"fmt"
	"io"
	"time"
)

type costCommand struct {
	tokenFlags
	Direct  string        `long:"direct" required:"yes" description:"URL of the plain service itself"`
	Through string        `long:"through" required:"yes" description:"URL of an entry"`
	Service string        `long:"service" required:"yes"`
	MaxRate float64       `long:"most" required:"yes" description:"requests a second that the path carries"`
	For     time.Duration `long:"for" default:"10s" description:"length of each load"`
	out     io.Writer
}

// costReport is one line of output: the latency that the path adds at a share of its
// maximum rate.
type costReport struct {
	ShareOfMax float64 `json:"share-of-most"`
	Rate       float64 `json:"rate"`
	DirectP50  float64 `json:"direct-p50-ms"`
	DirectP99  float64 `json:"direct-p99-ms"`
	PathP50    float64 `json:"path-p50-ms"`
	PathP99    float64 `json:"path-p99-ms"`
	AddedP50   float64 `json:"added-p50-ms"`
	AddedP99   float64 `json:"added-p99-ms"`
	Failed     int     `json:"failed"`
}

// loadShares are the measured loads, as shares of the maximum rate.
var loadShares = []float64{0.1, 0.5, 0.8}

// Execute measures direct calls and then calls through the entry at each share.
func (co *costCommand) Execute([]string) error {
	body := func(number int) string { return fmt.Sprintf(`{"lot":%d}`, number) }
	direct := endpoint{url: co.Direct + "/lots", body: body, client: newLoadClient()}
	through := endpoint{
		url: co.Through + "/services/" + co.Service + "/lots", token: co.token(), body: body, client: newLoadClient(),
		headers: map[string]string{"Bilberryshelf-Idempotent": "true"},
	}
	for _, share := range loadShares {
		re := costReport{ShareOfMax: share, Rate: share * co.MaxRate}
		directStats, pathStats := newLoadStats(), newLoadStats()
		direct.run(context.Background(), re.Rate, co.For, directStats)
		through.run(context.Background(), re.Rate, co.For, pathStats)
		directReport, pathReport := directStats.report(), pathStats.report()
		re.DirectP50, re.DirectP99, re.PathP50, re.PathP99 = directReport.P50ms, directReport.P99ms, pathReport.P50ms, pathReport.P99ms
		re.AddedP50, re.AddedP99 = pathReport.P50ms-directReport.P50ms, pathReport.P99ms-directReport.P99ms
		re.Failed = directReport.Sent - directReport.Codes[200] + pathReport.Sent - pathReport.Codes[200]
		if err := printJSON(co.out, re); err != nil {
			return err
		}
	}
	return nil
}
