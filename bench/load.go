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

// endpoint is where load goes and what it says.
type endpoint struct {
	url     string
	token   string
	body    func(number int) string
	headers map[string]string
	client  *http.Client
}

// loadStats is what came of a load.
type loadStats struct {
	mutex        sync.Mutex
	latency      *hdrhistogram.Histogram
	statusCounts map[int]int
	failed       int
	refusals     *hdrhistogram.Histogram
	lastError    string
}

const (
	// maxLatencyMicros is the top of the histograms, in microseconds.
	maxLatencyMicros = 600_000_000
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

func newLoadStats() *loadStats {
	return &loadStats{
		latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits), refusals: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		statusCounts: map[int]int{},
	}
}

// run sends at a steady rate, whatever comes back, and waits for all answers.
// Latencies count from the intended send time.
func (ta endpoint) run(ctx context.Context, perSecond float64, span time.Duration, ty *loadStats) {
	var (
		wait  sync.WaitGroup
		began = time.Now()
		gap   = time.Duration(float64(time.Second) / perSecond)
		total = int(span.Seconds() * perSecond)
	)
	for number := range total {
		intended := began.Add(time.Duration(number) * gap)
		time.Sleep(time.Until(intended))
		wait.Go(func() { ta.send(ctx, number, intended, ty) })
	}
	wait.Wait()
}

func (ta endpoint) send(ctx context.Context, number int, intended time.Time, ty *loadStats) {
	status, err := ta.post(ctx, number)
	took := time.Since(intended).Microseconds()
	ty.mutex.Lock()
	defer ty.mutex.Unlock()
	if err != nil {
		ty.failed++
		ty.lastError = err.Error()
		return
	}
	ty.statusCounts[status]++
	if status == http.StatusOK {
		_ = ty.latency.RecordValue(max(took, 1))
		return
	}
	_ = ty.refusals.RecordValue(max(took, 1))
}

func (ta endpoint) post(ctx context.Context, number int) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, ta.url, strings.NewReader(ta.body(number)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	if ta.token != "" {
		req.Header.Set("Authorization", "Bearer "+ta.token)
	}
	for na, va := range ta.headers {
		req.Header.Set(na, va)
	}
	res, err := ta.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close() // read to its end
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// newLoadClient is a client that keeps its connections under load.
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

func (ty *loadStats) report() loadReport {
	sent := ty.failed
	for _, count := range ty.statusCounts {
		sent += count
	}
	return loadReport{
		Sent: sent, Codes: ty.statusCounts, Lost: ty.failed, LastError: ty.lastError,
		P50ms: float64(ty.latency.ValueAtQuantile(50)) / 1000, P99ms: float64(ty.latency.ValueAtQuantile(99)) / 1000,
		RefusedP99ms: float64(ty.refusals.ValueAtQuantile(99)) / 1000,
	}
}

// Execute puts the load on.
func (co *loadCommand) Execute([]string) error {
	ta := endpoint{token: co.token(), client: newLoadClient(), headers: map[string]string{"Bilberryshelf-Timeout": co.Timeout}}
	if co.Priority != "" {
		ta.headers["Bilberryshelf-Priority"] = co.Priority
	}
	if co.Check {
		ta.url = co.URL + "/services/" + co.Service + "/lots"
		ta.body = func(number int) string { return fmt.Sprintf(`{"lot":%d}`, number) }
	} else {
		ta.url = co.URL + "/v1/completions"
		ta.body = completionBody(co.Service, co.Prefixes, co.MaxTokens)
	}
	ty := newLoadStats()
	ta.run(context.Background(), co.Rate, co.For, ty)
	return printJSON(co.out, ty.report())
}

func completionBody(service string, prefixes, tokens int) func(number int) string {
	return func(number int) string {
		return fmt.Sprintf(`{"model":%q,"prompt":"shade %d","max_tokens":%d,"stream":true}`, service, number%prefixes, tokens)
	}
}
