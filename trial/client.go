package trial

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/client"
	"bilberryshelf/core"
)

// SheetHeader is the header line of a sheet.
const SheetHeader = "loan,lender,service,targets,borrower,kind,from,until,priority,max-in-flight,cut-off\n"

// LoanRow returns the sheet row of a loan that started an hour ago and ends
// after the given duration from now.
func LoanRow(id, service, targets, borrower string, kind core.BorrowerKind, pr core.Priority, until time.Duration) string {
	now := time.Now()
	return fmt.Sprintf("%s,lab,%s,%s,%s,%s,%s,%s,%s,,keep\n", id, service, targets, borrower, kind,
		now.Add(-time.Hour).Format(time.RFC3339), now.Add(until).Format(time.RFC3339), pr)
}

// ApplyResult is the response to a sheet.
type ApplyResult struct {
	Operation  string   `json:"operation"`
	Generation uint64   `json:"generation"`
	Changes    []Change `json:"changes"`
}

// Change is one change that a sheet makes to a loan.
type Change struct {
	Loan string `json:"loan"`
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// Operator returns a client of the entry with the operator's token.
func (no *Node) Operator() *client.Client { return &client.Client{URL: no.URL, Token: OperatorToken} }

// Trainer returns a client of the entry with the trainer's token.
func (no *Node) Trainer() *client.Client { return &client.Client{URL: no.URL, Token: TrainerToken} }

// Apply applies a sheet and waits until all targets are serving.
func (no *Node) Apply(ctx context.Context, sheet string) (ApplyResult, error) {
	var ap ApplyResult
	err := no.Operator().Call(ctx, http.MethodPost, "/v1/sheets", []byte(sheet), &ap, client.Options{})
	if err != nil {
		return ap, err
	}
	return ap, no.WaitServing(ctx)
}

// Status is the state that an entry reports.
type Status struct {
	Generation uint64         `json:"generation"`
	Targets    []TargetStatus `json:"targets"`
	Entries    []string       `json:"entries"`
}

// TargetStatus is the state of one target.
type TargetStatus struct {
	Name    string     `json:"name"`
	State   core.State `json:"state"`
	Version uint64     `json:"version"`
}

// Status requests the entry's state.
func (no *Node) Status(ctx context.Context) (Status, error) {
	var st Status
	err := no.Operator().Call(ctx, http.MethodGet, "/v1/status", nil, &st, client.Options{})
	return st, err
}

// pollInterval is the time between two status requests of Wait.
const pollInterval = 20 * time.Millisecond

// WaitServing waits until the entry lists at least one target and all of them
// are serving.
func (no *Node) WaitServing(ctx context.Context) error {
	return no.Wait(ctx, func(st Status) bool {
		for _, ta := range st.Targets {
			if ta.State != core.Serving {
				return false
			}
		}
		return len(st.Targets) > 0
	})
}

// Wait polls the entry's status until the condition holds or the context ends.
func (no *Node) Wait(ctx context.Context, cond func(st Status) bool) error {
	for {
		st, err := no.Status(ctx)
		if err == nil && cond(st) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("condition not met, last status: %+v, %v", st, err)
		case <-time.After(pollInterval):
		}
	}
}

// Announce announces a version of a service's weights.
func (no *Node) Announce(ctx context.Context, service string, version uint64) error {
	var answer struct{}
	body := fmt.Sprintf(`{"service":%q,"version":%d,"object":"weights/%s/%d"}`, service, version, service, version)
	return no.Trainer().Call(ctx, http.MethodPost, "/v1/weights", []byte(body), &answer, client.Options{})
}

// Answer is the response to a caller's request.
type Answer struct {
	Status  int
	Header  http.Header
	Body    string
	Verdict core.Verdict
	// Err is set if no response arrived or its body is incomplete.
	Err error
}

// Send sends a request with the caller's token.
func (no *Node) Send(ctx context.Context, path, body string, headers map[string]string) Answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, no.URL+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+CallerToken)
	req.Header.Set("Content-Type", "application/json")
	for na, va := range headers {
		req.Header.Set(na, va)
	}
	req.GetBody = nil // keeps net/http from sending the request twice
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer res.Body.Close() // read below
	raw, err := io.ReadAll(res.Body)
	return Answer{
		Status: res.StatusCode, Header: res.Header, Body: string(raw), Err: err,
		Verdict: core.Verdict(res.Header.Get("Bilberryshelf-Verdict")),
	}
}
