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

// idleReport is the resource usage per process during the observation: mean and
// maximum over the processes.
type idleReport struct {
	Processes      int     `json:"processes"`
	CPUPercentMean float64 `json:"cpu-percent-mean"`
	CPUPercentMax  float64 `json:"cpu-percent-most"`
	RSSMBMean      float64 `json:"rss-mb-mean"`
	RSSMBMax       float64 `json:"rss-mb-most"`
	BytesMean      float64 `json:"inner-bytes-per-second-mean"`
	BytesMax       float64 `json:"inner-bytes-per-second-most"`
}

// Execute measures the processes' usage over a time span.
func (co *idleCommand) Execute([]string) error {
	before, err := co.readUsage()
	if err != nil {
		return err
	}
	time.Sleep(co.For)
	after, err := co.readUsage()
	if err != nil {
		return err
	}
	re := idleReport{Processes: len(co.Pids)}
	count := float64(len(co.Pids))
	for at := range co.Pids {
		share := (after[at].cpu - before[at].cpu) / co.For.Seconds() * 100
		traffic := (after[at].bytes - before[at].bytes) / co.For.Seconds()
		re.CPUPercentMean += share / count
		re.CPUPercentMax = max(re.CPUPercentMax, share)
		re.RSSMBMean += after[at].rss / count
		re.RSSMBMax = max(re.RSSMBMax, after[at].rss)
		re.BytesMean += traffic / count
		re.BytesMax = max(re.BytesMax, traffic)
	}
	return printJSON(co.out, re)
}

// usage is the resource usage of a process: processor time in seconds, resident memory
// in MiB and bytes on inner connections.
type usage struct {
	cpu, rss, bytes float64
}

func (co *idleCommand) readUsage() ([]usage, error) {
	all := make([]usage, len(co.Pids))
	for at, pid := range co.Pids {
		us, err := readProcStat(pid)
		if err != nil {
			return nil, err
		}
		if at < len(co.URLs) {
			us.bytes = readCounter(co.URLs[at], "bytes_in_total") + readCounter(co.URLs[at], "bytes_out_total")
		}
		all[at] = us
	}
	return all, nil
}

const (
	// ticksPerSecond is the clock tick rate of processor times in /proc.
	ticksPerSecond = 100
	// The fields of a stat line are counted from the one after the program's name.
	userTimeField      = 11
	systemTimeField    = 12
	residentPagesField = 21
	pageSize           = 4096
)

func readProcStat(pid int) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "read the usage of a process")
	}
	_, rest, _ := bytes.Cut(raw, []byte(") "))
	fields := bytes.Fields(rest)
	number := func(at int) float64 {
		value, _ := strconv.ParseFloat(string(fields[at]), 64)
		return value
	}
	return usage{
		cpu: (number(userTimeField) + number(systemTimeField)) / ticksPerSecond,
		rss: number(residentPagesField) * pageSize / (1 << 20),
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

// spreadReport is the distribution of the time from the acceptance of a change until an
// entry has it.
type spreadReport struct {
	Entries int     `json:"entries"`
	Changes int     `json:"changes"`
	P50ms   float64 `json:"p50-ms"`
	P99ms   float64 `json:"p99-ms"`
	LastMS  float64 `json:"last-ms"`
}

// Execute applies changes and measures when each entry has them.
func (co *spreadCommand) Execute([]string) error {
	var all []time.Duration
	for nu := range co.Changes {
		times, err := co.timeChange(nu)
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

func (co *spreadCommand) timeChange(number int) ([]time.Duration, error) {
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
		if err := setFaults(co.Platform, `{"down":true}`); err != nil {
			return nil, err
		}
		defer setFaults(co.Platform, `{}`) // an error here would not change the result
	}
	times := make([]time.Duration, len(co.URLs))
	var wait sync.WaitGroup
	for at, url := range co.URLs {
		wait.Go(func() {
			co.awaitGeneration(ctx, url, ap.Generation)
			times[at] = time.Since(accepted)
		})
	}
	wait.Wait()
	return times, errors.Wrap(ctx.Err(), "the change did not reach all entries within a minute")
}

// statusPollInterval is the time between two status requests to an entry.
const statusPollInterval = 10 * time.Millisecond

// awaitGeneration polls an entry's status until it has the generation or ctx ends.
func (co *spreadCommand) awaitGeneration(ctx context.Context, url string, generation uint64) {
	cl := client.Client{URL: url, Token: co.token()}
	for ctx.Err() == nil {
		var st trial.Status
		err := cl.Call(ctx, http.MethodGet, "/v1/status", nil, &st, client.Options{})
		if err == nil && st.Generation >= generation {
			return
		}
		time.Sleep(statusPollInterval)
	}
}

func setFaults(platform, body string) error {
	res, err := http.Post(platform+"/fault", "application/json", bytes.NewReader([]byte(body))) // on loopback, so no timeout is needed
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	return res.Body.Close()
}
