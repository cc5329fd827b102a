package subcmd

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/steps"
)

// stepsCommand prints where the time of each step went, from the log files of all entries.
type stepsCommand struct {
	out  io.Writer
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute prints one row a step and the means.
func (co *stepsCommand) Execute([]string) error {
	var re steps.Recording
	for _, file := range co.Args.Files {
		if err := readLog(&re, file); err != nil {
			return err
		}
	}
	all := steps.Account(&re)
	if len(all) == 0 {
		return withExitCode(ExitFailed, errors.New("no log line shows the submission of a step"))
	}
	printSteps(co.out, all)
	return nil
}

func readLog(re *steps.Recording, file string) error {
	fi, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "read the logs")
	}
	defer fi.Close() // an error on closing a file opened for reading is harmless
	return errors.Wrap(re.Read(fi), file)
}

// printSteps writes the account of each step and the means of the ended ones, in seconds.
func printSteps(out io.Writer, all []steps.Step) {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer tw.Flush() // a write fails only if the output was closed
	fmt.Fprintln(tw, "job\tstep\titems\tlast begun\tended\twaiting\talone\tslowed\tmoving\tscoring\tseen\tevents\truns\tmoves\t")
	var sum [8]time.Duration
	ended := 0
	for _, st := range all {
		la := st.Last
		parts := [8]time.Duration{st.LastBegun, st.Ended, la.Waiting, la.Alone, la.Slowed, la.Moving, la.Scoring, st.Seen()}
		fmt.Fprintf(tw, "%s\t%d\t%d/%d\t%s\t%d\t%d\t%s\t\n", st.Job, st.Number, st.Decided, st.Items, seconds(parts), la.Events, la.Runs, reasons(st.Moves))
		if st.Ended > 0 {
			ended++
			for at, part := range parts {
				sum[at] += part
			}
		}
	}
	if ended > 0 {
		for at := range sum {
			sum[at] /= time.Duration(ended)
		}
		fmt.Fprintf(tw, "mean\t\t\t%s\t\t\t\t\n", seconds(sum))
	}
}

func seconds(parts [8]time.Duration) string {
	texts := make([]string, len(parts))
	for at, part := range parts {
		texts[at] = fmt.Sprintf("%.2f", part.Seconds())
	}
	return strings.Join(texts, "\t")
}

func reasons(moves map[string]int) string {
	var texts []string
	for reason, count := range moves {
		texts = append(texts, fmt.Sprintf("%s:%d", reason, count))
	}
	slices.Sort(texts)
	return strings.Join(texts, " ")
}
