// Package subcmd implements the command line of bilberryshelf: the daemons, the
// operator commands and the demonstration.
package subcmd

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"bilberryshelf/core"
)

// Exit codes of all commands. They do not change between versions.
const (
	ExitOK = 0
	// ExitFailed means that the command failed and its effect is known.
	ExitFailed = 1
	// ExitUsage means that the command line or a settings file is invalid.
	ExitUsage = 2
	// ExitRefused means that a sheet or a change was refused and had no effect.
	ExitRefused = 3
	// ExitUnsettled means that it is unknown whether a change was accepted; the
	// settle command determines it.
	ExitUnsettled = 4
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (ex *exitError) Error() string { return ex.err.Error() }

func withExitCode(code int, err error) error { return &exitError{code: code, err: err} }

// command describes one subcommand. Its summary, description and example are
// the help of the subcommand; newData returns its go-flags command.
type command struct {
	name        string
	summary     string
	description string
	example     string
	newData     func(out io.Writer) any
}

var commands = []command{
	{
		name: "entry", summary: "run an entry",
		description: "Runs an entry, which serves callers, trainers and operators. SIGTERM drains it. Exit codes: 0 after a drain, 1 if it failed, 2 for invalid settings.",
		example:     "bilberryshelf entry --settings entry.toml",
		newData:     func(io.Writer) any { return &entryCommand{} },
	},
	{
		name: "guard", summary: "run the guard of a target",
		description: "Runs the guard of one target. SIGTERM drains it: it accepts no new requests, running requests continue, and it hands its idempotency keys over. Exit codes: 0 after a drain, 1 if it failed, 2 for invalid settings.",
		example:     "bilberryshelf guard --settings guard.toml",
		newData:     func(io.Writer) any { return &guardCommand{} },
	},
	{
		name: "node-entry", summary: "run an entry on the platform",
		description: "Runs an entry that reads its configuration, targets and jobs from the platform's metadata store. SIGTERM drains it; SIGHUP reads and checks the settings file again. Exit codes: 0 after a drain, 1 if it failed, 2 for invalid settings.",
		example:     "bilberryshelf node-entry --settings node.toml",
		newData:     func(io.Writer) any { return &nodeEntryCommand{} },
	},
	{
		name: "node-guard", summary: "run the guard of an engine on the platform",
		description: "Runs the guard of one engine, which loads the weight versions that trainers announce into the engine. Exit codes: 0 after a stop, 1 if it failed, 2 for invalid settings.",
		example:     "bilberryshelf node-guard --settings node.toml",
		newData:     func(io.Writer) any { return &nodeGuardCommand{} },
	},
	{
		name: "apply", summary: "apply a sheet",
		description: "Checks the whole sheet and submits it. With --dry-run, only prints the changes that it would make. Exit codes: 0 accepted or unchanged, 3 refused (every fault is printed with its row and column), 4 unknown whether accepted (run settle).",
		example:     "bilberryshelf apply --dry-run morning.csv",
		newData:     func(out io.Writer) any { return &applyCommand{out: out} },
	},
	{
		name: "status", summary: "show generation, loans and targets",
		description: "Prints the generation, loans and targets that one entry knows. Exit codes: 0, 1 if the entry does not respond.",
		example:     "bilberryshelf status",
		newData:     func(out io.Writer) any { return &statusCommand{out: out} },
	},
	{
		name: "loan", summary: "explain a loan",
		description: "Prints the phase of a loan, its limits at each target, who changed it last, and why new work is or is not admitted. Exit codes: 0, 3 if there is no such loan.",
		example:     "bilberryshelf loan desk-day",
		newData:     func(out io.Writer) any { return &loanCommand{out: out} },
	},
	{
		name: "recall", summary: "end a loan early",
		description: "Ends a loan before its planned end. Running requests may finish. Exit codes: 0 accepted, 3 refused, 4 unknown whether accepted (run settle).",
		example:     "bilberryshelf recall desk-day --at 2026-03-02T15:00:00Z",
		newData:     func(out io.Writer) any { return &recallCommand{out: out} },
	},
	{
		name: "weights", summary: "announce new weights",
		description: "Announces a version of a service's weights with a trainer's token. Exit codes: 0 accepted, 3 refused, 4 unknown whether accepted (announce it again).",
		example:     "bilberryshelf weights blend-lm 7 http://10.0.0.9:9000/weights/blend-lm/7",
		newData:     func(out io.Writer) any { return &weightsCommand{out: out} },
	},
	{
		name: "settle", summary: "determine whether an operation was accepted",
		description: "Determines whether an operation was accepted. An operation that was not is withdrawn and can no longer be accepted. Exit codes: 0 accepted, 3 withdrawn, 4 the platform does not respond.",
		example:     "bilberryshelf settle 5d0c2f0e-6a51-4f0d-8e0a-1d3a3f8b7c11",
		newData:     func(out io.Writer) any { return &settleCommand{out: out} },
	},
	{
		name: "check-settings", summary: "check a settings file",
		description: "Checks a settings file of an entry or, with --guard, of a guard, and prints every fault with file, line and key. Exit codes: 0 valid, 2 faults found.",
		example:     "bilberryshelf check-settings --guard guard.toml",
		newData:     func(out io.Writer) any { return &checkCommand{out: out} },
	},
	{
		name: "explain", summary: "collect the log lines of a request",
		description: "Prints the lines of all log files that contain the id of a request, job, item or target, ordered by time. Exit codes: 0, 1 if there is no such line.",
		example:     "bilberryshelf explain 3a42d2762e05eef9 entry-1.log entry-2.log",
		newData:     func(out io.Writer) any { return &explainCommand{out: out} },
	},
	{
		name: "steps", summary: "account for the time of steps",
		description: "Prints for each step in the log files where its time went, in seconds: until its last item began, until the trainer ended it, and the parts of the item that it waited for last. Give the logs of all entries. Exit codes: 0, 1 if there is no step.",
		example:     "bilberryshelf steps entry-1.log entry-2.log",
		newData:     func(out io.Writer) any { return &stepsCommand{out: out} },
	},
	{
		name: "version", summary: "print the version",
		description: "Prints the version of the program and of the toolchain. Exit code: 0.",
		example:     "bilberryshelf version",
		newData:     func(out io.Writer) any { return &versionCommand{out: out} },
	},
	{
		name: "demo", summary: "run the whole system in one process",
		description: "Starts a platform, targets, guards and an entry in one process on loopback, applies a sample sheet, serves one streamed completion, one non-idempotent check and one trainer step, and prints the results. With --serve it keeps running. Exit codes: 0, 1 if a result is not as expected.",
		example:     "bilberryshelf demo --serve",
		newData:     func(out io.Writer) any { return &demoCommand{out: out} },
	},
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	parser := flags.NewNamedParser("bilberryshelf", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A rollout service for reinforcement learning on targets that are lent."
	for _, co := range commands {
		if _, err := parser.AddCommand(co.name, co.summary, co.description+"\n\nExample: "+co.example, co.newData(out)); err != nil {
			fmt.Fprintln(errs, err) // a failed write to stderr cannot be reported
			return ExitUsage
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, out, errs)
}

func exitCode(err error, out, errs io.Writer) int {
	var (
		help *flags.Error
		ex   *exitError
		er   *core.Error
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		fmt.Fprintln(out, help.Message) // a write fails only if the output was closed
		return ExitOK
	case errors.As(err, &help):
		fmt.Fprintln(errs, help.Message) // a failed write to stderr cannot be reported
		return ExitUsage
	}
	fmt.Fprintln(errs, strings.TrimSpace(err.Error())) // a failed write to stderr cannot be reported
	switch {
	case errors.As(err, &ex):
		return ex.code
	case errors.As(err, &er) && er.Verdict == core.MayHaveRun:
		return ExitUnsettled
	case errors.As(err, &er):
		return ExitRefused
	}
	return ExitFailed
}

// Access holds the flags of the operator commands for the URL of an entry and
// the token.
type Access struct {
	URL      string `long:"url" default:"http://127.0.0.1:7000" env:"BILBERRYSHELF_URL" description:"the balancer or any entry"`
	TokenEnv string `long:"token-env" default:"BILBERRYSHELF_TOKEN" description:"the variable of the environment that holds the token"`
}

func (ac Access) token() string { return os.Getenv(ac.TokenEnv) }
