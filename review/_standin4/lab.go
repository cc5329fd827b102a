// Command standin4 plays the platform, the workers and the clients of the third review's cases
// around the project's own programs, which run as separate processes. All addresses are
// loopback addresses.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// lab holds the processes of one run and its record.
type lab struct {
	dir    string
	binary string
	// trouble is false if the run goes without the disruption.
	trouble bool
	store   *store
	// storeAddr is the address of the store.
	storeAddr string
	started   time.Time
	nextPort  int

	mutex  sync.Mutex
	record *os.File
	procs  []*proc
	broken []string
}

// proc is a process of the project.
type proc struct {
	name     string
	args     []string
	callers  string
	ready    string
	inner    string
	metrics  string
	store    string
	memoryMB int
	region   string
	zone     string
	cores    float64
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

func newLab() *lab {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		cannotRun("record: %v", err)
	}
	la := &lab{
		dir: dir, binary: os.Getenv("PROGRAM"), trouble: os.Getenv("TROUBLE") != "0", store: newStore(), started: time.Now(), record: record,
	}
	la.storeAddr = la.listen(la.store)
	return la
}

func cannotRun(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", values...)
	os.Exit(2)
}

// log writes a line to the record.
func (la *lab) log(format string, values ...any) {
	la.mutex.Lock()
	defer la.mutex.Unlock()
	fmt.Fprintf(la.record, "%8.3f %s\n", time.Since(la.started).Seconds(), fmt.Sprintf(format, values...))
}

// breaks records that the rule is broken.
func (la *lab) breaks(format string, values ...any) {
	la.log("BROKEN: "+format, values...)
	la.mutex.Lock()
	defer la.mutex.Unlock()
	la.broken = append(la.broken, fmt.Sprintf(format, values...))
}

// fail ends the run as one that could not be played.
func (la *lab) fail(format string, values ...any) {
	la.log("CANNOT RUN: "+format, values...)
	la.end()
	cannotRun(format, values...)
}

// finish ends all processes and exits with the result.
func (la *lab) finish() {
	la.end()
	if len(la.broken) > 0 {
		fmt.Println("broken:", la.broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
	os.Exit(0)
}

func (la *lab) end() {
	for _, pr := range la.procs {
		la.kill(pr)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(la.dir)
	} else {
		fmt.Println("logs in", la.dir)
	}
	_ = la.record.Close()
}

func (la *lab) listen(handler http.Handler) string {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(li, handler) }()
	return li.Addr().String()
}

const (
	// firstPort to lastPort are below the system's ephemeral ports, so that no connection takes
	// a port between its choice and its use.
	firstPort = 10000
	lastPort  = 32000
	// portsPerRun keeps runs beside each other apart.
	portsPerRun = 64
)

// freeAddr returns an address at which nothing listens.
func (la *lab) freeAddr() string {
	for ; ; la.nextPort++ {
		if la.nextPort == 0 || la.nextPort > lastPort {
			la.nextPort = firstPort + os.Getpid()*portsPerRun%(lastPort-firstPort-portsPerRun)
		}
		li, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", la.nextPort))
		if err != nil {
			continue
		}
		la.nextPort++
		_ = li.Close()
		return li.Addr().String()
	}
}

// text returns the settings of an entry as deploy/entry.toml.tmpl gives them.
func (pr *proc) text(first bool) string {
	text := fmt.Sprintf(`name = "%s"
[place]
region = "%s"
failure-domain = "%s"
[listen]
callers = "%s"
readiness = "%s"
inner = "%s"
metrics = "%s"
[store]
address = "%s"
[instance]
memory = "%dMiB"
cores = %g
descriptors = 8200
[timing]
grace = "8s"
`, pr.name, pr.region, pr.zone, pr.callers, pr.ready, pr.inner, pr.metrics, pr.store, pr.memoryMB, pr.cores)
	if first {
		text += "[start]\nfirst = true\n"
	}
	return text
}

// entry starts an entry.
func (la *lab) entry(name string, memoryMB int, storeAddr string) *proc {
	return la.startEntry(&proc{name: name, memoryMB: memoryMB, cores: 0.8, store: storeAddr})
}

func (la *lab) startEntry(pr *proc) *proc {
	if pr.region == "" {
		pr.region, pr.zone = "lagos", "lagos-ik"
	}
	pr.callers, pr.ready, pr.inner, pr.metrics = la.freeAddr(), la.freeAddr(), la.freeAddr(), la.freeAddr()
	pr.settings = filepath.Join(la.dir, pr.name+".toml")
	if err := os.WriteFile(pr.settings, []byte(pr.text(true)), 0o600); err != nil {
		la.fail("settings: %v", err)
	}
	pr.args = []string{"node-entry", "--settings", pr.settings}
	la.procs = append(la.procs, pr)
	la.start(pr)
	return pr
}

// guard starts a guard beside an engine.
func (la *lab) guard(name, engine, service string) *proc {
	pr := &proc{name: name, settings: filepath.Join(la.dir, name+".toml")}
	text := fmt.Sprintf(`name = "%s"
[place]
region = "lagos"
failure-domain = "lagos-ik"
[listen]
metrics = "%s"
[store]
address = "%s"
[instance]
memory = "216MiB"
cores = 0.32
descriptors = 4096
[engine]
address = "%s"
service = "%s"
[timing]
grace = "8.0s"
`, name, la.freeAddr(), la.storeAddr, engine, service)
	if err := os.WriteFile(pr.settings, []byte(text), 0o600); err != nil {
		la.fail("settings: %v", err)
	}
	pr.args = []string{"node-guard", "--settings", pr.settings}
	la.procs = append(la.procs, pr)
	la.start(pr)
	return pr
}

func (la *lab) start(pr *proc) {
	out, err := os.OpenFile(filepath.Join(la.dir, pr.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		la.fail("log: %v", err)
	}
	pr.cmd = exec.Command(la.binary, pr.args...)
	pr.cmd.Stdout, pr.cmd.Stderr = out, out
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := pr.cmd.Start(); err != nil {
		la.fail("start %s: %v", pr.name, err)
	}
	pr.done = make(chan struct{})
	la.log("%s started", pr.name)
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		_ = out.Close()
		la.log("%s ended: %v", pr.name, err)
		close(done)
	}(pr.cmd, pr.done)
}

// kill ends a process that this run started.
func (la *lab) kill(pr *proc) {
	_ = pr.cmd.Process.Signal(syscall.SIGCONT)
	_ = pr.cmd.Process.Kill()
	<-pr.done
}

// awaitReady waits until the entries are ready.
func (la *lab) awaitReady(entries ...*proc) {
	deadline := time.Now().Add(15 * time.Second)
	for _, pr := range entries {
		for {
			res, err := http.Get("http://" + pr.ready + "/bilberryshelf/ready")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				la.fail("%s is not ready", pr.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	la.log("all entries are ready")
}

func main() {
	if len(os.Args) != 2 {
		cannotRun("usage: standin4 CASE")
	}
	play, known := cases[os.Args[1]]
	if !known {
		cannotRun("unknown case %s", os.Args[1])
	}
	la := newLab()
	la.log("trouble: %v", la.trouble)
	play(la)
	la.finish()
}
