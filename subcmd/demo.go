package subcmd

import (
	"bufio"
	"context"
	"encoding/json"
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
	"bilberryshelf/fake"
	"bilberryshelf/sample"
	"bilberryshelf/server"
	"bilberryshelf/setup"
	"bilberryshelf/store"
)

type demoCommand struct {
	Serve bool `long:"serve" description:"stay up and print lines to try"`
	Logs  bool `long:"logs" description:"print the logs of the daemons"`
	out   io.Writer
}

// demo is everything in one process on loopback.
type demo struct {
	platform *fake.Platform
	service  *fake.Service
	servers  []*server.Server
	parts    []part
	url      string
	logger   log.Logger
}

const (
	demoOperator = "operator-demo"
	demoTrainer  = "trainer-demo"
	demoCaller   = "caller-demo"
	demoNode     = "node-demo"
	// demoWait bounds the demonstration.
	demoWait = 30 * time.Second
)

// Execute runs the demonstration.
func (de *demoCommand) Execute([]string) error {
	world := &demo{logger: log.NewNopLogger()}
	if de.Logs {
		world.logger = level.NewFilter(log.NewLogfmtLogger(os.Stderr), level.AllowInfo())
	}
	defer world.close()
	if err := world.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoWait)
	defer cancel()
	if err := de.show(ctx, world); err != nil {
		return err
	}
	if !de.Serve {
		return nil
	}
	return de.stay(world)
}

func (de *demoCommand) say(format string, args ...any) {
	fmt.Fprintf(de.out, format+"\n", args...) //nolint:errcheck // output
}

func (de *demoCommand) show(ctx context.Context, world *demo) error {
	for _, act := range []func(context.Context, *demo) error{
		de.applySheet, de.announce, de.desk, de.check, de.step,
	} {
		if err := act(ctx, world); err != nil {
			return err
		}
	}
	de.say("all as promised")
	return nil
}

// start brings up platform, targets, guards and entry.
func (wo *demo) start() error {
	wo.platform = &fake.Platform{}
	wo.service = &fake.Service{Takes: 5 * time.Millisecond}
	platform, err := wo.serve(wo.platform.Handler())
	if err != nil {
		return err
	}
	var engines []string
	for range 2 {
		engine := &fake.Engine{TokenEvery: 2 * time.Millisecond, Prefill: 5 * time.Millisecond, SwapTime: 20 * time.Millisecond, Crash: func() {}}
		url, err := wo.serve(engine.Handler())
		if err != nil {
			return err
		}
		engines = append(engines, url)
	}
	service, err := wo.serve(wo.service.Handler())
	if err != nil {
		return err
	}
	instances := []store.Instance{}
	for _, ta := range []struct {
		name, service, domain, url string
		model                      bool
	}{
		{"blend-lm-01", "blend-lm", "recife-a", engines[0], true},
		{"blend-lm-02", "blend-lm", "recife-b", engines[1], true},
		{"lot-check-01", "lot-check", "recife-a", service, false},
	} {
		addr, err := wo.startGuard(platform, ta.name, ta.service, ta.domain, ta.url, ta.model)
		if err != nil {
			return err
		}
		instances = append(instances, store.Instance{
			Name: ta.name, Role: store.RoleGuard, Service: ta.service,
			Region: "recife", Domain: ta.domain, Addr: addr, State: core.Serving,
		})
	}
	wo.platform.SetInstances(instances)
	return wo.startEntry(platform)
}

func (wo *demo) serve(handler http.Handler) (string, error) {
	se := &server.Server{Handler: handler}
	if err := se.Listen("127.0.0.1:0"); err != nil {
		return "", err
	}
	wo.servers = append(wo.servers, se)
	go se.Run() //nolint:errcheck // ends with the demonstration
	return "http://" + se.Addr(), nil
}

func demoPlatform(url string) setup.Platform {
	pl := setup.DefaultEntry().Platform
	pl.TablesURL, pl.ObjectsURL, pl.InstancesURL = url, url+"/objects", url+"/instances"
	return pl
}

func (wo *demo) startGuard(platform, name, service, domain, url string, model bool) (string, error) {
	se := setup.DefaultGuard()
	se.Target, se.Service, se.Listen = name, service, "127.0.0.1:0"
	se.Place = setup.Place{Region: "recife", FailureDomain: domain}
	se.Platform = demoPlatform(platform)
	se.Token = setup.Token{Name: name, Role: setup.Node, Token: demoNode}
	se.Engine = setup.Engine{URL: url, Model: model, Fenced: true}
	gu, servers, err := newGuard(se, wo.logger)
	if err != nil {
		return "", err
	}
	wo.run(gu, servers)
	return servers[0].Addr(), nil
}

func (wo *demo) startEntry(platform string) error {
	se := setup.DefaultEntry()
	se.Name, se.Listen, se.InnerListen = "entry-1", "127.0.0.1:0", "127.0.0.1:0"
	se.Place = setup.Place{Region: "recife", FailureDomain: "recife-a"}
	se.Platform = demoPlatform(platform)
	se.Timing.DrainDelay = 0
	se.Timing.HelloEvery = setup.Duration(100 * time.Millisecond)
	se.Tokens = []setup.Token{
		{Name: "planner", Role: setup.Operator, Token: demoOperator},
		{Name: "chemists", Role: setup.Trainer, Token: demoTrainer},
		{Name: "sales-desk", Role: setup.Caller, Token: demoCaller},
		{Name: "nodes", Role: setup.Node, Token: demoNode},
	}
	en, servers, err := newEntry(se, wo.logger)
	if err != nil {
		return err
	}
	wo.run(en, servers)
	wo.url = "http://" + servers[0].Addr()
	return nil
}

func (wo *demo) run(pa part, servers []*server.Server) {
	wo.parts = append(wo.parts, pa)
	wo.servers = append(wo.servers, servers...)
	for _, se := range servers {
		go se.Run() //nolint:errcheck // ends with the demonstration
	}
	go pa.Run() //nolint:errcheck // ends with the demonstration
}

// close drains the daemons, entry first, then ends the servers.
func (wo *demo) close() {
	for at := len(wo.parts) - 1; at >= 0; at-- {
		wo.parts[at].Stop()
		<-wo.parts[at].Done()
	}
	for _, se := range wo.servers {
		se.Abort()
	}
}

func demoSheet(now time.Time) string {
	from, until := now.Add(-time.Hour).Format(time.RFC3339), now.Add(8*time.Hour).Format(time.RFC3339)
	return strings.Join([]string{
		"loan,lender,service,targets,borrower,kind,from,until,priority,max-in-flight,cut-off",
		"desk-day,pigment-lab,blend-lm,blend-lm-[01-02],sales-desk,caller," + from + "," + until + ",high,,keep",
		"train-day,pigment-lab,blend-lm,blend-lm-[01-02],chemists,trainer," + from + "," + until + ",low,,keep",
		"lots-day,records,lot-check,lot-check-01,sales-desk,service," + from + "," + until + ",normal,4,stop",
		"",
	}, "\n")
}

func (de *demoCommand) applySheet(ctx context.Context, world *demo) error {
	cl := client.Client{URL: world.url, Token: demoOperator}
	var result applyResult
	if err := cl.Call(ctx, http.MethodPost, "/v1/sheets", []byte(demoSheet(time.Now())), &result, client.Options{}); err != nil {
		return err
	}
	for _, ch := range result.Changes {
		de.say("sheet    %s", ch)
	}
	de.say("sheet    accepted as generation %d", result.Generation)
	return world.waitReady(ctx)
}

// waitReady waits until all targets serve under the sheet.
func (wo *demo) waitReady(ctx context.Context) error {
	cl := client.Client{URL: wo.url, Token: demoOperator}
	for {
		var state struct {
			Targets []struct {
				State core.State `json:"state"`
			} `json:"targets"`
		}
		if err := cl.Call(ctx, http.MethodGet, "/v1/status", nil, &state, client.Options{}); err != nil {
			return err
		}
		serving := 0
		for _, ta := range state.Targets {
			if ta.State == core.Serving {
				serving++
			}
		}
		if serving == len(state.Targets) && serving > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%d of %d targets serve", serving, len(state.Targets))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (de *demoCommand) announce(ctx context.Context, world *demo) error {
	cl := client.Client{URL: world.url, Token: demoTrainer}
	var result struct {
		Generation uint64 `json:"generation"`
	}
	body := []byte(`{"service":"blend-lm","version":1,"object":"weights/blend-lm/1"}`)
	if err := cl.Call(ctx, http.MethodPost, "/v1/weights", body, &result, client.Options{}); err != nil {
		return err
	}
	de.say("weights  version 1 of blend-lm announced, generation %d", result.Generation)
	return nil
}

func (wo *demo) request(ctx context.Context, path, body string, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, wo.url+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+demoCaller)
	req.Header.Set("Content-Type", "application/json")
	for na, va := range headers {
		req.Header.Set(na, va)
	}
	return http.DefaultClient.Do(req)
}

func (de *demoCommand) desk(ctx context.Context, world *demo) error {
	const prompt = "shade match for ultramarine on kraft board"
	res, err := world.request(ctx, "/v1/completions",
		`{"model":"blend-lm","prompt":"`+prompt+`","max_tokens":24,"stream":true}`, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close() //nolint:errcheck // read below
	events, text := 0, ""
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found || json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		events++
		text += chunk.Choices[0].Text
	}
	if want := fake.Answer(prompt, 0, 24); text != want {
		return errors.Newf("the desk got %q in place of %q", text, want)
	}
	de.say("desk     %s, %d events from %s, verdict %s: %.40s...", res.Status, events,
		res.Header.Get("Bilberryshelf-Target"), res.Header.Get("Bilberryshelf-Verdict"), text)
	return nil
}

func (de *demoCommand) check(ctx context.Context, world *demo) error {
	const body = `{"lot":"B-1047"}`
	for attempt := range 2 {
		res, err := world.request(ctx, "/services/lot-check/lots", body, map[string]string{"Idempotency-Key": "lot-B-1047"})
		if err != nil {
			return err
		}
		raw, err := io.ReadAll(res.Body)
		res.Body.Close() //nolint:errcheck // read above
		if err != nil || res.StatusCode != http.StatusOK {
			return errors.Newf("the check was answered with %s: %s", res.Status, raw)
		}
		de.say("check    send %d: %s, verdict %s: %s", attempt+1, res.Status, res.Header.Get("Bilberryshelf-Verdict"), strings.TrimSpace(string(raw)))
	}
	runs := world.service.Runs()[body]
	if runs != 1 {
		return errors.Newf("the check ran %d times", runs)
	}
	de.say("check    sent twice with one key, ran once")
	return nil
}

func (de *demoCommand) step(ctx context.Context, world *demo) error {
	st := client.Step{
		Client: &client.Client{URL: world.url, Token: demoTrainer},
		Spec: sample.Spec{
			Step: "step-1", Service: "blend-lm", GroupSize: 4, MaxTokens: 64, Staleness: 1, Version: 1,
			Prompts: []string{"blend for flexo cyan", "blend for offset magenta", "blend for flexo white", "blend for offset black"},
		},
		Wait: time.Second,
	}
	slots := map[sample.Slot]int{}
	versions := map[uint64]int{}
	err := st.Run(ctx, func(sa sample.Sample) error {
		slots[sa.Slot]++
		for _, se := range sa.Segments {
			versions[se.Version]++
		}
		if len(slots)%4 == 0 {
			de.say("step     %d of %d samples", len(slots), st.Spec.Slots())
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
	de.say("step     whole: %d samples, each once; segments by version: %v", len(slots), versions)
	return nil
}

// stay keeps the demonstration up until an interrupt.
func (de *demoCommand) stay(world *demo) error {
	de.say("\nserving on %s; try:", world.url)
	de.say(`  curl -s %s/v1/completions -H 'Authorization: Bearer %s' -d '{"model":"blend-lm","prompt":"warm grey","max_tokens":16}'`, world.url, demoCaller)
	de.say(`  curl -si %s/services/lot-check/lots -H 'Authorization: Bearer %s' -H 'Idempotency-Key: lot-7' -d '{"lot":"7"}'`, world.url, demoCaller)
	de.say(`  curl -s %s/v1/status -H 'Authorization: Bearer %s'`, world.url, demoOperator)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	<-ctx.Done()
	return nil
}
