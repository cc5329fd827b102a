// Package soak runs the real program as separate processes, injects faults from
// outside, and checks the service's promises from what callers and targets observe.
package soak_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fake"
	"bilberryshelf/platform/stub"
	"bilberryshelf/table"
)

// entryCount and engineCount are the numbers of entries and engines in the cluster.
// Each engine has a guard.
var entryCount, engineCount int

const (
	// plainTargetCount is the number of targets that are not engines.
	plainTargetCount = 2
	grace            = 6 * time.Second
)

// process is a process of the real program. It may be restarted.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	// pid is the id of the running process, for goroutines beside the one that starts it.
	pid  atomic.Int64
	done chan struct{}
}

// cluster is a small deployment on loopback addresses. Entries reach the store through
// the proxies.
type cluster struct {
	t            *testing.T
	dir          string
	binary       string
	rows         *fake.Rows
	engines      []*stub.Target
	plainTargets []*stub.Target
	callerAddrs  []string
	storeProxies []*proxy
	entries      []*process
	guards       []*process
	// streams checks the software versions of the texts.
	streams stub.Streams
	// memory is what a process may use, in MiB.
	memory int
	// addrs are the addresses of each entry, that of the callers first.
	addrs [][]string
	// configVersion is the version of the configuration in the store.
	configVersion atomic.Uint64
	// configuring is held while the configuration is written; trainRoute is the route of the
	// jobs in it.
	configuring sync.Mutex
	trainRoute  trainRoute

	mutex sync.Mutex
	// startCounts is how often each request or item began to run on a target, by id.
	startCounts map[string]int
	// okCounts is the number of responses with status 200 by kind of request.
	okCounts   map[string]int
	violations []string
}

// recordViolation records a broken promise.
func (cl *cluster) recordViolation(format string, args ...any) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.violations = append(cl.violations, fmt.Sprintf(format, args...))
}

func (cl *cluster) startCount(id string) int {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.startCounts[id]
}

func (cl *cluster) countResponse(kind string, status int) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if status == http.StatusOK {
		cl.okCounts[kind]++
	}
}

// startedCount returns the number of requests and items that began to run. Targets may
// still run requests that their caller has abandoned, so the lock is needed.
func (cl *cluster) startedCount() int {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return len(cl.startCounts)
}

// recordedViolations returns the broken promises.
func (cl *cluster) recordedViolations() []string {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return slices.Clone(cl.violations)
}

func listen(t *testing.T, handler http.Handler) string {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	se := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go se.Serve(li)                      // closed in the cleanup
	t.Cleanup(func() { _ = se.Close() }) // also closes open connections
	return li.Addr().String()
}

const (
	// firstPort to lastPort are below the system's ephemeral ports. Otherwise a
	// connection or the server of another test could take a port between its choice
	// and its use.
	firstPort = 10000
	lastPort  = 32000
	// portsPerRun is the number of ports reserved for a run of the usual size, so
	// that concurrent runs start at different ports.
	portsPerRun = 64
)

// freeAddrs returns distinct loopback addresses that are not in use.
func freeAddrs(t *testing.T, count int) []string {
	t.Helper()
	var addrs []string
	port := firstPort + os.Getpid()*max(portsPerRun, count)%(lastPort-firstPort)
	for ; len(addrs) < count; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		li, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		require.NoError(t, li.Close())
		addrs = append(addrs, addr)
	}
	return addrs
}

// newCluster starts a cluster. Its processes have the given memory, in MiB.
func newCluster(t *testing.T, binary string, memory int) *cluster {
	cl := &cluster{t: t, memory: memory, dir: t.TempDir(), binary: binary, rows: &fake.Rows{}, startCounts: map[string]int{}, okCounts: map[string]int{}}
	store := listen(t, stub.Store(cl.rows))
	recordStart := func(id string) {
		cl.mutex.Lock()
		defer cl.mutex.Unlock()
		cl.startCounts[id]++
	}
	cl.changeConfig()
	free := freeAddrs(t, engineCount+4*entryCount)
	nextAddr := func() string {
		addr := free[0]
		free = free[1:]
		return addr
	}
	for at := range engineCount {
		ta := &stub.Target{ID: fmt.Sprintf("e%d", at), Slots: 6, Models: map[string]uint64{"m": 1}, Delay: 15 * time.Millisecond, LoadTime: 300 * time.Millisecond, OnRun: recordStart, Streams: &cl.streams}
		ta.SetSoftware(softwareVersions[at%2])
		addr := listen(t, ta)
		cl.engines = append(cl.engines, ta)
		go cl.register(t.Context(), ta, "lm", addr)
		cl.guards = append(cl.guards, cl.process(fmt.Sprintf("guard-%d", at), "node-guard", guardSettings, addr, nextAddr(), store))
	}
	for at := range plainTargetCount {
		ta := &stub.Target{ID: fmt.Sprintf("d%d", at), Slots: 8, Delay: 10 * time.Millisecond, OnRun: recordStart}
		addr := listen(t, ta)
		cl.plainTargets = append(cl.plainTargets, ta)
		go cl.register(t.Context(), ta, "desk", addr)
	}
	for at := range entryCount {
		link := newProxy(t, store)
		addrs := []string{nextAddr(), nextAddr(), nextAddr(), nextAddr()}
		cl.storeProxies, cl.callerAddrs, cl.addrs = append(cl.storeProxies, link), append(cl.callerAddrs, addrs[0]), append(cl.addrs, addrs)
		cl.entries = append(cl.entries, cl.process(fmt.Sprintf("entry-%d", at), "node-entry", entrySettings, addrs[0], addrs[1], addrs[2], addrs[3], link.addr))
	}
	for _, pr := range append(cl.entries, cl.guards...) {
		cl.start(pr)
	}
	t.Cleanup(cl.stop)
	return cl
}

// usualMemory is the memory of a process in MiB.
const usualMemory = 200

// softwareVersions are those that serve side by side.
var softwareVersions = [2]string{"v1", "v2"}

// changeConfig writes the next version of the configuration.
func (cl *cluster) changeConfig() {
	cl.configuring.Lock()
	defer cl.configuring.Unlock()
	text := fmt.Sprintf(routeConfig, cl.configVersion.Add(1))
	cl.putRow("op", "config", strings.Replace(text, trainRoute{}.text(), cl.trainRoute.text(), 1))
}

// trainRoute is the route of the jobs.
type trainRoute struct {
	// name and prefix are "train" and "/train/" unless they are set.
	name, prefix string
	removed      bool
}

func (tr trainRoute) path() string { return cmp.Or(tr.prefix, "/train/") }

func (tr trainRoute) text() string {
	if tr.removed {
		return ""
	}
	return fmt.Sprintf(`{"name":"%s","host":"h","path_prefix":"%s","kind":"rollout","target_latency_ms":500,"deadline_ms":7500,"item_ttl_s":120,"max_attempts":3,"service":"lm"},`,
		cmp.Or(tr.name, "train"), tr.path()) // the line of routeConfig
}

// setTrainRoute changes the route of the jobs.
func (cl *cluster) setTrainRoute(tr trainRoute) {
	cl.configuring.Lock()
	cl.trainRoute = tr
	cl.configuring.Unlock()
	cl.changeConfig()
}

// submitPath returns the path to which jobs are submitted now.
func (cl *cluster) submitPath() string {
	cl.configuring.Lock()
	defer cl.configuring.Unlock()
	return cl.trainRoute.path() + "x"
}

const routeConfig = `{"version":%d,"routes":[
{"name":"train","host":"h","path_prefix":"/train/","kind":"rollout","target_latency_ms":500,"deadline_ms":7500,"item_ttl_s":120,"max_attempts":3,"service":"lm"},
{"name":"look","host":"h","path_prefix":"/look/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":250,"max_attempts":3,"service":"desk"},
{"name":"once","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":250,"max_attempts":3,"service":"desk"},
{"name":"flow","host":"h","path_prefix":"/flow/","kind":"streaming","resumable":true,"timeout_ms":2000,"target_latency_ms":500,"max_attempts":3,"service":"lm"}],
"services":[{"name":"lm","engine":{"slots":6,"kv_capacity":100000,"models":[{"name":"m"}]}},{"name":"desk"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const commonSettings = `
[place]
region = "r"
failure-domain = "z"
[instance]
memory = "MEMORY"
cores = 1.0
[timing]
grace = "6s"
`

const entrySettings = `name = "%s"
[listen]
callers = "%s"
readiness = "%s"
inner = "%s"
metrics = "%s"
[store]
address = "%s"
[start]
first = true
` + commonSettings

const guardSettings = `name = "%s"
[engine]
address = "%s"
service = "lm"
[listen]
metrics = "%s"
[store]
address = "%s"
` + commonSettings

func (cl *cluster) putRow(name, key, value string) {
	// The write bypasses the store's faults.
	_, err := cl.rows.Commit(fake.Exempt(context.Background()), table.Tx{Puts: []table.Put{{ID: table.ID{Table: name, Key: key}, Value: []byte(value)}}})
	if err != nil {
		cl.recordViolation("cannot write to the store: %v", err)
	}
}

func (cl *cluster) dropRow(name, key string) {
	_, err := cl.rows.Commit(fake.Exempt(context.Background()), table.Tx{Drops: []table.ID{{Table: name, Key: key}}})
	if err != nil {
		cl.recordViolation("cannot write to the store: %v", err)
	}
}

// register keeps the target's row in the servers table current until ctx ends.
func (cl *cluster) register(ctx context.Context, ta *stub.Target, service, addr string) {
	last := ""
	for ctx.Err() == nil {
		if ta.Down() {
			cl.dropRow("servers", ta.ID)
			last = ""
		} else if entry := string(ta.RegistryRow(service, addr, "ready")); entry != last {
			cl.putRow("servers", ta.ID, entry)
			last = entry
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (cl *cluster) process(name, command, settings string, values ...any) *process {
	file := filepath.Join(cl.dir, name+".toml")
	text := fmt.Sprintf(settings, append([]any{name}, values...)...)
	text = strings.Replace(text, "MEMORY", fmt.Sprintf("%dMiB", cl.memory), 1)
	require.NoError(cl.t, os.WriteFile(file, []byte(text), 0o600))
	return &process{name: name, args: []string{command, "--settings", file}}
}

func (cl *cluster) start(pr *process) {
	out, err := os.OpenFile(filepath.Join(cl.dir, pr.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(cl.t, err)
	pr.cmd = exec.Command(cl.binary, pr.args...)
	pr.cmd.Stdout, pr.cmd.Stderr = out, out
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process must not outlive a killed test
	require.NoError(cl.t, pr.cmd.Start())
	pr.pid.Store(int64(pr.cmd.Process.Pid))
	done := make(chan struct{})
	pr.done = done
	go func(cmd *exec.Cmd) {
		defer close(done)
		_ = cmd.Wait() // its log shows how it ended
		_ = out.Close()
	}(pr.cmd)
}

// signal sends a signal to this process only, by its id.
func (pr *process) signal(sig syscall.Signal) { _ = pr.cmd.Process.Signal(sig) }

// restart stops a process with a signal and starts it again.
func (cl *cluster) restart(pr *process, sig syscall.Signal) {
	cl.checkRunning(pr)
	pr.signal(sig)
	select {
	case <-pr.done:
	case <-time.After(grace + 2*time.Second):
		cl.recordViolation("%s did not exit within its grace period after %v", pr.name, sig)
		pr.signal(syscall.SIGKILL)
		<-pr.done
	}
	cl.start(pr)
}

// checkRunning records a violation if a process has ended without a signal of the test.
func (cl *cluster) checkRunning(pr *process) {
	select {
	case <-pr.done:
		cl.recordViolation("%s ended by itself", pr.name)
	default:
	}
}

func (cl *cluster) stop() {
	for _, pr := range append(cl.entries, cl.guards...) {
		pr.signal(syscall.SIGCONT)
		pr.signal(syscall.SIGKILL)
		<-pr.done
	}
	if cl.t.Failed() {
		logDir := filepath.Join(os.TempDir(), "soak-"+filepath.Base(cl.dir)+"-"+fmt.Sprint(os.Getpid()))
		if err := os.CopyFS(logDir, os.DirFS(cl.dir)); err == nil {
			cl.t.Logf("logs were copied to %s", logDir)
		}
	}
}

// newClient returns a client with its own connection pool.
func newClient() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
}

type resultPage struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID, State, Text, Score string
		Versions               []uint64
	} `json:"results"`
}

func decodePage(res *http.Response) (resultPage, error) {
	var pa resultPage
	return pa, json.NewDecoder(res.Body).Decode(&pa)
}
