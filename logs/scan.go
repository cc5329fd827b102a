package logs

import (
	"bufio"
	"io"
)

// maxLine is the length of the longest log line that can be read, in bytes.
const maxLine = 1 << 20

// NewScanner returns a scanner of the lines of a log.
func NewScanner(rd io.Reader) *bufio.Scanner {
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLine)
	return sc
}
