package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fake"
	"bilberryshelf/platform/stub"
)

// stopCase is a planned stop of an entry.
type stopCase struct {
	// busy has the entry run a job.
	busy bool
	// signals are sent to the first entry later than the first SIGTERM.
	signals map[time.Duration]syscall.Signal
	// secondStop is when the other entry is stopped too; zero means never.
	secondStop time.Duration
	// slots are those of each target; few of them make requests wait.
	slots int
	// limit is the rate that the targets name, in requests a second; zero means none.
	limit float64
}

var stopCases = map[string]stopCase{
	"idle":               {slots: 50},
	"with a job":         {slots: 50, busy: true},
	"repeated signals":   {slots: 50, busy: true, signals: map[time.Duration]syscall.Signal{time.Second: syscall.SIGTERM, 2 * time.Second: syscall.SIGHUP, 4 * time.Second: syscall.SIGTERM}},
	"both entries":       {slots: 50, busy: true, secondStop: time.Second},
	"full targets":       {slots: 4},
	"targets with rates": {slots: 50, limit: 5},
}

// Guards against requests that a stopping process takes and then cuts off, with real processes and
// clients that keep their connections until the process is gone. A request that is sent later
// than 3 s after the signal is answered whole, or refused and not run; an earlier one may be cut
// off in the last sixth of the grace period only.
func TestStopServesOrRefuses(t *testing.T) {
	free := freeAddrs(t, addrsPerStop*len(stopCases)) // at once, so that no two are the same
	for name, sc := range stopCases {
		addrs := free[:addrsPerStop]
		free = free[addrsPerStop:]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc.run(t, addrs)
		})
	}
}

const (
	// lateAfter is the time after the signal from which no request may be cut off.
	lateAfter = 3 * time.Second
	// stopClients is the number of clients of each kind, which send one after the other.
	stopClients = 40
	// addrsPerStop is the number of addresses of two entries.
	addrsPerStop = 8
)

func (sc stopCase) run(t *testing.T, free []string) {
	cl := &cluster{t: t, memory: usualMemory, dir: t.TempDir(), binary: binary, rows: &fake.Rows{}, startCounts: map[string]int{}, okCounts: map[string]int{}}
	store := listen(t, stub.Store(cl.rows))
	recordStart := func(id string) {
		cl.mutex.Lock()
		defer cl.mutex.Unlock()
		cl.startCounts[id]++
	}
	cl.putRow("op", "config", strings.ReplaceAll(fmt.Sprintf(routeConfig, cl.configVersion.Add(1)), `"timeout_ms":2000`, `"timeout_ms":10000`))
	for at := range 2 {
		engine := &stub.Target{ID: fmt.Sprint("e", at), Slots: sc.slots, Models: map[string]uint64{"m": 1}, Delay: 100 * time.Millisecond, OnRun: recordStart}
		plain := &stub.Target{ID: fmt.Sprint("d", at), Slots: sc.slots, Delay: 2500 * time.Millisecond, OnRun: recordStart}
		for service, ta := range map[string]*stub.Target{"lm": engine, "desk": plain} {
			ta.SetLimit(sc.limit)
			go cl.register(t.Context(), ta, service, listen(t, ta))
		}
	}
	for at := range 2 {
		addrs := free[4*at : 4*at+4]
		cl.callerAddrs = append(cl.callerAddrs, addrs[0])
		cl.entries = append(cl.entries, cl.process(fmt.Sprint("entry-", at), "node-entry", entrySettings, addrs[0], addrs[1], addrs[2], addrs[3], store))
		cl.start(cl.entries[at])
	}
	t.Cleanup(cl.stop)
	for _, addr := range cl.callerAddrs {
		require.Eventually(t, func() bool {
			an := sendLate(dialLate(t, addr), "look", "warm-"+addr, 0)
			return an.status == http.StatusOK
		}, 20*time.Second, 100*time.Millisecond)
	}
	if sc.busy {
		sc.submit(t, cl)
	}
	var group sync.WaitGroup
	started := time.Now()
	cl.entries[0].signal(syscall.SIGTERM)
	for after, sig := range sc.signals {
		time.AfterFunc(after, func() { cl.entries[0].signal(sig) })
	}
	if sc.secondStop > 0 {
		time.AfterFunc(sc.secondStop, func() { cl.entries[1].signal(syscall.SIGTERM) })
	}
	time.AfterFunc(grace, func() { cl.entries[0].signal(syscall.SIGKILL) })
	for _, kind := range []string{"flow", "once", "look", "slow-body"} {
		for at := range stopClients {
			conn := dialLate(t, cl.callerAddrs[0])
			group.Go(func() {
				defer conn.Close()
				id := longID(fmt.Sprintf("%s-%d", kind, at))
				time.Sleep(time.Duration(at) * grace / stopClients)
				sentAt := time.Since(started)
				slow := time.Duration(0)
				if kind == "slow-body" {
					slow = 800 * time.Millisecond
				}
				an := sendLate(conn, strings.Replace(kind, "slow-body", "once", 1), id, slow)
				ran := cl.startCount(id)
				if an.status == http.StatusServiceUnavailable && ran > 0 {
					cl.recordViolation("%s, sent after %v, was refused and has run", id, sentAt)
				}
				if kind == "once" && ran > 1 {
					cl.recordViolation("%s has run %d times", id, ran)
				}
				endedAt := time.Since(started)
				late := sentAt+slow > lateAfter || endedAt < grace-grace/6
				if late && ran > 0 && (an.err != nil || an.status == http.StatusGatewayTimeout) {
					cl.recordViolation("%s, sent after %v, has run and got status %d, %v after %v", id, sentAt+slow, an.status, an.err, endedAt)
				}
				cl.countResponse(kind, an.status)
			})
		}
	}
	group.Wait()
	t.Logf("responses with status 200: %v", cl.okCounts)
	require.Empty(t, cl.recordedViolations())
}

// longID returns an id that begins with a prefix and whose stream has 50 events.
func longID(prefix string) string {
	for at := 0; ; at++ {
		if id := fmt.Sprint(prefix, "-", at); len(stub.Text(id)) == 50 {
			return id
		}
	}
}

// submit has the first entry, or the other one, run a job of long texts.
func (sc stopCase) submit(t *testing.T, cl *cluster) {
	t.Helper()
	var items []string
	for at := range 40 {
		items = append(items, fmt.Sprintf(`{"id":"j-i%d","path":"/train/i","group":"%d","tokens":1000,"body":"eA=="}`, at, at/4))
	}
	body := fmt.Sprintf(`{"step":0,"model":"m","min_version":1,"target_groups":10,"requests":[%s]}`, strings.Join(items, ","))
	res, err := http.DefaultClient.Do(lateRequest(t, cl.callerAddrs[0], body))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusAccepted, res.StatusCode)
}

func lateRequest(t *testing.T, addr, body string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/train/x", strings.NewReader(body))
	require.NoError(t, err)
	req.Host, req.Close = "h", true
	req.Header.Set("Bilberryshelf-Request-Id", "j")
	return req
}

func dialLate(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Logf("dial: %v", err)
		return nil
	}
	return conn
}

// lateAnswer is what a client got. err is set unless the answer is complete.
type lateAnswer struct {
	status int
	err    error
}

// lateTimeout is the time that the clients wait.
const lateTimeout = 12 * time.Second

// sendLate sends a request on an open connection. With slow its last byte comes that much later.
func sendLate(conn net.Conn, kind, id string, slow time.Duration) lateAnswer {
	if conn == nil {
		return lateAnswer{err: io.EOF}
	}
	_ = conn.SetDeadline(time.Now().Add(lateTimeout + 3*time.Second)) // fails only on a closed connection
	_, err := fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: h\r\nBilberryshelf-Request-Id: %s\r\nBilberryshelf-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nx", kind, id, lateTimeout.Milliseconds())
	if err == nil {
		time.Sleep(slow)
		_, err = io.WriteString(conn, "y")
	}
	if err != nil {
		return lateAnswer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return lateAnswer{err: err}
	}
	_, err = io.Copy(io.Discard, res.Body)
	return lateAnswer{status: res.StatusCode, err: err}
}
