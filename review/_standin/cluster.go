package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is heartbeat_ms of the small sites; an entry is removed after three of silence.
const heartbeat = 1200 * time.Millisecond

// process is a process of the system or of a worker.
type process struct {
	name string
	path string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// workerSpec is a worker and the registry's entry about it.
type workerSpec struct {
	*process
	id, service, addr, model, software string
	slots                              int
	born                               int64
	extra                              []string
}

// entrySpec is an entry of the system with its addresses.
type entrySpec struct {
	*process
	callers string
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	dir       string
	program   string
	record    *os.File
	recording sync.Mutex
	store     *store
	storeAddr string
	entries   []*entrySpec
	guards    []*process
	workers   []*workerSpec
	starts    int
	processes []*process
}

// errCannotRun marks what is no result of the test.
type errCannotRun struct{ error }

func must(err error) {
	if err != nil {
		panic(errCannotRun{err})
	}
}

func newCluster(record string) *cluster {
	cl := &cluster{store: newStore()}
	program, err := filepath.Abs(os.Getenv("BILBERRYSHELF"))
	must(err)
	_, err = os.Stat(program)
	must(err)
	cl.program = program
	cl.dir, err = os.MkdirTemp("", "review-")
	must(err)
	cl.record, err = os.Create(record)
	must(err)
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	cl.storeAddr = li.Addr().String()
	go func() { _ = http.Serve(li, cl.store) }()
	return cl
}

// note writes a line of the record.
func (cl *cluster) note(format string, args ...any) {
	cl.recording.Lock()
	defer cl.recording.Unlock()
	_, _ = fmt.Fprintf(cl.record, "%d "+format+"\n", append([]any{time.Now().UnixMicro()}, args...)...)
}

var (
	portMutex sync.Mutex
	nextPort  = 11000 + os.Getpid()*61%19000
)

// freeAddr returns a loopback address below the ephemeral ports that nobody uses.
func freeAddr() string {
	portMutex.Lock()
	defer portMutex.Unlock()
	for range 2000 {
		nextPort++
		if nextPort > 31900 {
			nextPort = 11000
		}
		addr := "127.0.0.1:" + strconv.Itoa(nextPort)
		if li, err := net.Listen("tcp", addr); err == nil {
			_ = li.Close()
			return addr
		}
	}
	panic(errCannotRun{fmt.Errorf("no free port")})
}

func (cl *cluster) start(pr *process) {
	out, err := os.OpenFile(pr.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	pr.cmd = exec.Command(pr.path, pr.args...)
	pr.cmd.Stdout, pr.cmd.Stderr = out, out
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(pr.cmd.Start())
	done := make(chan struct{})
	pr.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}(pr.cmd)
	cl.processes = append(cl.processes, pr)
	cl.note("start %s", pr.name)
}

// kill ends a process that this program started.
func (cl *cluster) kill(pr *process) {
	cl.note("kill %s", pr.name)
	_ = pr.cmd.Process.Signal(syscall.SIGKILL)
	<-pr.done
}

// stop ends all processes and adds what the workers wrote to the record.
func (cl *cluster) stop() {
	for _, en := range cl.entries {
		cl.note("%s had %s at most", en.name, peakMemory(en.cmd.Process.Pid))
	}
	for _, pr := range cl.processes {
		_ = pr.cmd.Process.Signal(syscall.SIGKILL)
		<-pr.done
	}
	lines := cl.workerLines()
	for _, li := range lines {
		_, _ = fmt.Fprintln(cl.record, li)
	}
	_ = cl.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(cl.dir)
	} else {
		fmt.Println("kept", cl.dir)
	}
}

// sortRecord brings the record in the order of time.
func sortRecord(file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	sort.SliceStable(lines, func(lhs, rhs int) bool {
		return strings.SplitN(lines[lhs], " ", 2)[0] < strings.SplitN(lines[rhs], " ", 2)[0]
	})
	_ = os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// entry starts an entry with the settings of deploy/entry.toml.tmpl.
func (cl *cluster) entry(name, zone string, memoryMB int, cores float64) *entrySpec {
	en := &entrySpec{callers: freeAddr()}
	settings := fmt.Sprintf(`name = %q

[place]
region = "lagos"
failure-domain = %q

[listen]
callers = %q
readiness = %q
inner = %q
metrics = %q

[store]
address = %q

[instance]
memory = "%dMiB"
cores = %g

[timing]
grace = "8s"

[start]
first = true
`, name, zone, en.callers, freeAddr(), freeAddr(), freeAddr(), cl.storeAddr, memoryMB, cores)
	en.process = cl.systemProcess(name, "node-entry", settings)
	cl.start(en.process)
	cl.entries = append(cl.entries, en)
	return en
}

// guard starts the guard of an engine with the settings of deploy/guard.toml.tmpl.
func (cl *cluster) guard(name, zone string, wo *workerSpec) {
	settings := fmt.Sprintf(`name = %q

[place]
region = "lagos"
failure-domain = %q

[listen]
metrics = %q

[store]
address = %q

[instance]
memory = "216MiB"
cores = 0.32

[engine]
address = %q
service = %q

[timing]
grace = "8s"
`, name, zone, freeAddr(), cl.storeAddr, wo.addr, wo.service)
	pr := cl.systemProcess(name, "node-guard", settings)
	cl.start(pr)
	cl.guards = append(cl.guards, pr)
}

func (cl *cluster) systemProcess(name, command, settings string) *process {
	file := filepath.Join(cl.dir, name+".toml")
	must(os.WriteFile(file, []byte(settings), 0o600))
	return &process{name: name, path: cl.program, args: []string{command, "--settings", file}, log: filepath.Join(cl.dir, name+".log")}
}

// worker starts a worker and registers it.
func (cl *cluster) worker(service, model string, slots int, extra ...string) *workerSpec {
	return cl.workerOf("v1", service, model, slots, extra...)
}

// workerOf starts a worker of a software version.
func (cl *cluster) workerOf(software, service, model string, slots int, extra ...string) *workerSpec {
	wo := &workerSpec{service: service, model: model, slots: slots, addr: freeAddr(), software: software, extra: extra}
	cl.workers = append(cl.workers, wo)
	cl.startWorker(wo)
	return wo
}

// startWorker starts a new incarnation of a worker, under a new id.
func (cl *cluster) startWorker(wo *workerSpec) {
	cl.starts++
	wo.id = fmt.Sprintf("i-%06x%02d", os.Getpid(), cl.starts)
	cl.launch(wo)
}

// launch starts the process of a worker and registers it as soon as it listens.
func (cl *cluster) launch(wo *workerSpec) {
	wo.born = time.Now().UnixMilli()
	self, err := os.Executable()
	must(err)
	args := append([]string{
		"worker", "-listen", wo.addr, "-id", wo.id, "-model", wo.model, "-software", wo.software, "-slots", strconv.Itoa(wo.slots),
		"-born", strconv.FormatInt(wo.born, 10), "-log", filepath.Join(cl.dir, "runs."+wo.id),
	}, wo.extra...)
	wo.process = &process{name: "worker " + wo.id, path: self, args: args, log: filepath.Join(cl.dir, wo.id+".log")}
	cl.start(wo.process)
	waitFor(5*time.Second, func() bool { return dialable(wo.addr) })
	models := "[]"
	if wo.model != "" {
		models = fmt.Sprintf(`[{"name":%q,"version":1,"adapters":[]}]`, wo.model)
	}
	cl.store.put("servers", wo.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"lagos-ik","version":%q,"slots":%d,"state":"ready","cold_remaining_ms":0,"stage":"both","models":%s,"seq":0,"born":%d}`,
		wo.service, wo.addr, wo.software, wo.slots, models, wo.born))
}

// crashWorker kills a worker. Its entry lapses after three heartbeats of silence, and it
// starts again, under a new id, after the downtime.
func (cl *cluster) crashWorker(wo *workerSpec, down time.Duration) {
	id := wo.id
	cl.kill(wo.process)
	go func() {
		time.Sleep(3 * heartbeat)
		cl.store.drop("servers", id)
	}()
	if down > 0 {
		time.Sleep(down)
		cl.startWorker(wo)
	}
}

// workerLines returns all lines that the workers have written so far.
func (cl *cluster) workerLines() []string {
	files, _ := filepath.Glob(filepath.Join(cl.dir, "runs.*"))
	var lines []string
	for _, file := range files {
		if raw, err := os.ReadFile(file); err == nil && len(raw) > 0 {
			lines = append(lines, strings.Split(strings.TrimSpace(string(raw)), "\n")...)
		}
	}
	return lines
}

// peakMemory returns the largest resident size of a process.
func peakMemory(pid int) string {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			return strings.TrimSpace(value)
		}
	}
	return "an unknown size"
}

// run is a run that a worker recorded.
type run struct {
	at     time.Time
	worker string
	id     string
}

// ended returns the ids of the requests and items that a worker has finished.
func (cl *cluster) ended() map[string]bool {
	all := map[string]bool{}
	for _, li := range cl.workerLines() {
		if fields := strings.Fields(li); len(fields) > 4 && fields[3] == "ended" {
			all[fields[4]] = true
		}
	}
	return all
}

// runs returns the recorded runs, oldest first.
func (cl *cluster) runs() []run {
	var all []run
	for _, li := range cl.workerLines() {
		var (
			micros       int64
			worker, verb string
			id           string
		)
		if _, err := fmt.Sscanf(li, "%d worker %s %s %s", &micros, &worker, &verb, &id); err == nil && verb == "runs" {
			all = append(all, run{time.UnixMicro(micros), worker, id})
		}
	}
	sort.Slice(all, func(lhs, rhs int) bool { return all[lhs].at.Before(all[rhs].at) })
	return all
}

func dialable(addr string) bool {
	co, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = co.Close()
	return true
}

func waitFor(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// waitReady waits until all entries say that they are ready, and a little longer for them to
// know each other and the workers: traffic starts 10 s after the machines do.
func (cl *cluster) waitReady() {
	for _, en := range cl.entries {
		if !waitFor(10*time.Second, func() bool { return dialable(en.callers) }) {
			panic(errCannotRun{fmt.Errorf("%s does not listen", en.name)})
		}
	}
	time.Sleep(6 * time.Second)
}

// logContains reports whether the log of a process has a line with all these texts.
func logContains(pr *process, texts ...string) bool {
	raw, _ := os.ReadFile(pr.log)
lines:
	for _, line := range strings.Split(string(raw), "\n") {
		for _, text := range texts {
			if !strings.Contains(line, text) {
				continue lines
			}
		}
		return true
	}
	return false
}
