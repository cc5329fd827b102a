// Package subcmd is the command line of bilberryshelf: the daemons, the
// operator's commands and the demonstration.
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

// The exit codes. They are stable.
const (
	ExitOK = 0
	// ExitFailed means that the command failed and it is known what was done.
	ExitFailed = 1
	// ExitUsage means that the command line or a settings file is wrong.
	ExitUsage = 2
	// ExitRefused means that a sheet or a change was refused; nothing was done.
	ExitRefused = 3
	// ExitUnsettled means that it is not known whether a change was accepted;
	// settle tells.
	ExitUnsettled = 4
)

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

func (ex *exitError) Error() string { return ex.err.Error() }

func withExitCode(code int, err error) error { return &exitError{code: code, err: err} }

// command describes one subcommand. The table of commands is the whole of the
// documentation that the help prints.
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
		description: "Runs an entry: the interface for callers, trainers and operators. SIGTERM drains it. Exit codes: 0 after a drain, 1 if it failed, 2 for wrong settings.",
		example:     "bilberryshelf entry --settings entry.toml",
		newData:     func(io.Writer) any { return &entryCommand{} },
	},
	{
		name: "guard", summary: "run the guard of a target",
		description: "Runs the guard beside one target. SIGTERM drains it: no new work, what runs goes on, the keys are handed over. Exit codes: 0 after a drain, 1 if it failed, 2 for wrong settings.",
		example:     "bilberryshelf guard --settings guard.toml",
		newData:     func(io.Writer) any { return &guardCommand{} },
	},
	{
		name: "node-entry", summary: "run an entry on the platform",
		description: "Runs an entry that takes its configuration, targets and jobs from the platform's metadata store. SIGTERM drains it, SIGHUP checks the settings anew. Exit codes: 0 after a drain, 1 if it failed, 2 for wrong settings.",
		example:     "bilberryshelf node-entry --settings node.toml",
		newData:     func(io.Writer) any { return &nodeEntryCommand{} },
	},
	{
		name: "node-guard", summary: "run the guard of an engine on the platform",
		description: "Runs the guard beside one engine, which brings it to the versions of weights that trainers name. Exit codes: 0 after a stop, 1 if it failed, 2 for wrong settings.",
		example:     "bilberryshelf node-guard --settings node.toml",
		newData:     func(io.Writer) any { return &nodeGuardCommand{} },
	},
	{
		name: "apply", summary: "apply a sheet",
		description: "Checks a sheet whole and gets it accepted. With --dry-run prints the difference. Exit codes: 0 accepted or unchanged, 3 refused with every fault by row and column, 4 not known whether accepted (run settle).",
		example:     "bilberryshelf apply --dry-run morning.csv",
		newData:     func(out io.Writer) any { return &applyCommand{out: out} },
	},
	{
		name: "status", summary: "show generation, loans and targets",
		description: "Shows what one entry knows. Exit codes: 0, 1 if the entry does not answer.",
		example:     "bilberryshelf status",
		newData:     func(out io.Writer) any { return &statusCommand{out: out} },
	},
	{
		name: "loan", summary: "explain a loan",
		description: "Explains one loan: its phase, its limits at each target, who changed it last, and why new work is or is not admitted. Exit codes: 0, 3 if there is no such loan.",
		example:     "bilberryshelf loan desk-day",
		newData:     func(out io.Writer) any { return &loanCommand{out: out} },
	},
	{
		name: "recall", summary: "ask for a loan's targets back early",
		description: "Ends a loan before its span is over. What runs may finish. Exit codes: 0 accepted, 3 refused, 4 not known whether accepted (run settle).",
		example:     "bilberryshelf recall desk-day --at 2026-03-02T15:00:00Z",
		newData:     func(out io.Writer) any { return &recallCommand{out: out} },
	},
	{
		name: "weights", summary: "announce new weights",
		description: "Announces a version of a service's weights with a trainer's token. Exit codes: 0 accepted, 3 refused, 4 not known whether accepted (announce it again).",
		example:     "bilberryshelf weights blend-lm 7 http://10.0.0.9:9000/weights/blend-lm/7",
		newData:     func(out io.Writer) any { return &weightsCommand{out: out} },
	},
	{
		name: "settle", summary: "find out what became of an operation",
		description: "Says for good whether an operation was accepted. One that was not is withdrawn and never will be. Exit codes: 0 accepted, 3 withdrawn, 4 the platform does not answer.",
		example:     "bilberryshelf settle 5d0c2f0e-6a51-4f0d-8e0a-1d3a3f8b7c11",
		newData:     func(out io.Writer) any { return &settleCommand{out: out} },
	},
	{
		name: "check-settings", summary: "check a settings file",
		description: "Checks a settings file of an entry or, with --guard, of a guard, and prints every fault with file, line and key. Exit codes: 0 whole, 2 faults.",
		example:     "bilberryshelf check-settings --guard guard.toml",
		newData:     func(out io.Writer) any { return &checkCommand{out: out} },
	},
	{
		name: "explain", summary: "tell a request's story from logs",
		description: "Prints the log lines of all files that bear an id of a request, job, item or target, by time. Exit codes: 0, 1 if there is none.",
		example:     "bilberryshelf explain 3a42d2762e05eef9 entry-1.log entry-2.log",
		newData:     func(out io.Writer) any { return &explainCommand{out: out} },
	},
	{
		name: "version", summary: "print the version",
		description: "Prints the version of the program and of the toolchain. Exit code: 0.",
		example:     "bilberryshelf version",
		newData:     func(out io.Writer) any { return &versionCommand{out: out} },
	},
	{
		name: "demo", summary: "show the whole path in one process",
		description: "Starts a platform, targets, guards and an entry in one process on loopback, applies a sample sheet, serves one desk request, one non-idempotent check and one trainer step, and prints what happened. With --serve it stays up. Exit codes: 0, 1 if anything did not come out as promised.",
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
			fmt.Fprintln(errs, err) // there is nowhere else to say it
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
		fmt.Fprintln(out, help.Message) // help that nobody reads
		return ExitOK
	case errors.As(err, &help):
		fmt.Fprintln(errs, help.Message) // there is nowhere else to say it
		return ExitUsage
	}
	fmt.Fprintln(errs, strings.TrimSpace(err.Error())) // there is nowhere else to say it
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

// Access is how the operator's commands reach the system.
type Access struct {
	URL      string `long:"url" default:"http://127.0.0.1:7000" env:"BILBERRYSHELF_URL" description:"the balancer or any entry"`
	TokenEnv string `long:"token-env" default:"BILBERRYSHELF_TOKEN" description:"the variable of the environment that holds the token"`
}

func (ac Access) token() string { return os.Getenv(ac.TokenEnv) }
