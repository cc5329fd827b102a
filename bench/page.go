package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// The scale that the service is designed for.
const (
	designEntries         = 390
	designGuards          = 5700
	peakRequestsPerSecond = 5400.0
	designLoans           = 2000
	designDomains         = 14
	designRegions         = 4
	designTrainers        = 7
	slotsPerStep          = 2048
	changesPerDay         = 3300.0
	failuresPerDay        = 110.0
	restartsPerDay        = 1600.0
	secondsPerDay         = 86400.0
	keyedShare            = 0.1

	// The limits per node for control work: all work except serving requests.
	maxCPUMillisPerSecond = 20.0 // of processor time: 2% of a core
	maxMemoryMB           = 64.0
	maxBytesPerSecond     = 18000.0

	// The default settings that the figures assume.
	pollSeconds        = 5.0
	helloSeconds       = 2.0
	subsetSize         = 32.0
	attemptHoldSeconds = 35.0
	keyHoldSeconds     = 600.0
	maxPoisonEntries   = 10000.0
	// answerSpaceMB is a guard's default limit for kept answers.
	answerSpaceMB = 16.0
)

// processResults are the reports printed by docs/many.sh, which runs many processes.
type processResults struct {
	Spread    spreadReport `json:"spread"`
	SpreadOut spreadReport `json:"spread-platform-out"`
	Entry     idleReport   `json:"entry"`
	Guard     idleReport   `json:"guard"`
}

// page renders the tables of docs/CAPACITY.md from the measurements.
type page struct {
	fits      map[string]Fit
	processes processResults
	out       strings.Builder
}

// valueAt returns the value of a fitted line at a size.
func (pa *page) valueAt(id string, size float64) float64 {
	fi := pa.fits[id]
	return fi.Base + fi.Slope*size
}

// increment returns the slope times a size without the base, for a cost in addition to
// that of a measured process.
func (pa *page) increment(id string, size float64) float64 { return pa.fits[id].Slope * size }

func (pa *page) printf(format string, args ...any) { fmt.Fprintf(&pa.out, format, args...) }

// row is a row of a table. packages are those that cause the cost.
type row struct {
	what, how string
	value     float64
	packages  string
}

const megabyte = 1 << 20

// table prints a table. With a limit, it adds a row with the total and the margin.
func (pa *page) table(title, unit string, limit float64, rows []row) {
	pa.printf("\n%s\n\n| what | slope x size | %s | carried by |\n| --- | --- | ---: | --- |\n", title, unit)
	total := 0.0
	for _, ro := range rows {
		pa.printf("| %s | %s | %s | %s |\n", ro.what, ro.how, formatValue(ro.value), ro.packages)
		total += ro.value
	}
	if limit > 0 {
		pa.printf("| **together** | limit %s, margin %.0f%% | **%s** | |\n", formatValue(limit), (1-total/limit)*100, formatValue(total))
	}
}

func formatValue(value float64) string {
	switch {
	case value == 0:
		return "0"
	case value >= 1000:
		return fmt.Sprintf("%.0f", value)
	case value >= 10:
		return fmt.Sprintf("%.1f", value)
	case value >= 0.1:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.3f", value)
}

// listReadsPerSecond returns how many reads per second by an entry find the instance
// list changed: at most one per poll.
func listReadsPerSecond() float64 {
	perSecond := 2 * (failuresPerDay + restartsPerDay) / secondsPerDay
	return min(perSecond, 1/pollSeconds)
}

func changesPerSecond() float64 { return changesPerDay / secondsPerDay }

const designInstances = designEntries + designGuards

func (pa *page) entry() {
	pa.printf("\n### An entry (one of %d)\n", designEntries)
	pa.table("Memory, MB.", "MB", maxMemoryMB, []row{
		{"process, 32 guards, 60 peers", "docs/many.sh, resident", pa.processes.Entry.RSSMBMean, "`subcmd`, `entry`"},
		{"list of instances", fmt.Sprintf("list-heap x %d, held twice while it is read", designInstances), 2 * pa.increment("list-heap", designInstances) / megabyte, "`store`"},
		{"book", fmt.Sprintf("book-heap x %d, held twice while it changes", designLoans), 2 * pa.increment("book-heap", designLoans) / megabyte, "`loan`"},
		{"a whole step that it owns", fmt.Sprintf("slot-heap x %d", slotsPerStep), pa.increment("slot-heap", slotsPerStep) / megabyte, "`sample`"},
		{"bad requests, at the bound", fmt.Sprintf("poison-heap x %.0f", maxPoisonEntries), pa.increment("poison-heap", maxPoisonEntries) / megabyte, "`poison`"},
	})
	pa.table("Processor, ms a second (20 is 2% of a core).", "ms/s", maxCPUMillisPerSecond, []row{
		{"greeting 32 guards every 2 s, exchange, polls", "docs/many.sh", pa.processes.Entry.CPUPercentMean * 10, "`entry`, `gossip`"},
		{"adopting a change", fmt.Sprintf("(base + book-adopt x %d) x %.0f a day", designLoans, changesPerDay), pa.valueAt("book-adopt", designLoans) / 1000 * changesPerSecond(), "`loan`"},
		{"reading the list when it changed", fmt.Sprintf("(base + list-read x %d) x %.3f a second, both sides", designInstances, listReadsPerSecond()), pa.valueAt("list-read", designInstances) / 1000 * listReadsPerSecond(), "`store`"},
		{"dealing out the targets", fmt.Sprintf("subset x %d x %.1f a second", designInstances, 1/pollSeconds), pa.increment("subset", designInstances) / 1000 / pollSeconds, "`route`"},
	})
	pa.table("Bytes a second, in and out together.", "byte/s", maxBytesPerSecond, []row{
		{"greetings, exchange", "docs/many.sh", pa.processes.Entry.BytesMean, "`entry`, `gossip`, `wire`"},
		{"the book of each change, once in and once out", fmt.Sprintf("2 x (base + book-bytes x %d) x %.0f a day", designLoans, changesPerDay), 2 * pa.valueAt("book-bytes", designLoans) * changesPerSecond(), "`gossip`"},
		{"the list when it changed", fmt.Sprintf("(base + list-bytes x %d) x %.3f a second", designInstances, listReadsPerSecond()), pa.valueAt("list-bytes", designInstances) * listReadsPerSecond(), "`store`"},
	})
	pa.table("Messages a second.", "1/s", 0, []row{
		{"greetings", fmt.Sprintf("%.0f guards / %.0f s", subsetSize, helloSeconds), subsetSize / helloSeconds, "`entry`"},
		{"exchanges with peers, out and in", "one a second each way", 2, "`gossip`"},
		{"polls of the head row and the list", fmt.Sprintf("2 / %.0f s", pollSeconds), 2 / pollSeconds, "`store`"},
	})
	perEntry := peakRequestsPerSecond / designEntries
	pa.table("Work at the peak, for comparison; it is not control.", "ms/s", 0, []row{
		{"requests, with caller, guard and target", fmt.Sprintf("path-cpu x %.1f a second", perEntry), pa.increment("path-cpu", perEntry), "`entry`, `guard`"},
		{"finding the loan", fmt.Sprintf("(base + find x %d) x %.1f a second", designLoans, perEntry), pa.valueAt("find", designLoans) / 1000 * perEntry, "`loan`"},
		{"choosing the target", fmt.Sprintf("choose x %.0f / 100 x %.1f a second", subsetSize, perEntry), pa.valueAt("choose", subsetSize) / 100 / 1000 * perEntry, "`route`"},
		{"looking through its step ten times a second", fmt.Sprintf("want x %d x 10", slotsPerStep), pa.increment("want", slotsPerStep) / 1000 * 10, "`sample`"},
	})
}

func (pa *page) guard() {
	entriesPerGuard := subsetSize * designEntries / designGuards
	perGuard := peakRequestsPerSecond / designGuards
	pa.printf("\n### A guard (one of %d)\n", designGuards)
	pa.table("Memory, MB.", "MB", maxMemoryMB, []row{
		{"process", "docs/many.sh, resident", pa.processes.Guard.RSSMBMean, "`subcmd`, `guard`"},
		{"attempts known", fmt.Sprintf("id-heap x %.2f a second x %.0f s", perGuard, attemptHoldSeconds), pa.increment("id-heap", perGuard*attemptHoldSeconds) / megabyte, "`fence`"},
		{"keys known", fmt.Sprintf("key-heap x %.2f a second x %.0f s", perGuard*keyedShare, keyHoldSeconds), pa.increment("key-heap", perGuard*keyedShare*keyHoldSeconds) / megabyte, "`fence`"},
		{"kept answers, at the bound", "setting answer-space", answerSpaceMB, "`fence`"},
	})
	hello := pa.fits["hello-cpu"].Slope - pa.fits["guard-cpu"].Slope
	pa.table("Processor, ms a second.", "ms/s", maxCPUMillisPerSecond, []row{
		{"alone, with its target's health", "guard-cpu x 1", pa.increment("guard-cpu", 1), "`guard`"},
		{"greetings, both sides", fmt.Sprintf("(hello-cpu - guard-cpu) x %.1f entries", entriesPerGuard), hello * entriesPerGuard, "`guard`"},
	})
	pa.table("Bytes a second, in and out together.", "byte/s", maxBytesPerSecond, []row{
		{"greetings", fmt.Sprintf("hello-bytes x %.1f entries", entriesPerGuard), pa.increment("hello-bytes", entriesPerGuard), "`wire`"},
		{"configuration slices", fmt.Sprintf("400 bytes (on paper) x %.1f entries x %.0f a day", entriesPerGuard, changesPerDay), 400 * entriesPerGuard * changesPerSecond(), "`loan`"},
	})
	pa.printf("\nA guard sends no message of its own but the health question to its target,\nthe order to load weights, and one write at its start and two at its planned\nend.\n")
}

func (pa *page) platform() {
	starts := (failuresPerDay + restartsPerDay) * designGuards / designInstances / secondsPerDay
	pa.printf("\n### The platform\n")
	pa.table("Reads of the table service and object store a second (about 2,000 are shared by all).", "1/s", 2000, []row{
		{"polls of the head row", fmt.Sprintf("%d entries / %.0f s", designEntries, pollSeconds), designEntries / pollSeconds, "`entry`, `store`"},
		{"accepted changes", fmt.Sprintf("accept-reads x %.0f a day", changesPerDay), pa.increment("accept-reads", changesPerSecond()), "`sheet`"},
		{"starting guards", "start-reads x starts a day", pa.increment("start-reads", starts), "`guard`"},
	})
	pa.table("Writes a second (several hundred are shared by all; 300 is taken).", "1/s", 300, []row{
		{"accepted changes, the book included", fmt.Sprintf("accept-writes x %.0f a day", changesPerDay), pa.increment("accept-writes", changesPerSecond()), "`sheet`"},
		{"starting guards", "start-writes x starts a day", pa.increment("start-writes", starts), "`guard`"},
		{"keys handed over", fmt.Sprintf("2 x %.0f planned stops a day (on paper)", restartsPerDay), 2 * restartsPerDay / secondsPerDay, "`guard`, `fence`"},
	})
	perVersion := float64(designGuards)
	pa.table("The weight store, at one version for all targets.", "", 0, []row{
		{"loads of a version", fmt.Sprintf("%d targets", designGuards), perVersion, "`weight`"},
		{"loads a second so that all are done in 16 s, with 2 s for the spread and 1 s for a swap", fmt.Sprintf("%d / 13 s (on paper)", designGuards), perVersion / 13, "`weight`"},
	})
}

func (pa *page) clients() {
	pa.printf("\n### Trainers' clients and operators\n")
	pa.table("A trainer's client.", "", 0, []row{
		{"state: slots that it has, bytes", fmt.Sprintf("16 bytes x %d (on paper)", slotsPerStep), 16 * slotsPerStep, "`client`"},
		{"bytes of one take at the end of a step", fmt.Sprintf("25 bytes of JSON a slot x %d (on paper)", slotsPerStep), 25 * slotsPerStep, "`client`, `sample`"},
		{"samples of all trainers a second, each step whole in 16 min", fmt.Sprintf("%d x %d / 960 s", designTrainers, slotsPerStep), float64(designTrainers*slotsPerStep) / 960, "`sample`"},
	})
	pa.table("An operator's command.", "", 0, []row{
		{"changes a second", fmt.Sprintf("%.0f a day", changesPerDay), changesPerSecond(), "`sheet`"},
		{"bytes of a sheet", fmt.Sprintf("130 bytes a row x %d (on paper)", designLoans), 130 * designLoans, "`subcmd`"},
	})
}

func (pa *page) links() {
	perChange := pa.valueAt("book-bytes", designLoans) * designEntries * (designRegions - 1) / designRegions
	pa.printf("\n### The links between regions\n")
	pa.table("Bytes a second over all links together (a link carries 56 million).", "byte/s", 0, []row{
		{"books of accepted changes; peers are drawn from all regions alike", fmt.Sprintf("book-bytes x %d x %d x 3/4 x %.0f a day", designLoans, designEntries, changesPerDay), perChange * changesPerSecond(), "`gossip`"},
		{"exchanges", fmt.Sprintf("entry-bytes x %d x 3/4 / 2", designEntries), pa.increment("entry-bytes", designEntries) * 3 / 4 / 2, "`gossip`"},
	})
}

func (pa *page) failures() {
	domain := float64(designGuards) / designDomains
	entries := float64(designEntries) / designDomains
	book, list := pa.valueAt("book-bytes", designLoans), pa.valueAt("list-bytes", designInstances)
	pa.printf("\n### Days of failure\n\n| what | how | figure |\n| --- | --- | ---: |\n")
	line := func(what, how, figure string) { pa.printf("| %s | %s | %s |\n", what, how, figure) }
	line("a rack is lost (a tenth of a failure domain)", "guards gone at once", formatValue(domain/10))
	line("", "greetings missed and made again until they count as lost, per entry that greets them all over", formatValue(subsetSize/designDomains/10*3))
	line("a failure domain is lost", "guards and entries gone at once", fmt.Sprintf("%.0f and %.0f", domain, entries))
	line("", "its guards come back in one second: writes of the table service, against several hundred a second", formatValue(pa.increment("start-writes", domain)))
	line("", "its entries come back in one second: bytes of books and lists", formatValue(entries*(book+list)))
	line("", "keys in doubt for ten minutes after a crash: share of all keyed requests", fmt.Sprintf("%.1f%%", 100.0/designDomains))
	line("a region is cut off for minutes", "entries that hear of no change until it ends", formatValue(designEntries/designRegions))
	line("", "guards that hear of no early recall until it ends", formatValue(designGuards/designRegions))
	line("1,600 restarts a day", "join cost of an entry: book and list, bytes", formatValue(book+list))
	line("", "join cost of all, bytes a second", formatValue(restartsPerDay/secondsPerDay*(book+list)))
	line("the platform is back after an hour", "reads in the first poll: heads, and no book that peers have", fmt.Sprint(designEntries))
	line("", "a change accepted right before the outage reaches the last of 60 processes, ms", formatValue(pa.processes.SpreadOut.LastMS))
}

// tables renders all tables.
func tables(fits []Fit, pr processResults) string {
	pa := &page{fits: map[string]Fit{}, processes: pr}
	for _, fi := range fits {
		pa.fits[fi.ID] = fi
	}
	pa.entry()
	pa.guard()
	pa.platform()
	pa.clients()
	pa.links()
	pa.failures()
	pa.printf("\n### The slopes\n\n| slope | what | a unit costs | base | straight (r2) | spread |\n| --- | --- | ---: | ---: | ---: | ---: |\n")
	for _, fi := range fits {
		pa.printf("| [%s](capacity/%s.svg) | %s | %.4g %s per %s | %.4g | %.3f | %.0f%% |\n",
			fi.ID, fi.ID, fi.Title, fi.Slope, fi.YUnit, fi.XUnit, fi.Base, fi.RSquared, fi.Spread*100)
	}
	return pa.out.String()
}

// The markers around the tables in the page.
const (
	tablesBegin        = "<!-- tables: written by go run ./cmd/bilberrylab page -->"
	tablesEnd          = "<!-- end of tables -->"
	processResultsFile = "many.json"
)

// render returns the page with its tables replaced by those computed from the files in
// a folder.
func render(text, folder string) (string, error) {
	fits, err := ReadSlopes(filepath.Join(folder, slopesFile))
	if err != nil {
		return "", err
	}
	raw, err := os.ReadFile(filepath.Join(folder, processResultsFile))
	if err != nil {
		return "", errors.Wrap(err, "page")
	}
	var pr processResults
	if err := json.Unmarshal(raw, &pr); err != nil {
		return "", errors.Wrap(err, "page")
	}
	before, rest, found := strings.Cut(text, tablesBegin)
	_, after, closed := strings.Cut(rest, tablesEnd)
	if !found || !closed {
		return "", errors.New("the page has no markers for the tables")
	}
	return before + tablesBegin + "\n" + tables(fits, pr) + "\n" + tablesEnd + after, nil
}

type pageCommand struct {
	File string `long:"file" default:"docs/CAPACITY.md"`
	From string `long:"from" default:"docs/capacity" description:"folder of slopes.json and many.json"`
	out  io.Writer
}

// Execute writes the tables into the page.
func (co *pageCommand) Execute([]string) error {
	text, err := os.ReadFile(co.File)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	next, err := render(string(text), co.From)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(co.File, []byte(next), 0o644), "page") // readable by all users
}
