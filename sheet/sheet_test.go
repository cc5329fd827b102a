package sheet_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/sheet"
)

const header = "loan,lender,service,targets,borrower,kind,from,until,priority,max-in-flight,cut-off\n"

const goodRow = "desk,lab,ink-desk,ink-[1-3],sales,caller,2026-03-02T06:00:00-03:00,2026-03-02T18:00:00-03:00,high,7,stop\n"

func TestExampleSheetsParse(t *testing.T) {
	for file, loans := range map[string]int{"testdata/tinta.csv": 4, "testdata/harmattan.csv": 3} {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		parsed, faults := sheet.Parse(bytes.NewReader(raw))
		require.Empty(t, faults, file)
		require.Len(t, parsed, loans, file)
	}
}

func TestParseFormatVariants(t *testing.T) {
	want, faults := sheet.Parse(strings.NewReader(header + goodRow))
	require.Empty(t, faults)
	for name, text := range map[string]string{
		"byte order mark":     "\xef\xbb\xbf" + header + goodRow,
		"line ends":           strings.ReplaceAll(header+goodRow, "\n", "\r\n"),
		"semicolons":          strings.ReplaceAll(header+goodRow, ",", ";"),
		"quoted fields":       header + strings.Replace(goodRow, "ink-[1-3]", `"ink-[1-3]"`, 1),
		"trailing blank rows": header + goodRow + ",,,,,,,,,,\n\n ,\n",
		"capital header":      strings.ToUpper(header) + goodRow,
		"spaces":              header + strings.ReplaceAll(goodRow, ",", ", "),
	} {
		t.Run(name, func(t *testing.T) {
			got, faults := sheet.Parse(strings.NewReader(text))
			require.Empty(t, faults)
			require.Equal(t, want, got)
		})
	}
	short, faults := sheet.Parse(strings.NewReader("loan,lender,service,targets,borrower,kind,from,until\n" +
		"desk,lab,ink-desk,ink-1,sales,caller,2026-03-02T06:00:00Z,2026-03-02T18:00:00Z\n"))
	require.Empty(t, faults)
	require.Equal(t, core.Normal, short[0].Priority)
	require.Equal(t, loan.KeepServing, short[0].CutOff)
}

func TestFaultsByRowAndColumn(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		row        int
		column     string
	}{
		{"empty", "", 1, "-"},
		{"unknown column", "loan,lendr\n", 1, "lendr"},
		{"missing column", strings.Replace(header, "lender,", "", 1) + goodRow, 1, "lender"},
		{"column twice", strings.Replace(header, "lender", "loan", 1), 1, "loan"},
		{"no loan", header + strings.Replace(goodRow, "desk,", ",", 1), 2, "loan"},
		{"bad name", header + strings.Replace(goodRow, "desk,", "Desk One,", 1), 2, "loan"},
		{"bad kind", header + strings.Replace(goodRow, "caller", "visitor", 1), 2, "kind"},
		{"bad time", header + strings.Replace(goodRow, "2026-03-02T06:00:00-03:00", "6 o'clock", 1), 2, "from"},
		{"ends before it starts", header + strings.Replace(goodRow, "2026-03-02T18", "2026-03-01T18", 1), 2, "until"},
		{"bad priority", header + strings.Replace(goodRow, "high", "urgent", 1), 2, "priority"},
		{"bad limit", header + strings.Replace(goodRow, ",7,", ",-7,", 1), 2, "max-in-flight"},
		{"bad cut-off", header + strings.Replace(goodRow, "stop", "pause", 1), 2, "cut-off"},
		{"no targets", header + strings.Replace(goodRow, "ink-[1-3]", "", 1), 2, "targets"},
		{"bad range", header + strings.Replace(goodRow, "ink-[1-3]", "ink-[3-1]", 1), 2, "targets"},
		{"target twice", header + strings.Replace(goodRow, "ink-[1-3]", "ink-[1-3] ink-2", 1), 2, "targets"},
		{"loan twice", header + goodRow + "\n" + goodRow, 4, "loan"},
		{"target of two services", header + goodRow + strings.Replace(strings.Replace(goodRow, "desk,", "other,", 1), "ink-desk", "blend-lm", 1), 3, "service"},
		{"too many fields", header + strings.TrimSpace(goodRow) + ",more\n", 2, "-"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			loans, faults := sheet.Parse(strings.NewReader(tc.text))
			require.Empty(t, loans, "a sheet with faults never takes effect, not even in part")
			found := false
			for _, fa := range faults {
				found = found || (fa.Row == tc.row && fa.Column == tc.column)
			}
			require.True(t, found, "%v", faults)
		})
	}
}

// All faults of a sheet must be reported, not only the first one.
func TestAllFaultsAtOnce(t *testing.T) {
	text := header + strings.Replace(goodRow, "caller", "visitor", 1) + strings.Replace(strings.Replace(goodRow, "desk,", "two,", 1), "high", "urgent", 1)
	_, faults := sheet.Parse(strings.NewReader(text))
	require.Len(t, faults, 2)
}

func TestDiff(t *testing.T) {
	loans, faults := sheet.Parse(strings.NewReader(header + goodRow))
	require.Empty(t, faults)
	bo := loan.Book{}.WithLoans(loans, "ana", loans[0].From)
	require.Empty(t, sheet.Diff(bo, loans), "an unchanged sheet changes nothing")
	changed := loans[0]
	changed.Priority = core.Low
	added := loans[0]
	added.ID = "another"
	changes := sheet.Diff(bo, []loan.Loan{changed, added})
	require.Len(t, changes, 2)
	require.Equal(t, "added", changes[0].Kind)
	require.Equal(t, "~ desk: priority high -> low", changes[1].String())
	require.Equal(t, "removed", sheet.Diff(bo, nil)[0].Kind)
}

// bigSheet returns a sheet with the number of targets and loans that the service
// is designed for.
func bigSheet(targets, loans int) string {
	var sb strings.Builder
	sb.WriteString(header)
	per := targets / loans
	for nu := range loans {
		fmt.Fprintf(&sb, "loan-%04d,lab-%d,blend-lm,t-[%05d-%05d],team-%d,trainer,2026-03-02T06:00:00Z,2026-03-02T18:00:00Z,normal,,keep\n",
			nu, nu%40, nu*per, nu*per+per-1, nu%7)
	}
	return sb.String()
}

func BenchmarkSheet(b *testing.B) {
	text := bigSheet(6000, 2000)
	for b.Loop() {
		loans, faults := sheet.Parse(strings.NewReader(text))
		if len(faults) > 0 {
			b.Fatal(faults[0])
		}
		bo := loan.Book{}.WithLoans(loans, "ana", loans[0].From)
		if len(sheet.Diff(bo, loans)) > 0 {
			b.Fatal("an unchanged sheet changes something")
		}
	}
}

func ExampleParse() {
	_, faults := sheet.Parse(strings.NewReader(header + strings.Replace(goodRow, "high", "urgent", 1)))
	fmt.Println(faults[0])
	// Output: row 2, priority: "urgent" is not high, normal or low
}
