package subcmd

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// explainCommand tells one request's story out of the logs of many processes.
type explainCommand struct {
	out  io.Writer
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// maxLineBytes is the longest log line that is read.
const maxLineBytes = 1 << 20

// Execute prints the lines that bear the id, by time.
func (co *explainCommand) Execute([]string) error {
	var lines []string
	without := 0
	for _, file := range co.Args.Files {
		found, bad, err := matchingLines(file, co.Args.ID)
		if err != nil {
			return err
		}
		lines, without = append(lines, found...), without+bad
	}
	slices.SortStableFunc(lines, func(lhs, rhs string) int { return strings.Compare(timestamp(lhs), timestamp(rhs)) })
	for _, li := range lines {
		fmt.Fprintln(co.out, li) // a reader that went away is not ours to mend
	}
	if without > 0 {
		fmt.Fprintf(co.out, "%d lines without a time were left out\n", without) // as above
	}
	if len(lines) == 0 {
		return withExitCode(ExitFailed, errors.Newf("no line bears %s", co.Args.ID))
	}
	return nil
}

// matchingLines finds the lines of a file that bear an id, and counts those among them
// that have no time.
func matchingLines(file, id string) (found []string, bad int, err error) {
	fi, err := os.Open(file)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read the logs")
	}
	defer fi.Close() // a failed close of a read file loses nothing
	sc := bufio.NewScanner(fi)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		line := strings.TrimSpace(sc.Text())
		switch {
		case !strings.Contains(line, "="+id):
		case timestamp(line) == "":
			bad++
		default:
			found = append(found, line)
		}
	}
	return found, bad, errors.Wrapf(sc.Err(), "read %s", file)
}

// timestamp is the time of a line.
func timestamp(line string) string {
	_, rest, found := strings.Cut(line, "at=")
	if !found {
		return ""
	}
	text, _, _ := strings.Cut(rest, " ")
	return text
}
