// Package soak runs the real programs as processes of their own, injects faults
// from outside of them, and checks the promises from what callers and targets
// see.
package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fake"
	"bilberryshelf/platform/stand"
	"bilberryshelf/table"
)

// entries and engines are the sizes of the world; each engine has a guard.
var entries, engines int

const (
	// desks is the number of plain targets.
	desks = 2
	grace = 6 * time.Second
)

// process is one of the real programs, started anew after each end.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

// world is a small deployment on loopback.
type world struct {
	t       *testing.T
	dir     string
	binary  string
	rows    *fake.Rows
	engines []*stand.Target
	desks   []*stand.Target
	fronts  []string
	links   []*proxy
	entries []*process
	guards  []*process

	mutex sync.Mutex
	// seen counts how often each request or item began to run.
	seen map[string]int
	// served counts answers with 200 by kind.
	served map[string]int
	faults []string
}

// broken notes a broken promise.
func (wo *world) broken(format string, args ...any) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	wo.faults = append(wo.faults, fmt.Sprintf(format, args...))
}

func (wo *world) ran(id string) int {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return wo.seen[id]
}

func (wo *world) count(kind string, status int) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	if status == http.StatusOK {
		wo.served[kind]++
	}
}

// begun is how many requests and items began to run. Targets may still serve
// what their caller has given up.
func (wo *world) begun() int {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return len(wo.seen)
}

// found lists the broken promises.
func (wo *world) found() []string {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return slices.Clone(wo.faults)
}

func listen(t *testing.T, handler http.Handler) string {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	se := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go se.Serve(li)                      // it ends with the test
	t.Cleanup(func() { _ = se.Close() }) // what is still open ends with it
	return li.Addr().String()
}

const (
	// firstPort to lastPort lie below the ports that the system hands out to
	// connections and to servers of other tests, which would take one between its
	// choice and its use.
	firstPort = 10000
	lastPort  = 32000
	// portsEach is the room of a run of the usual size; runs beside each other begin
	// apart.
	portsEach = 64
)

// freeAddrs returns addresses that differ.
func freeAddrs(t *testing.T, count int) []string {
	t.Helper()
	var addrs []string
	port := firstPort + os.Getpid()*max(portsEach, count)%(lastPort-firstPort)
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

func newWorld(t *testing.T, binary string) *world {
	wo := &world{t: t, dir: t.TempDir(), binary: binary, rows: &fake.Rows{}, seen: map[string]int{}, served: map[string]int{}}
	store := listen(t, stand.Store(wo.rows))
	seen := func(id string) {
		wo.mutex.Lock()
		defer wo.mutex.Unlock()
		wo.seen[id]++
	}
	wo.put("op", "config", config)
	free := freeAddrs(t, engines+4*entries)
	take := func() string {
		addr := free[0]
		free = free[1:]
		return addr
	}
	for at := range engines {
		ta := &stand.Target{ID: fmt.Sprintf("e%d", at), Slots: 6, Models: map[string]uint64{"m": 1}, Delay: 15 * time.Millisecond, LoadTime: 300 * time.Millisecond, OnRun: seen}
		addr := listen(t, ta)
		wo.engines = append(wo.engines, ta)
		go wo.register(t.Context(), ta, "lm", addr)
		wo.guards = append(wo.guards, wo.process(fmt.Sprintf("guard-%d", at), "node-guard", guardSettings, addr, take(), store))
	}
	for at := range desks {
		ta := &stand.Target{ID: fmt.Sprintf("d%d", at), Slots: 8, Delay: 10 * time.Millisecond, OnRun: seen}
		addr := listen(t, ta)
		wo.desks = append(wo.desks, ta)
		go wo.register(t.Context(), ta, "desk", addr)
	}
	for at := range entries {
		link := newProxy(t, store)
		front := take()
		wo.links, wo.fronts = append(wo.links, link), append(wo.fronts, front)
		wo.entries = append(wo.entries, wo.process(fmt.Sprintf("entry-%d", at), "node-entry", entrySettings, front, take(), take(), take(), link.addr))
	}
	for _, pr := range append(wo.entries, wo.guards...) {
		wo.start(pr)
	}
	t.Cleanup(wo.end)
	return wo
}

const config = `{"version":1,"routes":[
{"name":"train","host":"h","path_prefix":"/train/","kind":"rollout","target_latency_ms":500,"deadline_ms":7500,"item_ttl_s":120,"max_attempts":3,"service":"lm"},
{"name":"look","host":"h","path_prefix":"/look/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":250,"max_attempts":3,"service":"desk"},
{"name":"once","host":"h","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":250,"max_attempts":3,"service":"desk"},
{"name":"flow","host":"h","path_prefix":"/flow/","kind":"streaming","resumable":true,"timeout_ms":2000,"target_latency_ms":500,"max_attempts":3,"service":"lm"}],
"services":[{"name":"lm","engine":{"slots":6,"kv_capacity":100000,"models":[{"name":"m"}]}},{"name":"desk"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const common = `
[place]
region = "r"
failure-domain = "z"
[instance]
memory = "200MiB"
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
` + common

const guardSettings = `name = "%s"
[engine]
address = "%s"
service = "lm"
[listen]
metrics = "%s"
[store]
address = "%s"
` + common

func (wo *world) put(name, key, value string) {
	// Whoever writes here is not subject to the store's faults.
	_, err := wo.rows.Commit(fake.Exempt(context.Background()), table.Tx{Puts: []table.Put{{ID: table.ID{Table: name, Key: key}, Value: []byte(value)}}})
	if err != nil {
		wo.broken("the world can't write: %v", err)
	}
}

func (wo *world) drop(name, key string) {
	_, err := wo.rows.Commit(fake.Exempt(context.Background()), table.Tx{Drops: []table.ID{{Table: name, Key: key}}})
	if err != nil {
		wo.broken("the world can't write: %v", err)
	}
}

// register keeps a target's row in the registry.
func (wo *world) register(ctx context.Context, ta *stand.Target, service, addr string) {
	last := ""
	for ctx.Err() == nil {
		if ta.Down() {
			wo.drop("servers", ta.ID)
			last = ""
		} else if entry := string(ta.RegistryRow(service, addr, "ready")); entry != last {
			wo.put("servers", ta.ID, entry)
			last = entry
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (wo *world) process(name, command, settings string, values ...any) *process {
	file := filepath.Join(wo.dir, name+".toml")
	text := fmt.Sprintf(settings, append([]any{name}, values...)...)
	require.NoError(wo.t, os.WriteFile(file, []byte(text), 0o600))
	return &process{name: name, args: []string{command, "--settings", file}}
}

func (wo *world) start(pr *process) {
	out, err := os.OpenFile(filepath.Join(wo.dir, pr.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(wo.t, err)
	pr.cmd = exec.Command(wo.binary, pr.args...)
	pr.cmd.Stdout, pr.cmd.Stderr = out, out
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives a test that is ended
	require.NoError(wo.t, pr.cmd.Start())
	done := make(chan struct{})
	pr.done = done
	go func(cmd *exec.Cmd) {
		defer close(done)
		_ = cmd.Wait() // how it ended is told by its log
		_ = out.Close()
	}(pr.cmd)
}

// signal reaches just the process that was started here, by its id.
func (pr *process) signal(sig syscall.Signal) { _ = pr.cmd.Process.Signal(sig) }

// restart ends a process by a signal and starts it anew.
func (wo *world) restart(pr *process, sig syscall.Signal) {
	pr.signal(sig)
	select {
	case <-pr.done:
	case <-time.After(grace + 2*time.Second):
		wo.broken("%s did not end within its grace after %v", pr.name, sig)
		pr.signal(syscall.SIGKILL)
		<-pr.done
	}
	wo.start(pr)
}

func (wo *world) end() {
	for _, pr := range append(wo.entries, wo.guards...) {
		pr.signal(syscall.SIGCONT)
		pr.signal(syscall.SIGKILL)
		<-pr.done
	}
	if wo.t.Failed() {
		keep := filepath.Join(os.TempDir(), "soak-"+filepath.Base(wo.dir)+"-"+fmt.Sprint(os.Getpid()))
		if err := os.CopyFS(keep, os.DirFS(wo.dir)); err == nil {
			wo.t.Logf("logs are kept in %s", keep)
		}
	}
}

// client opens connections of its own and keeps them.
func client() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
}

type listing struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID, State, Text, Score string
		Versions               []uint64
	} `json:"results"`
}

func decode(res *http.Response) (listing, error) {
	var li listing
	return li, json.NewDecoder(res.Body).Decode(&li)
}
