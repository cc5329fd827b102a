package soak_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/platform/stub"
)

// The tests of this file start faulty engines that send without end beside sound ones. The
// entry must live, stay within the memory of its machine and serve an ordinary request. They
// run with the tests of crowds, since they measure memory too.

// faultyEngine answers each request with the head of a stream, and then with what next returns
// until the caller closes. next gets the number of its call, from 1 on.
type faultyEngine struct {
	stub.Target
	next func(number int) string
}

func newFaultyEngine(id string, next func(number int) string) *faultyEngine {
	return &faultyEngine{Target: stub.Target{ID: id, Slots: 150, Models: map[string]uint64{"m": 1}, OnRun: func(string) {}}, next: next}
}

// ServeHTTP implements http.Handler.
func (fe *faultyEngine) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	if strings.HasPrefix(req.URL.Path, "/bilberryshelf/") {
		fe.Target.ServeHTTP(out, req)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("Bilberryshelf-Request-Id")
	out.Header().Set("Bilberryshelf-Request-Id", id)
	out.Header().Set("Bilberryshelf-Response-Stamp", "stamp-"+id)
	out.Header().Set("Bilberryshelf-Weight-Versions", "1")
	out.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(out)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // a new stream has none
	for number := after + 1; req.Context().Err() == nil; number++ {
		if _, err := io.WriteString(out, fe.next(number)); err != nil {
			return
		}
		_ = control.Flush() // fails with the next write
	}
}

// eventWithoutEnd is one event of many lines, lineWithoutEnd one of a single line.
func eventWithoutEnd(number int) string { return firstID(number) + "data: " + padding + "\n" }

func lineWithoutEnd(number int) string {
	if number == 1 {
		return "id: 1\ndata: "
	}
	return padding
}

// slowEvent is an event that is nearly as large as permitted and goes on byte by byte, so that
// all streams hold one at the same time.
func slowEvent(number int) string {
	if size := number * len(padding); size < 250<<10 {
		return lineWithoutEnd(number)
	}
	time.Sleep(50 * time.Millisecond)
	return "x"
}

func commentsWithoutEnd(int) string { return ": " + padding + "\n\n" }

// soundEvents are complete events in order.
func soundEvents(number int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", number, padding) }

// emptyEvents are complete events without text.
func emptyEvents(number int) string { return fmt.Sprintf("id: %d\ndata:\n\n", number) }

func firstID(number int) string {
	if number == 1 {
		return "id: 1\n"
	}
	return ""
}

var padding = strings.Repeat("x", 2000)

// addFaultyServices adds faulty targets of the service of plain requests and scoring calls.
func (ma *machine) addFaultyServices(count int, next func(number int) string) {
	for at := range count {
		fe := newFaultyEngine(fmt.Sprintf("p%d", at), next)
		fe.Models = nil
		go ma.register(ma.t.Context(), &fe.Target, "desk", listen(ma.t, fe))
	}
	time.Sleep(time.Second) // until the entry lists them
}

// addFaultyEngines adds faulty engines and a second sound one.
func (ma *machine) addFaultyEngines(count int, next func(number int) string) {
	for at := range count {
		fe := newFaultyEngine(fmt.Sprintf("f%d", at), next)
		go ma.register(ma.t.Context(), &fe.Target, "lm", listen(ma.t, fe))
	}
	sound := &stub.Target{ID: "e1", Slots: 64, Models: map[string]uint64{"m": 1}, Delay: time.Millisecond, OnRun: func(string) {}}
	go ma.register(ma.t.Context(), sound, "lm", listen(ma.t, sound))
	time.Sleep(time.Second) // until the entry lists them
}

// meetStreams has 300 callers request streams while engines are faulty.
func meetStreams(t *testing.T, next func(number int) string) {
	t.Helper()
	ma := newMachine(t, true)
	ma.addFaultyEngines(3, next)
	ma.meet(ma.callers, crowd{connections: 300, discard: true, send: func(conn net.Conn) error {
		id := fmt.Sprint("s", conversations.Add(1))
		_, err := fmt.Fprintf(conn, "POST /flow/x HTTP/1.1\r\nHost: h\r\nBilberryshelf-Request-Id: %s\r\nBilberryshelf-Deadline-Ms: 10000\r\nContent-Length: 1\r\n\r\nx", id)
		return err
	}})
}

func TestCrowdStreamsEventWithoutEnd(t *testing.T) { meetStreams(t, eventWithoutEnd) }

func TestCrowdStreamsLineWithoutEnd(t *testing.T) { meetStreams(t, lineWithoutEnd) }

func TestCrowdStreamsSlowEvent(t *testing.T) { meetStreams(t, slowEvent) }

func TestCrowdStreamsCommentsWithoutEnd(t *testing.T) { meetStreams(t, commentsWithoutEnd) }

func TestCrowdStreamsSoundEvents(t *testing.T) { meetStreams(t, soundEvents) }

// Plain requests get bodies without end from some targets.
func TestCrowdPlainWithoutEnd(t *testing.T) {
	ma := newMachine(t, true)
	ma.addFaultyServices(3, soundEvents)
	ma.meet(ma.callers, crowd{connections: 300, discard: true, send: converse(func(number int64) string {
		return fmt.Sprintf("POST /look/x HTTP/1.1\r\nHost: h\r\nBilberryshelf-Request-Id: p%d\r\nBilberryshelf-Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx", number)
	})})
}

// The calls that score the texts of a step get answers without end from some targets.
func TestCrowdStepFaultyScorers(t *testing.T) {
	ma := newMachine(t, true)
	ma.addFaultyServices(2, soundEvents)
	ma.runStep(func(item map[string]any) {
		item["scorer_url"] = map[string]any{"id": "s-" + item["id"].(string), "host": "h", "path": "/look/s", "body": []byte("x")}
	})
}

// runStep runs a step of 216 items beside faulty engines and requires all results: a text
// without end is neither listed nor does it hold up the others.
func runStep(t *testing.T, faulty int, next func(number int) string) {
	t.Helper()
	ma := newMachine(t, true)
	ma.addFaultyEngines(faulty, next)
	ma.runStep(func(map[string]any) {})
}

// runStep runs the step. change may change an item before it is submitted.
func (ma *machine) runStep(change func(item map[string]any)) {
	const count = 216
	t := ma.t
	t.Helper()
	items := []map[string]any{}
	for at := range count {
		items = append(items, map[string]any{"id": itemID("j", at), "path": "/train/i", "group": fmt.Sprint(at / 4), "body": []byte("x")})
		change(items[at])
	}
	body, err := json.Marshal(map[string]any{"step": 0, "model": "m", "min_version": 1, "target_groups": count / 4, "requests": items})
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, ma.request(http.MethodPost, "/train/x", "j", string(body), nil))
	results := map[string]string{}
	for end := time.Now().Add(time.Minute); len(results) < count && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var page resultPage
		if ma.request(http.MethodGet, fmt.Sprintf("/bilberryshelf/lots/j?after=%d", len(results)), "read", "", &page) != http.StatusOK {
			continue
		}
		for _, re := range page.Results {
			require.Equal(t, "completed", re.State, re.ID)
			require.Equal(t, strings.Join(stub.Text(re.ID), "\n"), re.Text, re.ID)
			results[re.ID] = re.Text
		}
	}
	ma.requireAlive()
	peak := ma.peakMemory()
	t.Logf("peak %d KiB, %d results", peak>>10, len(results))
	require.LessOrEqual(t, peak, crowdMemory, "memory of the machine")
	require.Len(t, results, count)
	ma.requireServed("after")
}

// request sends a request of a trainer and decodes the response, unless page is nil.
func (ma *machine) request(method, path, id, body string, page *resultPage) int {
	req, err := http.NewRequest(method, "http://"+ma.callers+path, strings.NewReader(body))
	require.NoError(ma.t, err)
	req.Host = "h"
	req.Header.Set("Bilberryshelf-Request-Id", id)
	res, err := newClient().Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if page != nil && res.StatusCode == http.StatusOK {
		pa, err := decodePage(res)
		require.NoError(ma.t, err)
		*page = pa
	}
	return res.StatusCode
}

func TestCrowdStepSoundEvents(t *testing.T) { runStep(t, 3, soundEvents) }

func TestCrowdStepOneFaultyEngine(t *testing.T) { runStep(t, 1, soundEvents) }

func TestCrowdStepEmptyEvents(t *testing.T) { runStep(t, 3, emptyEvents) }

func TestCrowdStepEventWithoutEnd(t *testing.T) { runStep(t, 3, eventWithoutEnd) }

func TestCrowdStepLineWithoutEnd(t *testing.T) { runStep(t, 3, lineWithoutEnd) }

func TestCrowdStepSlowEvent(t *testing.T) { runStep(t, 3, slowEvent) }

func TestCrowdStepCommentsWithoutEnd(t *testing.T) { runStep(t, 3, commentsWithoutEnd) }
