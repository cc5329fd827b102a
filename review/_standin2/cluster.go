// Command standin2 plays the cases 6 to 10 of the review. It starts the project's own programs
// as processes and has stand-ins of the store, the workers and the clients in its own process.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// process is a process of the project's program.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	// addr is the address of the clients, ready that of the readiness checks.
	addr, ready string
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	dir, program string
	started      time.Time
	record       *os.File
	store        *store
	storeAddr    string
	workers      []*worker
	processes    []*process
	entries      []*process
	servers      []*http.Server

	mutex sync.Mutex
}

func newCluster(program, record string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	cl := &cluster{dir: dir, program: program, started: time.Now(), record: file, store: newStore()}
	cl.storeAddr, err = cl.serve(cl.store)
	return cl, err
}

// note writes a line to the record.
func (cl *cluster) note(format string, values ...any) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	fmt.Fprintf(cl.record, "%8.3f s  %s\n", time.Since(cl.started).Seconds(), fmt.Sprintf(format, values...))
}

// serve starts a server of this process on a free port.
func (cl *cluster) serve(handler http.Handler) (string, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	se := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	cl.servers = append(cl.servers, se)
	go func() { _ = se.Serve(li) }()
	return li.Addr().String(), nil
}

const (
	// firstPort is below the ports that the system gives to connections. Each process of this
	// program uses a block of its own, so that cases can run beside each other.
	firstPort     = 10000
	portsPerBlock = 110
	blocks        = 200
)

var nextPort = firstPort + os.Getpid()%blocks*portsPerBlock

// freeAddr returns a loopback address that is not in use.
func freeAddr() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if li, err := net.Listen("tcp", addr); err == nil {
			_ = li.Close()
			return addr
		}
	}
}

// addWorker starts a worker, which writes its entry each 1.2 s as long as it changes.
func (cl *cluster) addWorker(wo *worker) error {
	addr, err := cl.serve(wo)
	if err != nil {
		return err
	}
	wo.addr, wo.server = addr, cl.servers[len(cl.servers)-1]
	cl.workers = append(cl.workers, wo)
	go func() {
		for last := ""; !wo.gone(); time.Sleep(300 * time.Millisecond) {
			if entry := wo.entry(); entry != last {
				cl.store.put("servers", wo.id, entry)
				last = entry
			}
		}
	}()
	return nil
}

const commonSettings = `name = %q
[place]
region = "r1"
failure-domain = "z1"
[store]
address = %q
[instance]
memory = "%dMiB"
cores = %g
descriptors = 8200
[timing]
grace = "8s"
`

// addEntry starts an entry with the command of the deploy file.
func (cl *cluster) addEntry(name string, cores float64, memory int, storeAddr string) (*process, error) {
	pr := &process{name: name, addr: freeAddr(), ready: freeAddr()}
	text := fmt.Sprintf(commonSettings, name, storeAddr, memory, cores) +
		fmt.Sprintf("[listen]\ncallers = %q\nreadiness = %q\ninner = %q\nmetrics = %q\n[start]\nfirst = true\n", pr.addr, pr.ready, freeAddr(), freeAddr())
	if err := cl.add(pr, "node-entry", text); err != nil {
		return nil, err
	}
	cl.entries = append(cl.entries, pr)
	return pr, nil
}

// addGuard starts the guard of a worker with the command of the deploy file.
func (cl *cluster) addGuard(name string, wo *worker) error {
	text := fmt.Sprintf(commonSettings, name, cl.storeAddr, 216, 0.32) +
		fmt.Sprintf("[listen]\nmetrics = %q\n[engine]\naddress = %q\nservice = %q\n", freeAddr(), wo.addr, wo.service)
	return cl.add(&process{name: name}, "node-guard", text)
}

func (cl *cluster) add(pr *process, command, settings string) error {
	file := filepath.Join(cl.dir, pr.name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	pr.args = []string{command, "--settings", file}
	cl.processes = append(cl.processes, pr)
	return cl.start(pr)
}

func (cl *cluster) start(pr *process) error {
	out, err := os.OpenFile(filepath.Join(cl.dir, pr.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	pr.cmd = exec.Command(cl.program, pr.args...)
	pr.cmd.Stdout, pr.cmd.Stderr = out, out
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := pr.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	pr.done = done
	go func(cmd *exec.Cmd) {
		defer close(done)
		_ = cmd.Wait()
		_ = out.Close()
	}(pr.cmd)
	return nil
}

// kill ends a process with SIGKILL and waits for its end.
func (pr *process) kill() {
	_ = pr.cmd.Process.Signal(syscall.SIGCONT)
	_ = pr.cmd.Process.Kill()
	<-pr.done
}

// awaitReady waits until all entries report ready.
func (cl *cluster) awaitReady() error {
	for _, pr := range cl.entries {
		deadline := time.Now().Add(10 * time.Second)
		for {
			res, err := http.Get("http://" + pr.ready + "/bilberryshelf/ready")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", pr.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes. With KEEP=1 the logs stay.
func (cl *cluster) stop() {
	for _, pr := range cl.processes {
		pr.kill()
	}
	for _, se := range cl.servers {
		_ = se.Close()
	}
	_ = cl.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(cl.dir)
	} else {
		fmt.Println("logs:", cl.dir)
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call sends one request on a new connection.
func call(method, addr, host, path, id string, body []byte, timeout time.Duration, header map[string]string) answer {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	if id != "" {
		req.Header.Set("Bilberryshelf-Request-Id", id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	cl := &http.Client{Transport: tr, Timeout: timeout}
	res, err := cl.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: raw, err: err}
}

func (an answer) String() string {
	if an.err != nil {
		return "no complete answer: " + an.err.Error()
	}
	if an.status/100 != 2 {
		return fmt.Sprintf("%d %.160s", an.status, bytes.TrimSpace(an.body))
	}
	return fmt.Sprint(an.status)
}
