package soak_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fake"
	"bilberryshelf/platform/stub"
)

// uploadSize exceeds what the kernel buffers of an upload that its receiver does not read, in bytes.
const uploadSize = 6 << 20

// brokenTarget answers each request with a response that no client may take for an answer.
type brokenTarget struct {
	stub.Target
	// text returns the response for a request with this id, part of it if early is set.
	text func(id, body string) string
	// early has the target answer before it reads the request, and end cut its connection.
	early bool
	end   func(conn *net.TCPConn)
	sent  atomic.Int64
}

// ServeHTTP implements http.Handler.
func (bt *brokenTarget) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	// A small request has been sent by the time of its answer, which then ends in order.
	if strings.HasPrefix(req.URL.Path, "/bilberryshelf/") || (bt.early && req.ContentLength < uploadSize) {
		bt.Target.ServeHTTP(out, req)
		return
	}
	if !bt.early {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	id := req.Header.Get("Bilberryshelf-Request-Id")
	body := "broken"
	if bt.Models != nil {
		body = fmt.Sprintf("id: 1\ndata: %s\n\n", stub.Text(id)[0])
	}
	bt.sent.Add(1)
	_, _ = io.WriteString(conn, bt.text(id, body))
	if bt.end != nil {
		bt.end(conn.(*net.TCPConn))
	}
}

// brokenFields are the header fields of a response that names its request.
func brokenFields(id string) string {
	return fmt.Sprintf("Bilberryshelf-Request-Id: %s\r\nBilberryshelf-Response-Stamp: stamp-%s\r\nBilberryshelf-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n", id, id)
}

// brokenLine returns a response whose head begins with these lines.
func brokenLine(lines string) func(id, body string) string {
	return func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", lines, brokenFields(id), len(body), body)
	}
}

func withoutLength(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + brokenFields(id) + "\r\n" + body
}

// brokenTargets returns a target for each kind of broken response.
func brokenTargets() map[string]*brokenTarget {
	pause := func(*net.TCPConn) { time.Sleep(30 * time.Millisecond) }
	return map[string]*brokenTarget{
		"early-reset": {text: withoutLength, early: true, end: func(conn *net.TCPConn) { pause(conn); _ = conn.SetLinger(0) }},
		"early-close": {text: withoutLength, early: true, end: pause},
		"early-end":   {text: withoutLength, early: true, end: func(conn *net.TCPConn) { _ = conn.CloseWrite(); pause(conn); _ = conn.SetLinger(0) }},
		"status-000":  {text: brokenLine("000")}, "status-101": {text: brokenLine("101 Switching Protocols")}, "status-600": {text: brokenLine("600 Odd")},
		"blank-name": {text: brokenLine("200 OK\r\nX Bad: 1")}, "blank-not-run": {text: brokenLine("503 Full\r\nBilberryshelf-Not-Run : 1")},
		"blank-length": {text: func(id, body string) string {
			return "HTTP/1.1 200 OK\r\n" + brokenFields(id) + "Content-Length : 3\r\n\r\n" + body
		}},
		"blank-coding": {text: func(id, body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", brokenFields(id), len(body), body)
		}},
	}
}

// brokenMachine starts an entry with a sound target of each service and one for each kind of
// broken response.
func brokenMachine(t *testing.T) (cl *cluster, all []*brokenTarget) {
	t.Helper()
	const memory = 384 // MiB
	cl = &cluster{t: t, memory: memory, dir: t.TempDir(), binary: binary, rows: &fake.Rows{}, startCounts: map[string]int{}, okCounts: map[string]int{}}
	recordStart := func(id string) {
		cl.mutex.Lock()
		defer cl.mutex.Unlock()
		cl.startCounts[id]++
	}
	for service, models := range map[string]map[string]uint64{"desk": nil, "lm": {"m": 1}} {
		sound := &stub.Target{ID: "sound-" + service, Slots: 64, Models: models, Delay: 5 * time.Millisecond, OnRun: recordStart}
		go cl.register(t.Context(), sound, service, listen(t, sound))
		for name, bt := range brokenTargets() {
			bt.Target.ID, bt.Slots, bt.Models, bt.OnRun = name+"-"+service, 64, models, recordStart
			go cl.register(t.Context(), &bt.Target, service, listen(t, bt))
			all = append(all, bt)
		}
	}
	cl.putRow("op", "config", strings.Replace(fmt.Sprintf(routeConfig, cl.configVersion.Add(1)), `"max_body_bytes":1000000`, `"max_body_bytes":16000000`, 1))
	free := freeAddrs(t, 4)
	cl.callerAddrs = free[:1]
	cl.entries = []*process{cl.process("entry", "node-entry", entrySettings, free[0], free[1], free[2], free[3], listen(t, stub.Store(cl.rows)))}
	cl.start(cl.entries[0])
	t.Cleanup(cl.stop)
	require.Eventually(t, func() bool {
		an := sendLate(dialLate(t, cl.callerAddrs[0]), "look", "warm", 0)
		return an.status == http.StatusOK
	}, 20*time.Second, 100*time.Millisecond)
	return cl, all
}

// sendBeside sends a request with an upload on a new connection and checks what the caller gets.
func (cl *cluster) sendBeside(kind, id string, upload []byte) {
	conn, err := net.Dial("tcp", cl.callerAddrs[0])
	if err != nil {
		cl.recordViolation("%s: %v", id, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(lateTimeout)) // fails only on a closed connection
	_, err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: h\r\nBilberryshelf-Request-Id: %s\r\nBilberryshelf-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s", kind, id, len(upload), upload)
	if err != nil {
		cl.recordViolation("%s: %v", id, err)
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		cl.recordViolation("%s got no answer: %v", id, err)
		return
	}
	body, err := io.ReadAll(res.Body)
	want := string(upload) // the stub answers with the body of the request
	if kind == "flow" {
		want = expectedStream(id)
	}
	cl.countResponse(kind, res.StatusCode)
	switch {
	case res.StatusCode < http.StatusOK || res.StatusCode > 599:
		cl.recordViolation("%s got status %d", id, res.StatusCode)
	case res.StatusCode/100 != 2:
		if ran := cl.startCount(id); ran > 0 && res.StatusCode == http.StatusServiceUnavailable {
			cl.recordViolation("%s was refused and has run", id)
		}
	case err == nil && string(body) != want:
		cl.recordViolation("%s got a wrong body of %d bytes as complete: %.80q", id, len(body), body)
	case res.Header.Get("Bilberryshelf-Response-Stamp") != "stamp-"+id || res.Header.Get("X Bad") != "":
		cl.recordViolation("%s got a wrong head: %v", id, res.Header)
	}
}

// Guards against a broken response of a target that reaches a caller, or is listed as the text of
// an item, with a real process and one target for each kind of broken response.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	cl, targets := brokenMachine(t)
	cl.submitItems(40)
	var group sync.WaitGroup
	end, latest := time.Now().Add(6*time.Second), time.Now().Add(30*time.Second)
	unsent := func(bt *brokenTarget) bool { return bt.sent.Load() == 0 }
	for _, kind := range []string{"look", "once", "flow"} {
		for caller, size := range []int{1, 1, uploadSize, uploadSize} {
			upload := []byte(strings.Repeat("u", size))
			group.Go(func() {
				for at := 0; time.Now().Before(end) || time.Now().Before(latest) && slices.ContainsFunc(targets, unsent); at++ {
					cl.sendBeside(kind, fmt.Sprintf("%s-%d-%d", kind, caller, at), upload)
				}
			})
		}
	}
	group.Wait()
	cl.checkItems(40)
	cl.checkRunning(cl.entries[0])
	sent := map[string]int64{}
	for _, bt := range targets {
		sent[bt.Target.ID] = bt.sent.Load()
	}
	t.Logf("responses with status 200: %v, broken responses: %v", cl.okCounts, sent)
	violations := cl.recordedViolations()
	require.Empty(t, violations[:min(len(violations), 10)], "the first of %d", len(violations))
	require.False(t, slices.ContainsFunc(targets, unsent), "a target was not used")
}

// submitItems submits a job of items.
func (cl *cluster) submitItems(count int) {
	var items []string
	for at := range count {
		items = append(items, fmt.Sprintf(`{"id":"%s","path":"/train/i","group":"%d","body":"eA=="}`, itemID("j", at), at/4))
	}
	body := fmt.Sprintf(`{"step":0,"model":"m","min_version":1,"target_groups":%d,"requests":[%s]}`, count/4, strings.Join(items, ","))
	res, err := newClient().Do(lateRequest(cl.t, cl.callerAddrs[0], body))
	require.NoError(cl.t, err)
	require.NoError(cl.t, res.Body.Close())
	require.Equal(cl.t, http.StatusAccepted, res.StatusCode)
}

// checkItems waits until all results are listed and checks their texts.
func (cl *cluster) checkItems(count int) {
	var page resultPage
	require.Eventually(cl.t, func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+cl.callerAddrs[0]+"/bilberryshelf/lots/j?after=0", nil)
		require.NoError(cl.t, err)
		req.Host = "h"
		res, err := newClient().Do(req)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		page = resultPage{}
		return res.StatusCode == http.StatusOK && json.NewDecoder(res.Body).Decode(&page) == nil && len(page.Results) == count
	}, time.Minute, 100*time.Millisecond)
	for _, re := range page.Results {
		if re.State != "completed" || !slices.Equal(strings.Split(re.Text, "\n"), stub.Text(re.ID)) {
			cl.recordViolation("item %s is listed as %s with a wrong text: %.80q", re.ID, re.State, re.Text)
		}
	}
}
