// Package bench is the command line of bilberrylab: the stand-ins as
// processes, load, and measurements.
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
		"trainer", "run a trainer", "Runs steps and reports the time, the versions and the exactness of each.",
		func(out io.Writer) any { return &trainerCommand{out: out} },
	},
	{
		"load", "put open-loop load on a URL", "Sends at a stated rate; latencies count from the intended send time.",
		func(out io.Writer) any { return &loadCommand{out: out} },
	},
	{
		"cost", "measure what the path adds", "Compares calls through an entry with calls to the target itself, in turn, in one run.",
		func(out io.Writer) any { return &costCommand{out: out} },
	},
	{
		"idle", "watch what processes use", "Processor time, memory and inner bytes of processes that do nothing but control.",
		func(out io.Writer) any { return &idleCommand{out: out} },
	},
	{
		"spread", "time the spread of changes", "Applies sheets at one entry and watches them arrive at all.",
		func(out io.Writer) any { return &spreadCommand{out: out} },
	},
	{
		"slopes", "measure what each part of the state and work costs", "Measures over several sizes, fits lines, and writes slopes.json and the plots of docs/CAPACITY.md.",
		func(out io.Writer) any { return &slopesCommand{out: out} },
	},
	{
		"page", "write the tables of docs/CAPACITY.md", "Works out the tables from slopes.json and many.json.",
		func(out io.Writer) any { return &pageCommand{out: out} },
	},
	{
		"checks", "send non-idempotent checks while things fail", "Sends keyed and unkeyed checks through several entries and compares every verdict with what the services ran.",
		func(out io.Writer) any { return &checksCommand{out: out} },
	},
}

// Main runs the command line and returns the exit code: 0, 1 if a run failed
// or a promise was broken, 2 for a wrong command line.
func Main(args []string, out, errs io.Writer) int {
	parser := flags.NewNamedParser("bilberrylab", flags.HelpFlag|flags.PassDoubleDash)
	for _, co := range commands {
		if _, err := parser.AddCommand(co.name, co.title, co.text, co.data(out)); err != nil {
			fmt.Fprintln(errs, err) // there is nowhere else to say it
			return 2
		}
	}
	_, err := parser.ParseArgs(args)
	var wrong *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Fprintln(out, wrong.Message) // help that nobody reads
		return 0
	case errors.As(err, &wrong):
		fmt.Fprintln(errs, wrong.Message) // there is nowhere else to say it
		return 2
	}
	fmt.Fprintln(errs, err) // there is nowhere else to say it
	return 1
}

// listenFlags say where a stand-in listens.
type listenFlags struct {
	Listen string `long:"listen" required:"yes" description:"IP number and port"`
}

// serve runs a handler until a signal.
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

// crashCode is the exit code of a stand-in that was told to crash.
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

// tokenFlags say which variable of the environment holds a token.
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
