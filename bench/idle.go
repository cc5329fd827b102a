package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/client"
	"bilberryshelf/trial"
)

type idleCommand struct {
	Pids []int         `long:"pid" required:"yes" description:"a process to watch; give several"`
	URLs []string      `long:"metrics" description:"its address for metrics, in the same order"`
	For  time.Duration `long:"for" default:"20s"`
	out  io.Writer
}

// idleReport is what processes of one kind used while watched, each.
type idleReport struct {
	Processes  int     `json:"processes"`
	CPUPercent float64 `json:"cpu-percent-mean"`
	CPUMost    float64 `json:"cpu-percent-most"`
	RSSMB      float64 `json:"rss-mb-mean"`
	RSSMost    float64 `json:"rss-mb-most"`
	BytesMean  float64 `json:"inner-bytes-per-second-mean"`
	BytesMost  float64 `json:"inner-bytes-per-second-most"`
}

// Execute watches the processes.
func (co *idleCommand) Execute([]string) error {
	before, err := co.read()
	if err != nil {
		return err
	}
	time.Sleep(co.For)
	after, err := co.read()
	if err != nil {
		return err
	}
	re := idleReport{Processes: len(co.Pids)}
	count := float64(len(co.Pids))
	for at := range co.Pids {
		share := (after[at].cpu - before[at].cpu) / co.For.Seconds() * 100
		traffic := (after[at].bytes - before[at].bytes) / co.For.Seconds()
		re.CPUPercent += share / count
		re.CPUMost = max(re.CPUMost, share)
		re.RSSMB += after[at].rss / count
		re.RSSMost = max(re.RSSMost, after[at].rss)
		re.BytesMean += traffic / count
		re.BytesMost = max(re.BytesMost, traffic)
	}
	return printJSON(co.out, re)
}

// usage is what a process has used: seconds of processor time, megabytes
// resident, bytes on inner connections.
type usage struct {
	cpu, rss, bytes float64
}

func (co *idleCommand) read() ([]usage, error) {
	all := make([]usage, len(co.Pids))
	for at, pid := range co.Pids {
		us, err := readProc(pid)
		if err != nil {
			return nil, err
		}
		if at < len(co.URLs) {
			us.bytes = metric(co.URLs[at], "bytes_in_total") + metric(co.URLs[at], "bytes_out_total")
		}
		all[at] = us
	}
	return all, nil
}

const (
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	// userField and systemField are the places of the times in a stat line,
	// counted behind the name of the program.
	userField   = 11
	systemField = 12
	// residentField is the place of the resident pages.
	residentField = 21
	pageSize      = 4096
)

func readProc(pid int) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "the process is gone")
	}
	_, rest, _ := bytes.Cut(raw, []byte(") "))
	fields := bytes.Fields(rest)
	number := func(at int) float64 {
		value, _ := strconv.ParseFloat(string(fields[at]), 64)
		return value
	}
	return usage{
		cpu: (number(userField) + number(systemField)) / ticksPerSecond,
		rss: number(residentField) * pageSize / (1 << 20),
	}, nil
}

type spreadCommand struct {
	tokenFlags
	URLs        []string `long:"url" required:"yes" description:"an entry; give all, the first accepts the change"`
	Platform    string   `long:"platform" description:"the stand-in platform, to be out from the commit on"`
	PlatformOut bool     `long:"platform-out" description:"take the platform out right after the commit"`
	Target      string   `long:"target" default:"lot-check-001" description:"a target that the changed sheet names"`
	Changes     int      `long:"changes" default:"5"`
	out         io.Writer
}

// spreadReport is how long changes took from acceptance to the entries.
type spreadReport struct {
	Entries int     `json:"entries"`
	Changes int     `json:"changes"`
	P50ms   float64 `json:"p50-ms"`
	P99ms   float64 `json:"p99-ms"`
	LastMS  float64 `json:"last-ms"`
}

// Execute lets changes be accepted and watches them arrive.
func (co *spreadCommand) Execute([]string) error {
	var all []time.Duration
	for nu := range co.Changes {
		times, err := co.change(nu)
		if err != nil {
			return err
		}
		all = append(all, times...)
	}
	slices.Sort(all)
	millis := func(share float64) float64 {
		return float64(all[min(int(share*float64(len(all))), len(all)-1)].Microseconds()) / 1000
	}
	return printJSON(co.out, spreadReport{
		Entries: len(co.URLs), Changes: co.Changes, P50ms: millis(0.5), P99ms: millis(0.99), LastMS: millis(1),
	})
}

func (co *spreadCommand) change(number int) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cl := client.Client{URL: co.URLs[0], Token: co.token()}
	sheet := trial.SheetHeader + trial.LoanRow(fmt.Sprintf("spread-%d", number), "lot-check", co.Target, "sales-desk", "service", "normal", time.Hour)
	var ap trial.ApplyResult
	if err := cl.Call(ctx, http.MethodPost, "/v1/sheets", []byte(sheet), &ap, client.Options{}); err != nil {
		return nil, err
	}
	accepted := time.Now()
	if co.PlatformOut {
		if err := fault(co.Platform, `{"down":true}`); err != nil {
			return nil, err
		}
		defer fault(co.Platform, `{}`) // the run ends with it
	}
	times := make([]time.Duration, len(co.URLs))
	var wait sync.WaitGroup
	for at, url := range co.URLs {
		wait.Go(func() {
			co.await(ctx, url, ap.Generation)
			times[at] = time.Since(accepted)
		})
	}
	wait.Wait()
	return times, errors.Wrap(ctx.Err(), "not everywhere within a minute")
}

// spreadPace is the time between two looks at an entry.
const spreadPace = 10 * time.Millisecond

// await looks at an entry until it has the generation.
func (co *spreadCommand) await(ctx context.Context, url string, generation uint64) {
	cl := client.Client{URL: url, Token: co.token()}
	for ctx.Err() == nil {
		var st trial.Status
		err := cl.Call(ctx, http.MethodGet, "/v1/status", nil, &st, client.Options{})
		if err == nil && st.Generation >= generation {
			return
		}
		time.Sleep(spreadPace)
	}
}

func fault(platform, body string) error {
	res, err := http.Post(platform+"/fault", "application/json", bytes.NewReader([]byte(body))) // a process on loopback
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	return res.Body.Close()
}
