package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
)

type checksCommand struct {
	tokenFlags
	Entries  []string      `long:"entry" required:"yes" description:"an entry; give several"`
	Services []string      `long:"runs" required:"yes" description:"a stand-in service to read the runs from; give several"`
	Service  string        `long:"service" required:"yes"`
	Rate     float64       `long:"rate" default:"100"`
	For      time.Duration `long:"for" default:"20s"`
	Timeout  time.Duration `long:"timeout" default:"5s"`
	Name     string        `long:"name" default:"run" description:"prefix of the bodies, new for each run"`
	Settle   time.Duration `long:"settle" default:"3s" description:"wait before the runs are read"`
	out      io.Writer
}

// check is one request and the verdict of each attempt to send it, in order.
type check struct {
	body     string
	keyed    bool
	verdicts []core.Verdict
	// lastCode is the error code in the last response.
	lastCode string
}

// checksReport is the output: the outcomes of the requests and the broken promises,
// which are Doubled, FalseNotRun and AnsweredWithoutRun.
type checksReport struct {
	Sent               int `json:"sent"`
	Answered           int `json:"answered"`
	NotRun             int `json:"not-run"`
	MayHaveRun         int `json:"may-have-run"`
	NoAnswer           int `json:"no-answer"`
	RanOnce            int `json:"ran-once"`
	RanInDoubt         int `json:"ran-of-in-doubt"`
	Doubled            int `json:"doubled"`
	FalseNotRun        int `json:"false-not-run"`
	AnsweredWithoutRun int `json:"answered-without-run"`
	Resent             int `json:"resent"`
	// Codes is the number of checks that were not answered, by error code.
	Codes map[string]int `json:"codes,omitempty"`
	// UnansweredRunCodes is the number of checks that ran but were not answered, by error code.
	UnansweredRunCodes map[string]int `json:"doubts,omitempty"`
}

// noAnswer is the outcome of a request whose connection failed before a verdict was
// received.
const noAnswer core.Verdict = "no-answer"

// Execute sends the checks and compares their verdicts with the runs of the services.
// A keyed check without an answer, or with one in doubt, is sent again through another
// entry.
func (co *checksCommand) Execute([]string) error {
	var (
		wait   sync.WaitGroup
		total  = int(co.Rate * co.For.Seconds())
		checks = make([]check, total)
		client = newLoadClient()
		began  = time.Now()
	)
	for number := range total {
		time.Sleep(time.Until(began.Add(time.Duration(float64(number) / co.Rate * float64(time.Second)))))
		ch := &checks[number]
		ch.body, ch.keyed = fmt.Sprintf("%s-%d", co.Name, number), number%4 < 2 // each entry gets first sends of both keyed and unkeyed checks
		wait.Go(func() { co.sendWithRetries(client, number, ch) })
	}
	wait.Wait()
	time.Sleep(co.Settle)
	runs, err := co.readRuns()
	if err != nil {
		return err
	}
	re := compareWithRuns(checks, runs)
	if err := printJSON(co.out, re); err != nil {
		return err
	}
	if re.Doubled+re.FalseNotRun+re.AnsweredWithoutRun > 0 {
		return errors.New("a promise was broken")
	}
	return nil
}

// maxSends is the maximum number of attempts to send a check.
const maxSends = 3

func (co *checksCommand) sendWithRetries(client *http.Client, number int, ch *check) {
	for send := range maxSends {
		entry := co.Entries[(number+send)%len(co.Entries)]
		ve := co.send(client, entry, ch)
		ch.verdicts = append(ch.verdicts, ve)
		if !ch.keyed || ve == core.Ran || ve == core.NotRun {
			return
		}
		time.Sleep(time.Second)
	}
}

func (co *checksCommand) send(client *http.Client, entry string, ch *check) core.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), co.Timeout+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/services/"+co.Service+"/lots", strings.NewReader(ch.body))
	if err != nil {
		return noAnswer
	}
	req.Header.Set("Authorization", "Bearer "+co.token())
	req.Header.Set("Bilberryshelf-Timeout", co.Timeout.String())
	if ch.keyed {
		req.Header.Set("Idempotency-Key", ch.body)
	}
	// Without GetBody, net/http does not resend a keyed request by itself after a
	// connection error. Every send must be counted here.
	req.GetBody = nil
	res, err := client.Do(req)
	if err != nil {
		return noAnswer
	}
	defer res.Body.Close() // read below
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return noAnswer
	}
	ch.lastCode = errorCode(raw)
	return core.Verdict(res.Header.Get("Bilberryshelf-Verdict"))
}

// errorCode returns the code in an error response, or an empty string for any other
// response.
func errorCode(raw []byte) string {
	var reply struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(raw, &reply)
	return reply.Error.Code
}

func (co *checksCommand) readRuns() (map[string]int, error) {
	runs := map[string]int{}
	for _, url := range co.Services {
		res, err := http.Get(url + "/runs") // a fake on loopback, so no timeout is needed
		if err != nil {
			return nil, errors.Wrap(err, "read the runs")
		}
		var part map[string]int
		err = json.NewDecoder(res.Body).Decode(&part)
		res.Body.Close() // read above
		if err != nil {
			return nil, errors.Wrap(err, "read the runs")
		}
		for body, count := range part {
			runs[body] += count
		}
	}
	return runs, nil
}

// compareWithRuns compares the verdicts of the checks with the runs by body.
func compareWithRuns(checks []check, runs map[string]int) checksReport {
	re := checksReport{Codes: map[string]int{}, UnansweredRunCodes: map[string]int{}}
	for _, ch := range checks {
		re.Sent++
		re.Resent += len(ch.verdicts) - 1
		last := ch.verdicts[len(ch.verdicts)-1]
		re.countVerdict(last)
		re.countRuns(last, runs[ch.body])
		if last == core.Ran {
			continue
		}
		re.Codes[ch.lastCode]++
		if runs[ch.body] > 0 {
			re.UnansweredRunCodes[ch.lastCode]++
		}
	}
	return re
}

func (re *checksReport) countVerdict(last core.Verdict) {
	switch last {
	case core.Ran:
		re.Answered++
	case core.NotRun:
		re.NotRun++
	case noAnswer:
		re.NoAnswer++
	default:
		re.MayHaveRun++
	}
}

func (re *checksReport) countRuns(last core.Verdict, ran int) {
	switch {
	case ran > 1:
		re.Doubled++
	case ran == 1:
		re.RanOnce++
	}
	switch {
	case ran > 0 && last == core.NotRun:
		re.FalseNotRun++
	case ran == 0 && last == core.Ran:
		re.AnsweredWithoutRun++
	case ran > 0 && last != core.Ran:
		re.RanInDoubt++
	}
}
