// Package bench is the command line of bilberrylab. It runs the fakes of external
// systems as processes, generates load and measures the service.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"golang.org/x/time/rate"

	"bilberryshelf/fake"
	"bilberryshelf/server"
)

type command struct {
	name, title, text string
	data              func(out io.Writer) any
}

var commands = []command{
	{
		"engine", "run a stand-in model engine", "Serves the completions protocol with deterministic text. Faults: POST /fault.",
		func(io.Writer) any { return &engineCommand{} },
	},
	{
		"service", "run a stand-in plain service", "Counts how often each body was run: GET /runs. Faults: POST /fault.",
		func(io.Writer) any { return &serviceCommand{} },
	},
	{
		"platform", "run a stand-in platform", "Table service, object store, list of instances and weight store. Faults: POST /fault.",
		func(io.Writer) any { return &platformCommand{} },
	},
	{
		"trainer", "run a trainer", "Runs steps and reports the time, the weight versions and the wrong samples of each.",
		func(out io.Writer) any { return &trainerCommand{out: out} },
	},
	{
		"load", "send open-loop load to a URL", "Sends at a fixed rate and measures latencies from the intended send time.",
		func(out io.Writer) any { return &loadCommand{out: out} },
	},
	{
		"cost", "measure the latency that the path adds", "Compares calls through an entry with direct calls to the target, alternating in one run.",
		func(out io.Writer) any { return &costCommand{out: out} },
	},
	{
		"idle", "measure the resource usage of idle processes", "Measures processor time, memory and inner traffic of processes that serve no requests.",
		func(out io.Writer) any { return &idleCommand{out: out} },
	},
	{
		"spread", "measure how fast changes spread", "Applies sheets at one entry and waits until all entries have them.",
		func(out io.Writer) any { return &spreadCommand{out: out} },
	},
	{
		"slopes", "measure the cost of each kind of state and work", "Measures over several sizes, fits lines, and writes slopes.json and the plots of docs/CAPACITY.md.",
		func(out io.Writer) any { return &slopesCommand{out: out} },
	},
	{
		"page", "write the tables of docs/CAPACITY.md", "Computes the tables from slopes.json and many.json.",
		func(out io.Writer) any { return &pageCommand{out: out} },
	},
	{
		"checks", "send non-idempotent checks during failures", "Sends keyed and unkeyed checks through several entries and compares every verdict with what the services ran.",
		func(out io.Writer) any { return &checksCommand{out: out} },
	},
}

// Main runs the command line and returns the exit code: 0 for success, 1 if a run
// failed or a promise was broken, 2 for an invalid command line.
func Main(args []string, out, errs io.Writer) int {
	parser := flags.NewNamedParser("bilberrylab", flags.HelpFlag|flags.PassDoubleDash)
	for _, co := range commands {
		if _, err := parser.AddCommand(co.name, co.title, co.text, co.data(out)); err != nil {
			fmt.Fprintln(errs, err) // a write error cannot be reported
			return 2
		}
	}
	_, err := parser.ParseArgs(args)
	var wrong *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Fprintln(out, wrong.Message) // a write error cannot be reported
		return 0
	case errors.As(err, &wrong):
		fmt.Fprintln(errs, wrong.Message) // a write error cannot be reported
		return 2
	}
	fmt.Fprintln(errs, err) // a write error cannot be reported
	return 1
}

// listenFlags are the flags of commands that run a server.
type listenFlags struct {
	Listen string `long:"listen" required:"yes" description:"IP number and port"`
}

// serve runs an HTTP server until SIGINT or SIGTERM.
func (li listenFlags) serve(handler http.Handler) error {
	se := &server.Server{Handler: handler}
	if err := se.Listen(li.Listen); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		se.Abort()
	}()
	return se.Run()
}

// crashCode is the exit code of a fake after a crash fault.
const crashCode = 3

func crash() { os.Exit(crashCode) }

type engineCommand struct {
	listenFlags
	TokenEvery time.Duration `long:"token-every" default:"2ms" description:"time of a token in an empty batch"`
	Prefill    time.Duration `long:"prefill" default:"5ms" description:"time of a prompt that is not cached"`
	Swap       time.Duration `long:"swap" default:"50ms" description:"time of a load of weights"`
	Batch      int           `long:"batch" default:"64" description:"most sequences at once"`
}

// Execute runs the engine.
func (co *engineCommand) Execute([]string) error {
	en := &fake.Engine{TokenEvery: co.TokenEvery, PrefillTime: co.Prefill, SwapTime: co.Swap, MaxBatch: co.Batch, Crash: crash}
	return co.serve(en.Handler())
}

type serviceCommand struct {
	listenFlags
	Takes time.Duration `long:"takes" default:"5ms" description:"time of a call"`
}

// Execute runs the service.
func (co *serviceCommand) Execute([]string) error {
	return co.serve((&fake.Service{CallTime: co.Takes, Crash: crash}).Handler())
}

type platformCommand struct {
	listenFlags
	WeightRate float64 `long:"weight-rate" default:"400" description:"loads of weights a second"`
}

// Execute runs the platform.
func (co *platformCommand) Execute([]string) error {
	pl := &fake.Platform{WeightLoads: rate.NewLimiter(rate.Limit(co.WeightRate), int(co.WeightRate/4)+1)}
	return co.serve(pl.Handler())
}

// tokenFlags are the flags of commands that authenticate with a token.
type tokenFlags struct {
	TokenEnv string `long:"token-env" default:"BILBERRYSHELF_TOKEN" description:"the variable of the environment that holds the token"`
}

func (to tokenFlags) token() string { return os.Getenv(to.TokenEnv) }

func printJSON(out io.Writer, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "print")
	}
	fmt.Fprintln(out, string(raw))
	return nil
}
