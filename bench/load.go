package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// endpoint is the destination of load, with the content of the requests.
type endpoint struct {
	url     string
	token   string
	body    func(number int) string
	headers map[string]string
	client  *http.Client
}

// loadStats collects the results of a load. It is safe for concurrent use.
type loadStats struct {
	mutex        sync.Mutex
	latency      *hdrhistogram.Histogram
	statusCounts map[int]int
	failed       int
	refusals     *hdrhistogram.Histogram
	lastError    string
}

const (
	// maxLatencyMicros is the highest value of the histograms: ten minutes.
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

func newLoadStats() *loadStats {
	return &loadStats{
		latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits), refusals: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		statusCounts: map[int]int{},
	}
}

// run sends requests at a fixed rate, independent of responses, and waits for all
// responses. Latencies are measured from the intended send time, so delayed sends count
// as latency.
func (ep endpoint) run(ctx context.Context, perSecond float64, span time.Duration, ls *loadStats) {
	var (
		wait  sync.WaitGroup
		began = time.Now()
		gap   = time.Duration(float64(time.Second) / perSecond)
		total = int(span.Seconds() * perSecond)
	)
	for number := range total {
		intended := began.Add(time.Duration(number) * gap)
		time.Sleep(time.Until(intended))
		wait.Go(func() { ep.send(ctx, number, intended, ls) })
	}
	wait.Wait()
}

func (ep endpoint) send(ctx context.Context, number int, intended time.Time, ls *loadStats) {
	status, err := ep.post(ctx, number)
	took := time.Since(intended).Microseconds()
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	if err != nil {
		ls.failed++
		ls.lastError = err.Error()
		return
	}
	ls.statusCounts[status]++
	if status == http.StatusOK {
		_ = ls.latency.RecordValue(max(took, 1))
		return
	}
	_ = ls.refusals.RecordValue(max(took, 1))
}

func (ep endpoint) post(ctx context.Context, number int) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, ep.url, strings.NewReader(ep.body(number)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	if ep.token != "" {
		req.Header.Set("Authorization", "Bearer "+ep.token)
	}
	for na, va := range ep.headers {
		req.Header.Set(na, va)
	}
	res, err := ep.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close() // read to the end below
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// newLoadClient returns a client that keeps enough idle connections to reuse them under
// load.
func newLoadClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}}
}

type loadCommand struct {
	tokenFlags
	URL       string        `long:"url" required:"yes" description:"an entry"`
	Service   string        `long:"service" required:"yes" description:"the service; with --check a plain one"`
	Check     bool          `long:"check" description:"send non-idempotent calls in place of completions"`
	Rate      float64       `long:"rate" default:"50" description:"requests a second"`
	For       time.Duration `long:"for" default:"10s"`
	MaxTokens int           `long:"max-tokens" default:"32"`
	Priority  string        `long:"priority" description:"high, normal or low"`
	Prefixes  int           `long:"prefixes" default:"64" description:"number of different prompts"`
	Timeout   string        `long:"timeout" default:"30s" description:"the deadline told to the entry"`
	out       io.Writer
}

// loadReport is the output of a load.
type loadReport struct {
	Sent         int         `json:"sent"`
	Codes        map[int]int `json:"codes"`
	Lost         int         `json:"lost"`
	P50ms        float64     `json:"p50-ms"`
	P99ms        float64     `json:"p99-ms"`
	RefusedP99ms float64     `json:"refused-p99-ms"`
	LastError    string      `json:"last-error,omitempty"`
}

func (ls *loadStats) report() loadReport {
	sent := ls.failed
	for _, count := range ls.statusCounts {
		sent += count
	}
	return loadReport{
		Sent: sent, Codes: ls.statusCounts, Lost: ls.failed, LastError: ls.lastError,
		P50ms: float64(ls.latency.ValueAtQuantile(50)) / 1000, P99ms: float64(ls.latency.ValueAtQuantile(99)) / 1000,
		RefusedP99ms: float64(ls.refusals.ValueAtQuantile(99)) / 1000,
	}
}

// Execute sends the load and prints a loadReport.
func (co *loadCommand) Execute([]string) error {
	ep := endpoint{token: co.token(), client: newLoadClient(), headers: map[string]string{"Bilberryshelf-Timeout": co.Timeout}}
	if co.Priority != "" {
		ep.headers["Bilberryshelf-Priority"] = co.Priority
	}
	if co.Check {
		ep.url = co.URL + "/services/" + co.Service + "/lots"
		ep.body = func(number int) string { return fmt.Sprintf(`{"lot":%d}`, number) }
	} else {
		ep.url = co.URL + "/v1/completions"
		ep.body = completionBody(co.Service, co.Prefixes, co.MaxTokens)
	}
	ls := newLoadStats()
	ep.run(context.Background(), co.Rate, co.For, ls)
	return printJSON(co.out, ls.report())
}

func completionBody(service string, prefixes, tokens int) func(number int) string {
	return func(number int) string {
		return fmt.Sprintf(`{"model":%q,"prompt":"shade %d","max_tokens":%d,"stream":true}`, service, number%prefixes, tokens)
	}
}
