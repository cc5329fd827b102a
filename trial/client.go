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

// Header is the header of a sheet.
const Header = "loan,lender,service,targets,borrower,kind,from,until,priority,max-in-flight,cut-off\n"

// Loan writes a row of a sheet for a loan from an hour ago.
func Loan(id, service, targets, borrower string, kind core.BorrowerKind, pr core.Priority, until time.Duration) string {
	now := time.Now()
	return fmt.Sprintf("%s,lab,%s,%s,%s,%s,%s,%s,%s,,keep\n", id, service, targets, borrower, kind,
		now.Add(-time.Hour).Format(time.RFC3339), now.Add(until).Format(time.RFC3339), pr)
}

// Applied is the answer to a sheet.
type Applied struct {
	Operation  string   `json:"operation"`
	Generation uint64   `json:"generation"`
	Changes    []Change `json:"changes"`
}

// Change is one line of the difference that a sheet makes.
type Change struct {
	Loan string `json:"loan"`
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// Operator is a client of an entry with the operator's token.
func (no *Node) Operator() *client.Client { return &client.Client{URL: no.URL, Token: OperatorToken} }

// Trainer is a client of an entry with the trainer's token.
func (no *Node) Trainer() *client.Client { return &client.Client{URL: no.URL, Token: TrainerToken} }

// Apply applies a sheet and waits until all targets serve under it.
func (no *Node) Apply(ctx context.Context, sheet string) (Applied, error) {
	var ap Applied
	err := no.Operator().Call(ctx, http.MethodPost, "/v1/sheets", []byte(sheet), &ap, client.Options{})
	if err != nil {
		return ap, err
	}
	return ap, no.WaitServing(ctx)
}

// Status is what an entry tells of its targets.
type Status struct {
	Generation uint64         `json:"generation"`
	Targets    []TargetStatus `json:"targets"`
	Entries    []string       `json:"entries"`
}

// TargetStatus is one of them.
type TargetStatus struct {
	Name    string     `json:"name"`
	State   core.State `json:"state"`
	Version uint64     `json:"version"`
}

// Status asks an entry for its state.
func (no *Node) Status(ctx context.Context) (Status, error) {
	var st Status
	err := no.Operator().Call(ctx, http.MethodGet, "/v1/status", nil, &st, client.Options{})
	return st, err
}

// waitPace is the time between two looks of a waiter.
const waitPace = 20 * time.Millisecond

// WaitServing waits until every target serves.
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

// Wait waits until the status is as wanted.
func (no *Node) Wait(ctx context.Context, wanted func(st Status) bool) error {
	for {
		st, err := no.Status(ctx)
		if err == nil && wanted(st) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("not as wanted: %+v, %v", st, err)
		case <-time.After(waitPace):
		}
	}
}

// Announce announces weights.
func (no *Node) Announce(ctx context.Context, service string, version uint64) error {
	var answer struct{}
	body := fmt.Sprintf(`{"service":%q,"version":%d,"object":"weights/%s/%d"}`, service, version, service, version)
	return no.Trainer().Call(ctx, http.MethodPost, "/v1/weights", []byte(body), &answer, client.Options{})
}

// Answer is what a caller got.
type Answer struct {
	Status  int
	Header  http.Header
	Body    string
	Verdict core.Verdict
	// Err is set when the answer did not arrive whole.
	Err error
}

// Send sends a caller's request.
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
	req.GetBody = nil // the library is not to send it again
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
