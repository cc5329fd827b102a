package soak_test

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fake"
	"bilberryshelf/platform/stub"
)

// The tests of this file connect a crowd of clients that ignore the limits of the
// configuration to one process, and check that the process lives, stays within the memory
// and the descriptors of its machine, and answers an ordinary request. They measure memory,
// so that they are run one at a time and apart from other load.
var (
	runCrowds  = flag.Bool("crowd", false, "run the tests of clients that ignore the limits")
	crowdScale = flag.Int("crowd-scale", 1, "factor of the number of clients")
)

const (
	// crowdMemory is the memory of the machine, in bytes: what the process takes and what the
	// kernel holds unread for it.
	crowdMemory = 64 << 20
	// crowdDescriptors is the descriptor limit of the process, of which sockets must leave
	// fileDescriptors free.
	crowdDescriptors = 1024
	// maxAddressSpace ends a process that takes far more than its machine has, in KiB, before
	// it takes the memory of the computer.
	maxAddressSpace = 4 << 20
	fileDescriptors = 200
	// crowdSpan is how long a crowd sends. Its clients connect again when they are closed.
	crowdSpan = 5 * time.Second
	// crowdHeader is max_header_bytes of the configuration.
	crowdHeader = 16384
)

// crowd is a number of clients of one kind.
type crowd struct {
	connections int
	// send writes to a connection until it returns or fails. Then the client waits for the
	// connection to be closed.
	send func(conn net.Conn) error
	// discard is set if the client reads what the process sends. Otherwise it reads nothing.
	discard bool
}

// run sends until the span ends and closes all connections.
func (cr crowd) run(addr string, span time.Duration) {
	end := time.Now().Add(span)
	var group sync.WaitGroup
	for range cr.connections * *crowdScale {
		group.Go(func() {
			for time.Now().Before(end) {
				if !cr.connect(addr, end) {
					time.Sleep(20 * time.Millisecond) // refused: the process may be at its limit
				}
			}
		})
	}
	group.Wait()
}

func (cr crowd) connect(addr string, end time.Time) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(end) // fails only on a closed connection
	if cr.discard {
		go io.Copy(io.Discard, conn)
	}
	if cr.send(conn) == nil {
		_, _ = io.Copy(io.Discard, conn) // until it is closed or the deadline passes
	}
	return true
}

// machine is a process of the system with the limits of a small machine.
type machine struct {
	*cluster
	process *process
	// callers is the address for requests; it is empty if the process serves none.
	callers, readiness, inner, metrics string
	// env holds environment variables of the process, as a shell takes them.
	env string
	// addrs are all addresses of the process.
	addrs []string
	// headers holds the headers of a request that reached the target.
	headers chan http.Header
}

// newMachine starts an entry with one plain target and one engine.
func newMachine(t *testing.T, configured bool) *machine {
	t.Helper()
	ma := newIdleMachine(t)
	cl := ma.cluster
	store := listen(t, stub.Store(cl.rows))
	if configured {
		cl.changeConfig()
	}
	recordStart := func(id string) {
		cl.mutex.Lock()
		defer cl.mutex.Unlock()
		cl.startCounts[id]++
	}
	target := &stub.Target{ID: "d0", Slots: 64, Delay: 5 * time.Millisecond, OnRun: recordStart}
	ma.headers = make(chan http.Header, 1)
	go cl.register(t.Context(), target, "desk", listen(t, http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		select {
		case ma.headers <- req.Header.Clone():
		default:
		}
		target.ServeHTTP(out, req)
	})))
	engine := &stub.Target{ID: "e0", Slots: 64, Models: map[string]uint64{"m": 1}, Delay: time.Millisecond, OnRun: recordStart}
	go cl.register(t.Context(), engine, "lm", listen(t, engine))
	free := freeAddrs(t, 4)
	ma.addrs = free
	ma.callers, ma.readiness, ma.inner, ma.metrics = free[0], free[1], free[2], free[3]
	ma.start(cl.process("entry", "node-entry", entrySettings, free[0], free[1], free[2], free[3], store))
	return ma
}

// newIdleMachine returns a machine whose process is not started.
func newIdleMachine(t *testing.T) *machine {
	t.Helper()
	if !*runCrowds {
		t.Skip("run apart from other load: go test ./soak -run TestCrowd -args -crowd")
	}
	cl := &cluster{t: t, memory: crowdMemory >> 20, dir: t.TempDir(), binary: binary, rows: &fake.Rows{}, startCounts: map[string]int{}, okCounts: map[string]int{}}
	return &machine{cluster: cl}
}

// start starts the process with the machine's limits.
func (ma *machine) start(pr *process) {
	pr.args = append([]string{"-c", fmt.Sprintf(`ulimit -n %d; ulimit -v %d; %s exec "$0" "$@"`, crowdDescriptors, maxAddressSpace, ma.env), binary}, pr.args...)
	ma.binary, ma.process = "/bin/sh", pr
	ma.entries = []*process{pr}
	ma.cluster.start(pr)
	ma.t.Cleanup(ma.stop)
}

// send sends an ordinary request with further header lines and returns the status and the
// Retry-After header.
func (ma *machine) send(id string, header http.Header) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+ma.callers+"/look/x", strings.NewReader("body-"+id))
	require.NoError(ma.t, err)
	req.Host, req.Close = "h", true
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Deadline-Ms", "3000")
	res, err := newClient().Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode == http.StatusOK && string(body) != "body-"+id {
		return 0, ""
	}
	return res.StatusCode, res.Header.Get("Retry-After")
}

// requireServed sends an ordinary request until it is served, as callers do.
func (ma *machine) requireServed(when string) {
	ma.t.Helper()
	status := 0
	for try := range 100 {
		if status, _ = ma.send(fmt.Sprintf("%s%d", when, try), nil); status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Failf(ma.t, "an ordinary request is not served", "%s the crowd: status %d", when, status)
}

// meet runs a crowd against an address of the machine. How many ordinary requests are served
// beside it depends on the speed of the computer, so that this is only logged.
func (ma *machine) meet(addr string, cr crowd) {
	ma.t.Helper()
	if ma.callers != "" {
		ma.requireServed("before")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		cr.run(addr, crowdSpan)
	}()
	statuses, unread, descriptors := ma.watch(done)
	ma.requireAlive()
	peak := ma.peakMemory()
	ma.t.Logf("peak %d KiB, unread at most %d KiB, %d descriptors, ordinary requests by status %v", peak>>10, unread>>10, descriptors, statuses)
	require.LessOrEqual(ma.t, peak+unread, crowdMemory, "memory of the machine")
	require.LessOrEqual(ma.t, descriptors, crowdDescriptors-fileDescriptors, "descriptors of the machine")
	if ma.callers != "" {
		ma.requireServed("after")
	}
	ma.requireAlive()
}

// watch samples the machine until the crowd has left. It returns the number of ordinary
// requests by status, the most bytes that were unread and the most descriptors.
func (ma *machine) watch(done <-chan struct{}) (statuses map[int]int, unread, descriptors int) {
	statuses = map[int]int{}
	for number := 0; ; number++ {
		select {
		case <-done:
			return statuses, unread, descriptors
		case <-time.After(50 * time.Millisecond):
		}
		unread, descriptors = max(unread, ma.unreadBytes()), max(descriptors, ma.descriptorCount())
		if ma.callers != "" && number%4 == 0 {
			status, _ := ma.send(fmt.Sprintf("beside%d", number), nil)
			statuses[status]++
		}
	}
}

func (ma *machine) requireAlive() {
	ma.t.Helper()
	select {
	case <-ma.process.done:
		require.Fail(ma.t, "the process ended")
	default:
	}
}

// peakMemory returns the largest resident size of the process so far, in bytes.
func (ma *machine) peakMemory() int {
	peak, err := ma.process.peakMemory()
	require.NoError(ma.t, err)
	return peak
}

// peakMemory returns the largest resident size of a process so far, in bytes.
func (pr *process) peakMemory() (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.pid.Load()))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, err := strconv.Atoi(strings.Fields(rest)[0])
			return kib << 10, err
		}
	}
	return 0, errors.New("the process has no memory")
}

func (ma *machine) descriptorCount() int {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", ma.process.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended, which requireAlive reports
	}
	return len(names)
}

// unreadBytes returns the number of bytes that the kernel has received for the process and
// that it has not read.
func (ma *machine) unreadBytes() int {
	raw, err := os.ReadFile("/proc/net/tcp")
	require.NoError(ma.t, err)
	ports := map[string]bool{}
	for _, addr := range ma.addrs {
		if _, port, err := net.SplitHostPort(addr); err == nil {
			number, err := strconv.Atoi(port)
			require.NoError(ma.t, err)
			ports[fmt.Sprintf("%04X", number)] = true
		}
	}
	sum := 0
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		const established = "01"
		if len(fields) < 5 || fields[3] != established {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, queue, _ := strings.Cut(fields[4], ":")
		if size, err := strconv.ParseInt(queue, 16, 64); err == nil && ports[port] {
			sum += int(size)
		}
	}
	return sum
}
