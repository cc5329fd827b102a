package subcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"bilberryshelf/client"
	"bilberryshelf/core"
	"bilberryshelf/setup"
	"bilberryshelf/sheet"
)

// callTimeout is the time limit of one call to an entry.
const callTimeout = 30 * time.Second

func (ac Access) call(method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	cl := client.Client{URL: ac.URL, Token: ac.token()}
	return cl.Call(ctx, method, path, body, into, client.Options{})
}

// addSettleHint adds the settle command to the error of an operation that may
// have been accepted.
func addSettleHint(err error, operation string) error {
	var er *core.Error
	if errors.As(err, &er) && er.Verdict == core.MayHaveRun {
		return withExitCode(ExitUnsettled, errors.Newf("%v\nrun: bilberryshelf settle %s", err, operation))
	}
	return err
}

type applyCommand struct {
	Access
	DryRun    bool   `long:"dry-run" description:"print the difference and change nothing"`
	Base      string `long:"base" description:"refuse unless this generation is in force"`
	Operation string `long:"operation" description:"an operation id of your own"`
	Args      struct {
		Sheet string `positional-arg-name:"SHEET.csv"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

type applyResult struct {
	Operation  string         `json:"operation"`
	Generation uint64         `json:"generation"`
	Unchanged  bool           `json:"unchanged"`
	Changes    []sheet.Change `json:"changes"`
	Faults     []sheet.Fault  `json:"faults"`
}

// Execute applies the sheet.
func (ap *applyCommand) Execute([]string) error {
	raw, err := os.ReadFile(ap.Args.Sheet)
	if err != nil {
		return withExitCode(ExitUsage, errors.Wrap(err, "read the sheet"))
	}
	if ap.Operation == "" {
		ap.Operation = uuid.NewString()
	}
	query := url.Values{"operation": {ap.Operation}}
	if ap.DryRun {
		query.Set("dry-run", "true")
	}
	if ap.Base != "" {
		query.Set("base", ap.Base)
	}
	var result applyResult
	if err := ap.call(http.MethodPost, "/v1/sheets?"+query.Encode(), raw, &result); err != nil {
		return addSettleHint(err, ap.Operation)
	}
	return ap.print(result)
}

func (ap *applyCommand) print(result applyResult) error {
	for _, fa := range result.Faults {
		fmt.Fprintf(ap.out, "%s: %s\n", ap.Args.Sheet, fa)
	}
	if len(result.Faults) > 0 {
		return withExitCode(ExitRefused, errors.Newf("sheet refused with %d faults; nothing was changed", len(result.Faults)))
	}
	for _, ch := range result.Changes {
		fmt.Fprintln(ap.out, ch)
	}
	switch {
	case ap.DryRun:
		fmt.Fprintf(ap.out, "%d changes against generation %d; nothing was changed\n", len(result.Changes), result.Generation)
	case result.Unchanged:
		fmt.Fprintf(ap.out, "unchanged, generation %d\n", result.Generation)
	default:
		fmt.Fprintf(ap.out, "accepted as generation %d, operation %s\n", result.Generation, result.Operation)
	}
	return nil
}

type statusCommand struct {
	Access
	out io.Writer
}

// Execute prints the entry's status.
func (st *statusCommand) Execute([]string) error { return st.printResponse(st.out, "/v1/status") }

func (ac Access) printResponse(out io.Writer, path string) error {
	var state json.RawMessage
	if err := ac.call(http.MethodGet, path, nil, &state); err != nil {
		return err
	}
	return printJSON(out, state)
}

func printJSON(out io.Writer, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "print")
	}
	fmt.Fprintln(out, string(raw))
	return nil
}

type loanCommand struct {
	Access
	Args struct {
		Loan string `positional-arg-name:"LOAN"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// Execute prints the details of the loan.
func (lo *loanCommand) Execute([]string) error {
	return lo.printResponse(lo.out, "/v1/loans/"+url.PathEscape(lo.Args.Loan))
}

type recallCommand struct {
	Access
	At   string `long:"at" description:"when the targets are to be back; now if not given"`
	Args struct {
		Loan string `positional-arg-name:"LOAN"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// Execute ends the loan early.
func (re *recallCommand) Execute([]string) error {
	operation := uuid.NewString()
	query := url.Values{"operation": {operation}}
	if re.At != "" {
		query.Set("at", re.At)
	}
	var result applyResult
	path := "/v1/loans/" + url.PathEscape(re.Args.Loan) + "/recall?" + query.Encode()
	if err := re.call(http.MethodPost, path, nil, &result); err != nil {
		return addSettleHint(err, operation)
	}
	fmt.Fprintf(re.out, "accepted as generation %d, operation %s\n", result.Generation, result.Operation)
	return nil
}

type weightsCommand struct {
	Access
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
		Version uint64 `positional-arg-name:"VERSION"`
		Object  string `positional-arg-name:"OBJECT"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// Execute announces the version of the weights.
func (we *weightsCommand) Execute([]string) error {
	raw, err := json.Marshal(map[string]any{"service": we.Args.Service, "version": we.Args.Version, "object": we.Args.Object})
	if err != nil {
		return errors.Wrap(err, "weights")
	}
	var result struct {
		Generation uint64 `json:"generation"`
	}
	if err := we.call(http.MethodPost, "/v1/weights", raw, &result); err != nil {
		return err
	}
	fmt.Fprintf(we.out, "version %d of %s announced, generation %d\n", we.Args.Version, we.Args.Service, result.Generation)
	return nil
}

type settleCommand struct {
	Access
	Args struct {
		Operation string `positional-arg-name:"OPERATION-ID"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// Execute determines the outcome of the operation.
func (se *settleCommand) Execute([]string) error {
	var outcome sheet.Outcome
	path := "/v1/operations/" + url.PathEscape(se.Args.Operation) + "/settle"
	if err := se.call(http.MethodPost, path, nil, &outcome); err != nil {
		return err
	}
	if outcome.State != "accepted" {
		return withExitCode(ExitRefused, errors.Newf("operation %s was not accepted and can no longer be accepted", outcome.Operation))
	}
	fmt.Fprintf(se.out, "operation %s was accepted as generation %d\n", outcome.Operation, outcome.Generation)
	return nil
}

type checkCommand struct {
	Guard bool `long:"guard" description:"the file is that of a guard"`
	Args  struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// Execute checks the settings file.
func (ch *checkCommand) Execute([]string) error {
	var err error
	if ch.Guard {
		_, err = setup.ReadGuard(ch.Args.File)
	} else {
		_, err = setup.ReadEntry(ch.Args.File)
	}
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	fmt.Fprintf(ch.out, "%s is valid\n", ch.Args.File)
	return nil
}

type versionCommand struct {
	out io.Writer
}

// Execute prints the versions of the program and of the toolchain.
func (ve *versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary contains no build information")
	}
	fmt.Fprintf(ve.out, "bilberryshelf %s %s\n", info.Main.Version, info.GoVersion)
	return nil
}
