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

// costReport is one line of output: what the path adds at one share of the
// load that it carries.
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

// loadShares are the loads at which the cost is measured.
var loadShares = []float64{0.1, 0.5, 0.8}

// Execute measures the direct call and the path in turn at each share.
func (co *costCommand) Execute([]string) error {
	body := func(number int) string { return fmt.Sprintf(`{"lot":%d}`, number) }
	direct := endpoint{url: co.Direct + "/lots", body: body, client: newLoadClient()}
	through := endpoint{
		url: co.Through + "/services/" + co.Service + "/lots", token: co.token(), body: body, client: newLoadClient(),
		headers: map[string]string{"Bilberryshelf-Idempotent": "true"},
	}
	for _, share := range loadShares {
		re := costReport{ShareOfMax: share, Rate: share * co.MaxRate}
		straight, path := newLoadStats(), newLoadStats()
		direct.run(context.Background(), re.Rate, co.For, straight)
		through.run(context.Background(), re.Rate, co.For, path)
		one, two := straight.report(), path.report()
		re.DirectP50, re.DirectP99, re.PathP50, re.PathP99 = one.P50ms, one.P99ms, two.P50ms, two.P99ms
		re.AddedP50, re.AddedP99 = two.P50ms-one.P50ms, two.P99ms-one.P99ms
		re.Failed = one.Sent - one.Codes[200] + two.Sent - two.Codes[200]
		if err := printJSON(co.out, re); err != nil {
			return err
		}
	}
	return nil
}
