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

// The size to design for.
const (
	entryCount   = 390
	guardCount   = 5700
	peakRequests = 5400.0
	loanCount    = 2000
	domainCount  = 14
	regionCount  = 4
	trainerCount = 7
	stepSlots    = 2048
	changesDay   = 3300.0
	failuresDay  = 110.0
	restartsDay  = 1600.0
	daySeconds   = 86400.0
	keyedShare   = 0.1

	// The limits on control, per node.
	limitMillis = 20.0 // of processor time a second: 2% of a core
	limitMB     = 64.0
	limitBytes  = 18000.0

	// The defaults that the figures are for.
	pollEvery  = 5.0
	helloEvery = 2.0
	subsetSize = 32.0
	idSeconds  = 35.0
	keySeconds = 600.0
	poisonMost = 10000.0
	// requestBytes is the default of a guard's space for answers.
	answerSpaceMB = 16.0
)

// many is what docs/many.sh printed.
type many struct {
	Spread    spreadReport `json:"spread"`
	SpreadOut spreadReport `json:"spread-platform-out"`
	Entry     idleReport   `json:"entry"`
	Guard     idleReport   `json:"guard"`
}

// page makes the tables of docs/CAPACITY.md out of what was measured.
type page struct {
	fits map[string]Fit
	many many
	out  strings.Builder
}

// at is the line of a slope at a size.
func (pa *page) at(id string, size float64) float64 {
	fi := pa.fits[id]
	return fi.Base + fi.Slope*size
}

// part is the slope alone, for what comes on top of a measured process.
func (pa *page) part(id string, size float64) float64 { return pa.fits[id].Slope * size }

func (pa *page) printf(format string, args ...any) { fmt.Fprintf(&pa.out, format, args...) }

// row is one line of a table.
type row struct {
	what, how string
	value     float64
	carrier   string
}

const megabyte = 1 << 20

// table prints rows that add up against a limit.
func (pa *page) table(title, unit string, limit float64, rows []row) {
	pa.printf("\n%s\n\n| what | slope x size | %s | carried by |\n| --- | --- | ---: | --- |\n", title, unit)
	total := 0.0
	for _, ro := range rows {
		pa.printf("| %s | %s | %s | %s |\n", ro.what, ro.how, short(ro.value), ro.carrier)
		total += ro.value
	}
	if limit > 0 {
		pa.printf("| **together** | limit %s, margin %.0f%% | **%s** | |\n", short(limit), (1-total/limit)*100, short(total))
	}
}

func short(value float64) string {
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

// listChanges is how many reads of the list a second find it changed, at most
// one in a poll.
func listChanges() float64 {
	perSecond := 2 * (failuresDay + restartsDay) / daySeconds
	return min(perSecond, 1/pollEvery)
}

func changesPerSecond() float64 { return changesDay / daySeconds }

const instanceCount = entryCount + guardCount

func (pa *page) entry() {
	pa.printf("\n### An entry (one of %d)\n", entryCount)
	pa.table("Memory, MB.", "MB", limitMB, []row{
		{"process, 32 guards, 60 peers", "docs/many.sh, resident", pa.many.Entry.RSSMB, "`subcmd`, `entry`"},
		{"list of instances", fmt.Sprintf("list-heap x %d, held twice while it is read", instanceCount), 2 * pa.part("list-heap", instanceCount) / megabyte, "`store`"},
		{"book", fmt.Sprintf("book-heap x %d, held twice while it changes", loanCount), 2 * pa.part("book-heap", loanCount) / megabyte, "`loan`"},
		{"a whole step that it owns", fmt.Sprintf("slot-heap x %d", stepSlots), pa.part("slot-heap", stepSlots) / megabyte, "`sample`"},
		{"bad requests, at the bound", fmt.Sprintf("poison-heap x %.0f", poisonMost), pa.part("poison-heap", poisonMost) / megabyte, "`poison`"},
	})
	pa.table("Processor, ms a second (20 is 2% of a core).", "ms/s", limitMillis, []row{
		{"greeting 32 guards every 2 s, exchange, polls", "docs/many.sh", pa.many.Entry.CPUPercent * 10, "`entry`, `gossip`"},
		{"adopting a change", fmt.Sprintf("(base + book-adopt x %d) x %.0f a day", loanCount, changesDay), pa.at("book-adopt", loanCount) / 1000 * changesPerSecond(), "`loan`"},
		{"reading the list when it changed", fmt.Sprintf("(base + list-read x %d) x %.3f a second, both sides", instanceCount, listChanges()), pa.at("list-read", instanceCount) / 1000 * listChanges(), "`store`"},
		{"dealing out the targets", fmt.Sprintf("subset x %d x %.1f a second", instanceCount, 1/pollEvery), pa.part("subset", instanceCount) / 1000 / pollEvery, "`route`"},
	})
	pa.table("Bytes a second, in and out together.", "byte/s", limitBytes, []row{
		{"greetings, exchange", "docs/many.sh", pa.many.Entry.BytesMean, "`entry`, `gossip`, `wire`"},
		{"the book of each change, once in and once out", fmt.Sprintf("2 x (base + book-bytes x %d) x %.0f a day", loanCount, changesDay), 2 * pa.at("book-bytes", loanCount) * changesPerSecond(), "`gossip`"},
		{"the list when it changed", fmt.Sprintf("(base + list-bytes x %d) x %.3f a second", instanceCount, listChanges()), pa.at("list-bytes", instanceCount) * listChanges(), "`store`"},
	})
	pa.table("Messages a second.", "1/s", 0, []row{
		{"greetings", fmt.Sprintf("%.0f guards / %.0f s", subsetSize, helloEvery), subsetSize / helloEvery, "`entry`"},
		{"exchanges with peers, out and in", "one a second each way", 2, "`gossip`"},
		{"polls of the head row and the list", fmt.Sprintf("2 / %.0f s", pollEvery), 2 / pollEvery, "`store`"},
	})
	perEntry := peakRequests / entryCount
	pa.table("Work at the peak, for comparison; it is not control.", "ms/s", 0, []row{
		{"requests, with caller, guard and target", fmt.Sprintf("path-cpu x %.1f a second", perEntry), pa.part("path-cpu", perEntry), "`entry`, `guard`"},
		{"finding the loan", fmt.Sprintf("(base + find x %d) x %.1f a second", loanCount, perEntry), pa.at("find", loanCount) / 1000 * perEntry, "`loan`"},
		{"choosing the target", fmt.Sprintf("choose x %.0f / 100 x %.1f a second", subsetSize, perEntry), pa.at("choose", subsetSize) / 100 / 1000 * perEntry, "`route`"},
		{"looking through its step ten times a second", fmt.Sprintf("want x %d x 10", stepSlots), pa.part("want", stepSlots) / 1000 * 10, "`sample`"},
	})
}

func (pa *page) guard() {
	greeters := subsetSize * entryCount / guardCount
	perGuard := peakRequests / guardCount
	pa.printf("\n### A guard (one of %d)\n", guardCount)
	pa.table("Memory, MB.", "MB", limitMB, []row{
		{"process", "docs/many.sh, resident", pa.many.Guard.RSSMB, "`subcmd`, `guard`"},
		{"attempts known", fmt.Sprintf("id-heap x %.2f a second x %.0f s", perGuard, idSeconds), pa.part("id-heap", perGuard*idSeconds) / megabyte, "`fence`"},
		{"keys known", fmt.Sprintf("key-heap x %.2f a second x %.0f s", perGuard*keyedShare, keySeconds), pa.part("key-heap", perGuard*keyedShare*keySeconds) / megabyte, "`fence`"},
		{"kept answers, at the bound", "setting answer-space", answerSpaceMB, "`fence`"},
	})
	hello := pa.fits["hello-cpu"].Slope - pa.fits["guard-cpu"].Slope
	pa.table("Processor, ms a second.", "ms/s", limitMillis, []row{
		{"alone, with its target's health", "guard-cpu x 1", pa.part("guard-cpu", 1), "`guard`"},
		{"greetings, both sides", fmt.Sprintf("(hello-cpu - guard-cpu) x %.1f entries", greeters), hello * greeters, "`guard`"},
	})
	pa.table("Bytes a second, in and out together.", "byte/s", limitBytes, []row{
		{"greetings", fmt.Sprintf("hello-bytes x %.1f entries", greeters), pa.part("hello-bytes", greeters), "`wire`"},
		{"configuration slices", fmt.Sprintf("400 bytes (on paper) x %.1f entries x %.0f a day", greeters, changesDay), 400 * greeters * changesPerSecond(), "`loan`"},
	})
	pa.printf("\nA guard sends no message of its own but the health question to its target,\nthe order to load weights, and one write at its start and two at its planned\nend.\n")
}

func (pa *page) platform() {
	starts := (failuresDay + restartsDay) * guardCount / instanceCount / daySeconds
	pa.printf("\n### The platform\n")
	pa.table("Reads of the table service and object store a second (about 2,000 are shared by all).", "1/s", 2000, []row{
		{"polls of the head row", fmt.Sprintf("%d entries / %.0f s", entryCount, pollEvery), entryCount / pollEvery, "`entry`, `store`"},
		{"accepted changes", fmt.Sprintf("accept-reads x %.0f a day", changesDay), pa.part("accept-reads", changesPerSecond()), "`sheet`"},
		{"starting guards", "start-reads x starts a day", pa.part("start-reads", starts), "`guard`"},
	})
	pa.table("Writes a second (several hundred are shared by all; 300 is taken).", "1/s", 300, []row{
		{"accepted changes, the book included", fmt.Sprintf("accept-writes x %.0f a day", changesDay), pa.part("accept-writes", changesPerSecond()), "`sheet`"},
		{"starting guards", "start-writes x starts a day", pa.part("start-writes", starts), "`guard`"},
		{"keys handed over", fmt.Sprintf("2 x %.0f planned stops a day (on paper)", restartsDay), 2 * restartsDay / daySeconds, "`guard`, `fence`"},
	})
	perVersion := float64(guardCount)
	pa.table("The weight store, at one version for all targets.", "", 0, []row{
		{"loads of a version", fmt.Sprintf("%d targets", guardCount), perVersion, "`weight`"},
		{"loads a second so that all are done in 16 s, with 2 s for the spread and 1 s for a swap", fmt.Sprintf("%d / 13 s (on paper)", guardCount), perVersion / 13, "`weight`"},
	})
}

func (pa *page) clients() {
	pa.printf("\n### Trainers' clients and operators\n")
	pa.table("A trainer's client.", "", 0, []row{
		{"state: slots that it has, bytes", fmt.Sprintf("16 bytes x %d (on paper)", stepSlots), 16 * stepSlots, "`client`"},
		{"bytes of one take at the end of a step", fmt.Sprintf("25 bytes of JSON a slot x %d (on paper)", stepSlots), 25 * stepSlots, "`client`, `sample`"},
		{"samples of all trainers a second, each step whole in 16 min", fmt.Sprintf("%d x %d / 960 s", trainerCount, stepSlots), float64(trainerCount*stepSlots) / 960, "`sample`"},
	})
	pa.table("An operator's command.", "", 0, []row{
		{"changes a second", fmt.Sprintf("%.0f a day", changesDay), changesPerSecond(), "`sheet`"},
		{"bytes of a sheet", fmt.Sprintf("130 bytes a row x %d (on paper)", loanCount), 130 * loanCount, "`subcmd`"},
	})
}

func (pa *page) links() {
	perChange := pa.at("book-bytes", loanCount) * entryCount * (regionCount - 1) / regionCount
	pa.printf("\n### The links between regions\n")
	pa.table("Bytes a second over all links together (a link carries 56 million).", "byte/s", 0, []row{
		{"books of accepted changes; peers are drawn from all regions alike", fmt.Sprintf("book-bytes x %d x %d x 3/4 x %.0f a day", loanCount, entryCount, changesDay), perChange * changesPerSecond(), "`gossip`"},
		{"exchanges", fmt.Sprintf("entry-bytes x %d x 3/4 / 2", entryCount), pa.part("entry-bytes", entryCount) * 3 / 4 / 2, "`gossip`"},
	})
}

func (pa *page) failures() {
	domain := float64(guardCount) / domainCount
	entries := float64(entryCount) / domainCount
	book, list := pa.at("book-bytes", loanCount), pa.at("list-bytes", instanceCount)
	pa.printf("\n### Days of failure\n\n| what | how | figure |\n| --- | --- | ---: |\n")
	line := func(what, how, figure string) { pa.printf("| %s | %s | %s |\n", what, how, figure) }
	line("a rack is lost (a tenth of a failure domain)", "guards gone at once", short(domain/10))
	line("", "greetings missed and made again until they count as lost, per entry that greets them all over", short(subsetSize/domainCount/10*3))
	line("a failure domain is lost", "guards and entries gone at once", fmt.Sprintf("%.0f and %.0f", domain, entries))
	line("", "its guards come back in one second: writes of the table service, against several hundred a second", short(pa.part("start-writes", domain)))
	line("", "its entries come back in one second: bytes of books and lists", short(entries*(book+list)))
	line("", "keys in doubt for ten minutes after a crash: share of all keyed requests", fmt.Sprintf("%.1f%%", 100.0/domainCount))
	line("a region is cut off for minutes", "entries that hear of no change until it ends", short(entryCount/regionCount))
	line("", "guards that hear of no early recall until it ends", short(guardCount/regionCount))
	line("1,600 restarts a day", "join cost of an entry: book and list, bytes", short(book+list))
	line("", "join cost of all, bytes a second", short(restartsDay/daySeconds*(book+list)))
	line("the platform is back after an hour", "reads in the first poll: heads, and no book that peers have", fmt.Sprint(entryCount))
	line("", "a change accepted right before the outage reaches the last of 60 processes, ms", short(pa.many.SpreadOut.LastMS))
}

// Tables renders all tables.
func tables(fits []Fit, ma many) string {
	pa := &page{fits: map[string]Fit{}, many: ma}
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
			fi.ID, fi.ID, fi.Title, fi.Slope, fi.YUnit, fi.XUnit, fi.Base, fi.Straight, fi.Spread*100)
	}
	return pa.out.String()
}

// The marks around the tables in the page.
const (
	tablesBegin = "<!-- tables: written by go run ./cmd/bilberrylab page -->"
	tablesEnd   = "<!-- end of tables -->"
	manyFile    = "many.json"
)

// render returns the page with its tables made anew.
func render(text, folder string) (string, error) {
	fits, err := ReadSlopes(filepath.Join(folder, slopesFile))
	if err != nil {
		return "", err
	}
	raw, err := os.ReadFile(filepath.Join(folder, manyFile))
	if err != nil {
		return "", errors.Wrap(err, "page")
	}
	var ma many
	if err := json.Unmarshal(raw, &ma); err != nil {
		return "", errors.Wrap(err, "page")
	}
	before, rest, found := strings.Cut(text, tablesBegin)
	_, after, closed := strings.Cut(rest, tablesEnd)
	if !found || !closed {
		return "", errors.New("the page has no place for the tables")
	}
	return before + tablesBegin + "\n" + tables(fits, ma) + "\n" + tablesEnd + after, nil
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
	return errors.Wrap(os.WriteFile(co.File, []byte(next), 0o644), "page") // a page to be read by all
}
