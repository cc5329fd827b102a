package subcmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"bilberryshelf/client"
	"bilberryshelf/core"
	"bilberryshelf/engine"
	"bilberryshelf/fake"
	"bilberryshelf/sample"
	"bilberryshelf/trial"
)

type demoCommand struct {
	Serve bool `long:"serve" description:"stay up and print lines to try"`
	Logs  bool `long:"logs" description:"print the logs of the daemons"`
	out   io.Writer
}

// demoTimeout is the time limit of the demonstration. The serving that follows
// with --serve has no limit.
const demoTimeout = 30 * time.Second

// demoTargets are the targets of the demonstration.
var demoTargets = []struct{ name, service, domain string }{
	{"blend-lm-01", "blend-lm", "recife-a"},
	{"blend-lm-02", "blend-lm", "recife-b"},
	{"lot-check-01", "lot-check", "recife-a"},
}

// Execute runs the demonstration.
func (de *demoCommand) Execute([]string) error {
	lg := log.NewNopLogger()
	if de.Logs {
		lg = level.NewFilter(log.NewLogfmtLogger(os.Stderr), level.AllowInfo())
	}
	cl, err := trial.New(lg)
	if err != nil {
		return err
	}
	defer cl.Close()
	no, service, err := startDemo(cl)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := de.run(ctx, no, service); err != nil {
		return err
	}
	if !de.Serve {
		return nil
	}
	return de.waitForInterrupt(no)
}

func startDemo(cl *trial.Cluster) (*trial.Node, *fake.Service, error) {
	service := &fake.Service{CallTime: 5 * time.Millisecond}
	for _, ta := range demoTargets {
		en := &fake.Engine{TokenEvery: 2 * time.Millisecond, PrefillTime: 5 * time.Millisecond, SwapTime: 20 * time.Millisecond}
		sv := service
		if ta.service == "blend-lm" {
			sv = nil
		} else {
			en = nil
		}
		if _, err := cl.AddTarget(ta.name, ta.service, ta.domain, en, sv, nil); err != nil {
			return nil, nil, err
		}
	}
	no, err := cl.AddEntry("entry-1", "recife-a", nil)
	return no, service, err
}

func (de *demoCommand) printLine(format string, args ...any) {
	fmt.Fprintf(de.out, format+"\n", args...)
}

func (de *demoCommand) run(ctx context.Context, no *trial.Node, service *fake.Service) error {
	if err := de.applySheet(ctx, no); err != nil {
		return err
	}
	if err := de.streamCompletion(ctx, no); err != nil {
		return err
	}
	if err := de.sendTwice(ctx, no, service); err != nil {
		return err
	}
	if err := de.runStep(ctx, no); err != nil {
		return err
	}
	de.printLine("all results as expected")
	return nil
}

func demoSheet() string {
	const day = 8 * time.Hour
	return trial.SheetHeader +
		trial.LoanRow("desk-day", "blend-lm", "blend-lm-[01-02]", "sales-desk", core.Caller, core.High, day) +
		trial.LoanRow("train-day", "blend-lm", "blend-lm-[01-02]", "chemists", core.Trainer, core.Low, day) +
		trial.LoanRow("lots-day", "lot-check", "lot-check-01", "sales-desk", core.Service, core.Normal, day)
}

func (de *demoCommand) applySheet(ctx context.Context, no *trial.Node) error {
	ap, err := no.Apply(ctx, demoSheet())
	if err != nil {
		return err
	}
	for _, ch := range ap.Changes {
		de.printLine("sheet    %s: %s", ch.Loan, ch.Text)
	}
	de.printLine("sheet    accepted as generation %d, all targets serve", ap.Generation)
	if err := no.Announce(ctx, "blend-lm", 1); err != nil {
		return err
	}
	de.printLine("weights  version 1 of blend-lm announced")
	return nil
}

func (de *demoCommand) streamCompletion(ctx context.Context, no *trial.Node) error {
	const prompt = "shade match for ultramarine on kraft board"
	an := no.Send(ctx, "/v1/completions", `{"model":"blend-lm","prompt":"`+prompt+`","max_tokens":24,"stream":true}`, nil)
	if an.Err != nil {
		return an.Err
	}
	var (
		stream engine.Parser
		text   string
		events int
	)
	for _, ev := range stream.Feed([]byte(an.Body)) {
		text += ev.Text
		events++
	}
	if want := fake.Answer(prompt, 0, 24); text != want {
		return errors.Newf("the text of the completion is %q, want %q", text, want)
	}
	de.printLine("desk     %d, %d events from %s, verdict %s: %s", an.Status, events,
		an.Header.Get("Bilberryshelf-Target"), an.Verdict, text)
	return nil
}

func (de *demoCommand) sendTwice(ctx context.Context, no *trial.Node, service *fake.Service) error {
	const body = `{"lot":"B-1047"}`
	for send := range 2 {
		an := no.Send(ctx, "/services/lot-check/lots", body, map[string]string{"Idempotency-Key": "lot-B-1047"})
		if an.Err != nil || an.Status != http.StatusOK {
			return errors.Newf("the check got status %d: %s %v", an.Status, an.Body, an.Err)
		}
		de.printLine("check    send %d: %d, verdict %s: %s", send+1, an.Status, an.Verdict, strings.TrimSpace(an.Body))
	}
	if runs := service.Runs()[body]; runs != 1 {
		return errors.Newf("the check ran %d times, want once", runs)
	}
	de.printLine("check    sent twice with one key, ran once")
	return nil
}

func (de *demoCommand) runStep(ctx context.Context, no *trial.Node) error {
	st := client.Step{
		Client: no.Trainer(),
		Spec: sample.Spec{
			Step: "step-1", Service: "blend-lm", GroupSize: 4, MaxTokens: 64, Staleness: 1, Version: 1,
			Prompts: []string{"blend for flexo cyan", "blend for offset magenta", "blend for flexo white", "blend for offset black"},
		},
		Wait: time.Second,
	}
	slots, versions := map[sample.Slot]int{}, map[uint64]int{}
	err := st.Run(ctx, func(sa sample.Sample) error {
		slots[sa.Slot]++
		for _, se := range sa.Segments {
			versions[se.Version] += se.Tokens
		}
		if len(slots)%4 == 0 {
			de.printLine("step     %d of %d samples", len(slots), st.Spec.Slots())
		}
		return nil
	})
	if err != nil {
		return err
	}
	for sl, count := range slots {
		if count != 1 {
			return errors.Newf("slot %v was delivered %d times", sl, count)
		}
	}
	if len(slots) != st.Spec.Slots() {
		return errors.Newf("%d of %d slots were delivered", len(slots), st.Spec.Slots())
	}
	de.printLine("step     complete: %d samples, each delivered once; tokens by version: %v", len(slots), versions)
	return nil
}

// waitForInterrupt prints example requests and blocks until an interrupt.
func (de *demoCommand) waitForInterrupt(no *trial.Node) error {
	de.printLine("\nserving on %s; try:", no.URL)
	de.printLine(`  curl -s %s/v1/completions -H 'Authorization: Bearer %s' -d '{"model":"blend-lm","prompt":"warm grey","max_tokens":16}'`, no.URL, trial.CallerToken)
	de.printLine(`  curl -si %s/services/lot-check/lots -H 'Authorization: Bearer %s' -H 'Idempotency-Key: lot-7' -d '{"lot":"7"}'`, no.URL, trial.CallerToken)
	de.printLine(`  curl -s %s/v1/status -H 'Authorization: Bearer %s'`, no.URL, trial.OperatorToken)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	<-ctx.Done()
	return nil
}
