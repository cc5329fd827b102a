// Package sheet parses and validates the sheet that the planners export each
// morning, and commits it to the platform's table service.
//
// A sheet is a CSV file with a header. Each row is one loan:
//
//	loan,lender,service,targets,borrower,kind,from,until,priority,max-in-flight,cut-off
//
// Targets are names separated by spaces; name-[01-12] stands for a range.
// Times are in RFC 3339 format. Empty fields for priority, max-in-flight and cut-off
// mean normal, no limit and keep.
package sheet

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
	"bilberryshelf/loan"
)

// Fault is one error in a sheet. Row is the line number, counted from 1 with the
// header. Column is a column name, or "-" if no single column is at fault.
type Fault struct {
	Row    int    `json:"row"`
	Column string `json:"column"`
	Text   string `json:"text"`
}

// String formats the fault on one line.
func (fa Fault) String() string {
	return fmt.Sprintf("row %d, %s: %s", fa.Row, fa.Column, fa.Text)
}

// Columns holds the column names in documentation order. A sheet may have its
// columns in any order and may omit the last three.
var Columns = []string{
	"loan", "lender", "service", "targets", "borrower", "kind", "from", "until",
	"priority", "max-in-flight", "cut-off",
}

// requiredColumns is the number of leading entries of Columns that are required.
const requiredColumns = 8

const (
	// maxRangeNames limits the names of one range.
	maxRangeNames = 10000
	// byteOrderMark is the UTF-8 byte order mark that some planners' tools write.
	byteOrderMark = "\xef\xbb\xbf"
)

// parser holds the state of parsing one sheet.
type parser struct {
	columns         map[string]int
	faults          []Fault
	rowOfLoan       map[string]int
	serviceOfTarget map[string]serviceRef
}

type serviceRef struct {
	service string
	row     int
}

// Parse parses a sheet. It returns either all loans or the faults found.
func Parse(src io.Reader) ([]loan.Loan, []Fault) {
	rows, lines, err := readRecords(src)
	if err != nil {
		return nil, []Fault{{Row: 1, Column: "-", Text: err.Error()}}
	}
	pa := &parser{rowOfLoan: map[string]int{}, serviceOfTarget: map[string]serviceRef{}}
	if len(rows) == 0 {
		return nil, []Fault{{Row: 1, Column: "-", Text: "the sheet is empty; it needs the header " + strings.Join(Columns, ",")}}
	}
	pa.header(rows[0])
	if len(pa.faults) > 0 {
		return nil, pa.faults
	}
	var loans []loan.Loan
	for at, row := range rows[1:] {
		if blank(row) {
			continue
		}
		loans = append(loans, pa.row(lines[at+1], row))
	}
	if len(pa.faults) > 0 {
		return nil, pa.faults
	}
	return loans, nil
}

// readRecords splits the sheet into rows and returns the line number of each.
func readRecords(src io.Reader) (rows [][]string, lines []int, err error) {
	br := bufio.NewReader(src)
	if mark, _ := br.Peek(len(byteOrderMark)); string(mark) == byteOrderMark {
		_, _ = br.Discard(len(byteOrderMark))
	}
	raw, err := io.ReadAll(br)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the sheet")
	}
	cr := csv.NewReader(bytes.NewReader(raw))
	cr.FieldsPerRecord = -1
	cr.TrimLeadingSpace = true
	first, _, _ := bytes.Cut(raw, []byte("\n"))
	if bytes.Count(first, []byte(";")) > bytes.Count(first, []byte(",")) {
		cr.Comma = ';'
	}
	for {
		row, err := cr.Read()
		if errors.Is(err, io.EOF) {
			return rows, lines, nil
		}
		if err != nil {
			return nil, nil, errors.Wrap(err, "read the sheet")
		}
		line, _ := cr.FieldPos(0)
		rows, lines = append(rows, row), append(lines, line)
	}
}

func blank(row []string) bool {
	return !slices.ContainsFunc(row, func(field string) bool { return strings.TrimSpace(field) != "" })
}

func (pa *parser) header(row []string) {
	pa.columns = map[string]int{}
	for at, na := range row {
		na = strings.ToLower(strings.TrimSpace(na))
		if na == "" {
			continue
		}
		if !slices.Contains(Columns, na) {
			pa.addFault(1, na, "unknown column; the columns are %s", strings.Join(Columns, ", "))
			continue
		}
		if _, duplicate := pa.columns[na]; duplicate {
			pa.addFault(1, na, "the column appears twice")
		}
		pa.columns[na] = at
	}
	for _, na := range Columns[:requiredColumns] {
		if _, found := pa.columns[na]; !found {
			pa.addFault(1, na, "the column is missing")
		}
	}
}

func (pa *parser) addFault(line int, column, format string, args ...any) {
	pa.faults = append(pa.faults, Fault{Row: line, Column: column, Text: fmt.Sprintf(format, args...)})
}

func (pa *parser) field(row []string, column string) string {
	at, found := pa.columns[column]
	if !found || at >= len(row) {
		return ""
	}
	return strings.TrimSpace(row[at])
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

func (pa *parser) name(line int, row []string, column string) string {
	na := pa.field(row, column)
	if na == "" {
		pa.addFault(line, column, "is empty")
	} else if !namePattern.MatchString(na) {
		pa.addFault(line, column, "%q is not a name of lowercase letters, digits, dots and dashes", na)
	}
	return na
}

func (pa *parser) row(line int, row []string) loan.Loan {
	lo := loan.Loan{
		ID:       pa.name(line, row, "loan"),
		Lender:   pa.name(line, row, "lender"),
		Service:  pa.name(line, row, "service"),
		Borrower: pa.name(line, row, "borrower"),
		From:     pa.time(line, row, "from"),
		Until:    pa.time(line, row, "until"),
		Kind:     core.BorrowerKind(pa.field(row, "kind")),
		Priority: core.Priority(orDefault(pa.field(row, "priority"), string(core.Normal))),
		CutOff:   loan.CutOffPolicy(orDefault(pa.field(row, "cut-off"), string(loan.KeepServing))),
	}
	if len(row) > len(pa.columns) && !blank(row[len(pa.columns):]) {
		pa.addFault(line, "-", "has %d fields, the header has %d", len(row), len(pa.columns))
	}
	if !lo.Kind.Valid() {
		pa.addFault(line, "kind", "%q is not trainer, caller or service", lo.Kind)
	}
	if !lo.Priority.Valid() {
		pa.addFault(line, "priority", "%q is not high, normal or low", lo.Priority)
	}
	if lo.CutOff != loan.KeepServing && lo.CutOff != loan.RefuseNewWork {
		pa.addFault(line, "cut-off", "%q is not keep or stop", lo.CutOff)
	}
	if !lo.From.IsZero() && !lo.Until.IsZero() && !lo.From.Before(lo.Until) {
		pa.addFault(line, "until", "is not after from")
	}
	lo.MaxInFlight = pa.limit(line, row)
	lo.Targets = pa.targets(line, row)
	pa.checkDuplicates(line, lo)
	return lo
}

func orDefault(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

func (pa *parser) time(line int, row []string, column string) time.Time {
	text := pa.field(row, column)
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		pa.addFault(line, column, "%q is not a time such as 2026-03-02T06:00:00-03:00", text)
	}
	return at.UTC()
}

func (pa *parser) limit(line int, row []string) int {
	text := pa.field(row, "max-in-flight")
	if text == "" {
		return 0
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 {
		pa.addFault(line, "max-in-flight", "%q is not a number of 1 or more; leave it empty for no limit", text)
	}
	return limit
}

func (pa *parser) targets(line int, row []string) []string {
	text := pa.field(row, "targets")
	if text == "" {
		pa.addFault(line, "targets", "is empty")
		return nil
	}
	var names []string
	for _, pattern := range strings.Fields(text) {
		expanded, err := Expand(pattern)
		if err != nil {
			pa.addFault(line, "targets", "%s", err)
			continue
		}
		names = append(names, expanded...)
	}
	slices.Sort(names)
	for at := 1; at < len(names); at++ {
		if names[at] == names[at-1] {
			pa.addFault(line, "targets", "target %s appears twice", names[at])
		}
	}
	return slices.Compact(names)
}

func (pa *parser) checkDuplicates(line int, lo loan.Loan) {
	if first, duplicate := pa.rowOfLoan[lo.ID]; duplicate && lo.ID != "" {
		pa.addFault(line, "loan", "loan %s is already in row %d", lo.ID, first)
	}
	pa.rowOfLoan[lo.ID] = line
	for _, na := range lo.Targets {
		previous, known := pa.serviceOfTarget[na]
		if known && previous.service != lo.Service {
			pa.addFault(line, "service", "target %s belongs to service %s here and to service %s in row %d", na, lo.Service, previous.service, previous.row)
			return
		}
		pa.serviceOfTarget[na] = serviceRef{service: lo.Service, row: line}
	}
}

var rangePattern = regexp.MustCompile(`^([a-z0-9.-]*)\[([0-9]+)-([0-9]+)\]([a-z0-9.-]*)$`)

// Expand returns the names that a pattern such as blend-lm-[01-12] stands for. The
// numbers are padded with zeros to the width of the first bound.
func Expand(pattern string) ([]string, error) {
	if namePattern.MatchString(pattern) {
		return []string{pattern}, nil
	}
	parts := rangePattern.FindStringSubmatch(pattern)
	if parts == nil {
		return nil, errors.Newf("%q is neither a name nor a range such as blend-lm-[01-12]", pattern)
	}
	low, errLow := strconv.Atoi(parts[2])
	high, errHigh := strconv.Atoi(parts[3])
	if errLow != nil || errHigh != nil || low > high || high-low >= maxRangeNames {
		return nil, errors.Newf("%q: the range runs from %s to %s, which is reversed or too large", pattern, parts[2], parts[3])
	}
	names := make([]string, 0, high-low+1)
	for nu := low; nu <= high; nu++ {
		names = append(names, fmt.Sprintf("%s%0*d%s", parts[1], len(parts[2]), nu, parts[4]))
	}
	return names, nil
}
