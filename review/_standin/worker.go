package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker, run as a process of its own. A plain worker answers with
// the body that it got, an engine with a stream of events.
type worker struct {
	id, model    string
	software     string
	slots        int
	work, pause  time.Duration
	events       int
	spoilEach    int
	log          *os.File
	born         int64
	mutex        sync.Mutex
	running, ran int
}

func runWorker(args []string) error {
	var wo worker
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	flags.StringVar(&wo.id, "id", "", "id of the incarnation")
	flags.StringVar(&wo.model, "model", "", "model of an engine; empty for a plain worker")
	flags.StringVar(&wo.software, "software", "v1", "version of the software")
	flags.IntVar(&wo.slots, "slots", 6, "requests at once")
	flags.DurationVar(&wo.work, "work", 50*time.Millisecond, "duration of a plain request")
	flags.DurationVar(&wo.pause, "pause", 50*time.Millisecond, "time of an event")
	flags.IntVar(&wo.events, "events", 5, "events of a text")
	flags.IntVar(&wo.spoilEach, "spoil-each", 0, "one answer of so many is spoilt; 0 for none")
	raw := flags.Bool("raw", false, "serve plain requests on connections of its own")
	extraEach := flags.Int("extra-each", 0, "after one answer of so many an extra one is sent; 0 for none")
	log := flags.String("log", "", "file for the record of runs")
	flags.Int64Var(&wo.born, "born", 0, "Unix ms of the start")
	if err := flags.Parse(args); err != nil {
		return err
	}
	file, err := os.OpenFile(*log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	wo.log = file
	if *raw {
		return wo.serveRaw(*listen, *extraEach)
	}
	return (&http.Server{Addr: *listen, Handler: &wo}).ListenAndServe()
}

// note writes a line at once, so that it is kept when the process is killed.
func (wo *worker) note(format string, args ...any) {
	_, _ = fmt.Fprintf(wo.log, "%d worker %s "+format+"\n", append([]any{time.Now().UnixMicro(), wo.id}, args...)...)
}

func (wo *worker) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	out.Header().Set("Bilberryshelf-Instance-Id", wo.id)
	switch req.URL.Path {
	case "/health":
		return
	case "/bilberryshelf/report":
		wo.report(out)
		return
	case "/bilberryshelf/order":
		out.WriteHeader(http.StatusBadRequest) // no version was named
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("Bilberryshelf-Request-Id")
	out.Header().Set("Bilberryshelf-Request-Id", id)
	if expected := req.Header.Get("Bilberryshelf-Expect-Instance"); expected != "" && expected != wo.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	number, admitted := wo.begin()
	if !admitted {
		out.Header().Set("Bilberryshelf-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer wo.end()
	wo.note("runs %s %s %s after=%s", id, req.Method, req.RequestURI, req.Header.Get("Last-Event-Id"))
	out.Header().Set("Bilberryshelf-Response-Stamp", "stamp."+id)
	if wo.model == "" {
		out.Header().Set("Bilberryshelf-Server-Load", fmt.Sprintf("%d,0,%d", wo.load(), wo.slots))
		time.Sleep(wo.work)
		_, _ = fmt.Fprintf(out, "answer to %s: %s", id, body)
		wo.note("ended %s", id)
		return
	}
	wo.stream(out, req, id, wo.spoilEach > 0 && number%wo.spoilEach == 0)
}

func (wo *worker) begin() (number int, ok bool) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	if wo.running >= wo.slots {
		return 0, false
	}
	wo.running++
	wo.ran++
	return wo.ran, true
}

func (wo *worker) end() {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	wo.running--
}

func (wo *worker) load() int {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return wo.running
}

// eventData is the data of an event of a text.
func eventData(item string, at int) string { return fmt.Sprintf("%s.%d", item, at) }

// streamData is the data of an event of a caller's stream. Each software version has its own
// text.
func streamData(software, path string, at int) string {
	return fmt.Sprintf("%s%s.%d", software, path, at)
}

// wholeText is the text of an item as a result lists it.
func wholeText(item string, events int) string {
	var lines []string
	for at := 1; at <= events; at++ {
		lines = append(lines, eventData(item, at))
	}
	return strings.Join(lines, "\n")
}

// stream sends the events of a text. In a spoilt answer the bytes of one event are wrong.
func (wo *worker) stream(out http.ResponseWriter, req *http.Request, id string, spoilt bool) {
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Bilberryshelf-Weight-Versions", "1")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for at := after + 1; at <= wo.events; at++ {
		select {
		case <-time.After(wo.pause):
		case <-req.Context().Done():
			wo.note("left %s", id)
			return
		}
		data := eventData(id, at)
		if strings.HasPrefix(req.URL.Path, streamPath) { // the text of a caller's stream
			data = streamData(wo.software, req.URL.Path, at)
		}
		if spoilt && at == wo.events {
			data = "\xff\xfe\xfd" + data[3:]
			wo.note("spoils event %d of %s", at, id)
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", at, data)
		_ = http.NewResponseController(out).Flush()
	}
	wo.note("ended %s", id)
}

func (wo *worker) report(out http.ResponseWriter) {
	models := []map[string]any{}
	if wo.model != "" {
		models = append(models, map[string]any{"name": wo.model, "version": 1, "adapters": []string{}})
	}
	_ = json.NewEncoder(out).Encode(map[string]any{
		"stage": "both", "models": models, "busy": false, "seq": 0, "num_waiting": 0, "num_running": wo.load(),
		"kv_used": 0, "kv_total": 78763, "handles": 0, "born": wo.born,
	})
}
