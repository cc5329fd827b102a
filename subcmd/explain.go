package subcmd

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"bilberryshelf/logs"
)

// explainCommand collects the log lines of one request from the log files of
// several processes.
type explainCommand struct {
	out  io.Writer
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute prints the lines that contain the id, ordered by time.
func (co *explainCommand) Execute([]string) error {
	var lines []string
	untimed := 0
	for _, file := range co.Args.Files {
		found, skipped, err := matchingLines(file, co.Args.ID)
		if err != nil {
			return err
		}
		lines, untimed = append(lines, found...), untimed+skipped
	}
	slices.SortStableFunc(lines, func(lhs, rhs string) int { return strings.Compare(timestamp(lhs), timestamp(rhs)) })
	for _, li := range lines {
		fmt.Fprintln(co.out, li) // a write fails only if the output was closed
	}
	if untimed > 0 {
		fmt.Fprintf(co.out, "%d lines without a time were left out\n", untimed) // as above
	}
	if len(lines) == 0 {
		return withExitCode(ExitFailed, errors.Newf("no log line contains the id %s", co.Args.ID))
	}
	return nil
}

// matchingLines returns the lines of a file that contain the id and have a time,
// and counts those that contain the id but have no time.
func matchingLines(file, id string) (found []string, untimed int, err error) {
	fi, err := os.Open(file)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read the logs")
	}
	defer fi.Close() // an error on closing a file opened for reading is harmless
	sc := logs.NewScanner(fi)
	for sc.Scan() {
		line := strings.TrimSpace(sc.Text())
		switch {
		case !strings.Contains(line, "="+id):
		case timestamp(line) == "":
			untimed++
		default:
			found = append(found, line)
		}
	}
	return found, untimed, errors.Wrapf(sc.Err(), "read %s", file)
}

// timestamp returns the value of at= in a log line, or "" if there is none.
func timestamp(line string) string {
	_, rest, found := strings.Cut(line, "at=")
	if !found {
		return ""
	}
	text, _, _ := strings.Cut(rest, " ")
	return text
}
