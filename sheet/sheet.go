// Package sheet reads the planners' morning export, checks it whole, and
// gets it accepted by the platform's table service.
//
// The export is CSV with a header. One row is one loan:
//
//	loan,lender,service,targets,borrower,kind,from,until,priority,max-in-flight,cut-off
//
// Targets are names separated by spaces; name-[01-12] stands for a range.
// Times are RFC 3339. Priority, max-in-flight and cut-off may be empty: normal,
// no limit, keep.
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

// Fault is one thing wrong with a sheet. Row counts from 1, the header
// included; Column is a name of the header.
type Fault struct {
	Row    int    `json:"row"`
	Column string `json:"column"`
	Text   string `json:"text"`
}

// String gives the fault on one line.
func (fa Fault) String() string {
	return fmt.Sprintf("row %d, %s: %s", fa.Row, fa.Column, fa.Text)
}

// Columns are the names of the header, in the order of the documentation. A
// sheet may have them in any order; the last three may be missing.
var Columns = []string{
	"loan", "lender", "service", "targets", "borrower", "kind", "from", "until",
	"priority", "max-in-flight", "cut-off",
}

// requiredColumns is how many of Columns must be there.
const requiredColumns = 8

const (
	// maxRangeNames bounds the targets of one row.
	maxRangeNames = 10000
	// byteOrderMark is what some planners' tools put first.
	byteOrderMark = "\xef\xbb\xbf"
)

// parser carries the state of reading one sheet.
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

// Parse reads a sheet. It returns either all loans or all faults.
func Parse(src io.Reader) ([]loan.Loan, []Fault) {
	rows, lines, err := readRecords(src)
	if err != nil {
		return nil, []Fault{{Row: 1, Column: "-", Text: err.Error()}}
	}
	re := &parser{rowOfLoan: map[string]int{}, serviceOfTarget: map[string]serviceRef{}}
	if len(rows) == 0 {
		return nil, []Fault{{Row: 1, Column: "-", Text: "the sheet is empty; it needs the header " + strings.Join(Columns, ",")}}
	}
	re.header(rows[0])
	if len(re.faults) > 0 {
		return nil, re.faults
	}
	var loans []loan.Loan
	for at, row := range rows[1:] {
		if blank(row) {
			continue
		}
		loans = append(loans, re.row(lines[at+1], row))
	}
	if len(re.faults) > 0 {
		return nil, re.faults
	}
	return loans, nil
}

// readRecords splits the sheet into rows, each with its line number.
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

func (re *parser) header(row []string) {
	re.columns = map[string]int{}
	for at, na := range row {
		na = strings.ToLower(strings.TrimSpace(na))
		if na == "" {
			continue
		}
		if !slices.Contains(Columns, na) {
			re.addFault(1, na, "unknown column; known are %s", strings.Join(Columns, ", "))
			continue
		}
		if _, twice := re.columns[na]; twice {
			re.addFault(1, na, "the column stands twice")
		}
		re.columns[na] = at
	}
	for _, na := range Columns[:requiredColumns] {
		if _, found := re.columns[na]; !found {
			re.addFault(1, na, "the column is missing")
		}
	}
}

func (re *parser) addFault(line int, column, format string, args ...any) {
	re.faults = append(re.faults, Fault{Row: line, Column: column, Text: fmt.Sprintf(format, args...)})
}

func (re *parser) field(row []string, column string) string {
	at, found := re.columns[column]
	if !found || at >= len(row) {
		return ""
	}
	return strings.TrimSpace(row[at])
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

func (re *parser) name(line int, row []string, column string) string {
	na := re.field(row, column)
	if na == "" {
		re.addFault(line, column, "is empty")
	} else if !namePattern.MatchString(na) {
		re.addFault(line, column, "%q is not a name of small letters, digits, dots and dashes", na)
	}
	return na
}

func (re *parser) row(line int, row []string) loan.Loan {
	lo := loan.Loan{
		ID:       re.name(line, row, "loan"),
		Lender:   re.name(line, row, "lender"),
		Service:  re.name(line, row, "service"),
		Borrower: re.name(line, row, "borrower"),
		From:     re.time(line, row, "from"),
		Until:    re.time(line, row, "until"),
		Kind:     core.BorrowerKind(re.field(row, "kind")),
		Priority: core.Priority(orDefault(re.field(row, "priority"), string(core.Normal))),
		CutOff:   loan.CutOffPolicy(orDefault(re.field(row, "cut-off"), string(loan.KeepServing))),
	}
	if len(row) > len(re.columns) && !blank(row[len(re.columns):]) {
		re.addFault(line, "-", "has %d fields, the header has %d", len(row), len(re.columns))
	}
	if !lo.Kind.Valid() {
		re.addFault(line, "kind", "%q is not trainer, caller or service", lo.Kind)
	}
	if !lo.Priority.Valid() {
		re.addFault(line, "priority", "%q is not high, normal or low", lo.Priority)
	}
	if lo.CutOff != loan.KeepServing && lo.CutOff != loan.RefuseNewWork {
		re.addFault(line, "cut-off", "%q is not keep or stop", lo.CutOff)
	}
	if !lo.From.IsZero() && !lo.Until.IsZero() && !lo.From.Before(lo.Until) {
		re.addFault(line, "until", "is not after from")
	}
	lo.MaxInFlight = re.limit(line, row)
	lo.Targets = re.targets(line, row)
	re.checkDuplicates(line, lo)
	return lo
}

func orDefault(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

func (re *parser) time(line int, row []string, column string) time.Time {
	text := re.field(row, column)
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		re.addFault(line, column, "%q is not a time such as 2026-03-02T06:00:00-03:00", text)
	}
	return at.UTC()
}

func (re *parser) limit(line int, row []string) int {
	text := re.field(row, "max-in-flight")
	if text == "" {
		return 0
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 {
		re.addFault(line, "max-in-flight", "%q is not a number of 1 or more; leave it empty for no limit", text)
	}
	return limit
}

func (re *parser) targets(line int, row []string) []string {
	text := re.field(row, "targets")
	if text == "" {
		re.addFault(line, "targets", "is empty")
		return nil
	}
	var names []string
	for _, pattern := range strings.Fields(text) {
		expanded, err := Expand(pattern)
		if err != nil {
			re.addFault(line, "targets", "%s", err)
			continue
		}
		names = append(names, expanded...)
	}
	slices.Sort(names)
	for at := 1; at < len(names); at++ {
		if names[at] == names[at-1] {
			re.addFault(line, "targets", "%s stands twice", names[at])
		}
	}
	return slices.Compact(names)
}

func (re *parser) checkDuplicates(line int, lo loan.Loan) {
	if first, twice := re.rowOfLoan[lo.ID]; twice && lo.ID != "" {
		re.addFault(line, "loan", "%s stands in row %d already", lo.ID, first)
	}
	re.rowOfLoan[lo.ID] = line
	for _, na := range lo.Targets {
		former, known := re.serviceOfTarget[na]
		if known && former.service != lo.Service {
			re.addFault(line, "service", "target %s is of %s here and of %s in row %d", na, lo.Service, former.service, former.row)
			return
		}
		re.serviceOfTarget[na] = serviceRef{service: lo.Service, row: line}
	}
}

var rangePattern = regexp.MustCompile(`^([a-z0-9.-]*)\[([0-9]+)-([0-9]+)\]([a-z0-9.-]*)$`)

// Expand lists the names that a pattern such as blend-lm-[01-12] stands for.
// The digits of the first bound give the width.
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
		return nil, errors.Newf("%q: the range runs from %s to %s", pattern, parts[2], parts[3])
	}
	names := make([]string, 0, high-low+1)
	for nu := low; nu <= high; nu++ {
		names = append(names, fmt.Sprintf("%s%0*d%s", parts[1], len(parts[2]), nu, parts[4]))
	}
	return names, nil
}
