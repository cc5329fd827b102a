package steps

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"bilberryshelf/logs"
)

// Recording collects the log lines of several processes. The zero value is empty and ready
// to use. It is not safe for concurrent use.
type Recording struct {
	jobs  map[string]*job
	paces []time.Duration
}

type job struct {
	id               string
	step, itemCount  int
	submitted, ended time.Time
	items            map[string]*item
}

type item struct {
	id      string
	events  int
	runs    []time.Time
	moves   []move
	done    time.Time
	scoring time.Duration
	errored bool
}

type move struct {
	at     time.Time
	reason string
}

// Read adds the lines of a log. Lines that are not those of a step are passed over; text
// before the time of a line is ignored.
func (re *Recording) Read(rd io.Reader) error {
	sc := logs.NewScanner(rd)
	for sc.Scan() {
		if _, rest, found := strings.Cut(sc.Text(), "at="); found {
			re.add(parse("at=" + rest))
		}
	}
	return errors.Wrap(sc.Err(), "read the log")
}

// parse returns the fields of a line, those before the first malformed one.
func parse(line string) map[string]string {
	fields := map[string]string{}
	de := logfmt.NewDecoder(strings.NewReader(line))
	if !de.ScanRecord() {
		return fields
	}
	for de.ScanKeyval() {
		fields[string(de.Key())] = string(de.Value())
	}
	return fields
}

// add records a line.
func (re *Recording) add(fields map[string]string) {
	at, err := time.Parse(time.RFC3339Nano, fields["at"])
	if err != nil {
		return
	}
	switch fields["msg"] {
	case "job submitted":
		jo := re.job(fields["id"])
		if fields["err"] == "null" && jo.submitted.IsZero() {
			jo.submitted, jo.step, jo.itemCount = at, number(fields["step"]), number(fields["items"])
		}
	case "job ended":
		if jo := re.job(fields["id"]); jo.ended.IsZero() || at.Before(jo.ended) {
			jo.ended = at
		}
	case "run begun":
		it := re.job(fields["job"]).item(fields["id"])
		it.runs = append(it.runs, at)
		if pace := span(fields["pace"]); pace > 0 {
			re.paces = append(re.paces, pace)
		}
	case "run moved", "run abandoned":
		it := re.job(fields["job"]).item(fields["id"])
		it.moves = append(it.moves, move{at: at, reason: fields["why"]})
	case "item completed", "item errored":
		it := re.job(fields["job"]).item(fields["id"])
		it.done, it.events, it.scoring = at, number(fields["events"]), span(fields["scored-for"])
		it.errored = fields["msg"] == "item errored"
	}
}

func (re *Recording) job(id string) *job {
	if re.jobs == nil {
		re.jobs = map[string]*job{}
	}
	jo := re.jobs[id]
	if jo == nil {
		jo = &job{id: id, items: map[string]*item{}}
		re.jobs[id] = jo
	}
	return jo
}

func (jo *job) item(id string) *item {
	it := jo.items[id]
	if it == nil {
		it = &item{id: id}
		jo.items[id] = it
	}
	return it
}

// number and span return zero for a field that is missing or malformed: the account of the
// other fields is still of use.
func number(text string) int {
	count, _ := strconv.Atoi(text)
	return count
}

func span(text string) time.Duration {
	du, _ := time.ParseDuration(text)
	return du
}
