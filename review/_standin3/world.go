package main

import (
	"bytes"
	"encoding/json"
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

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		cleanUp()
		os.Exit(2)
	}
}

// world holds the stand-ins and the processes of a case.
type world struct {
	dir    string
	record io.Writer
	began  time.Time
	store  *store

	mutex   sync.Mutex
	stamps  int
	runs    map[string][]string
	at      map[string]map[string]int
	lastAt  map[string]time.Time
	done    map[string]bool
	workers []*worker
	entries []*entry
}

var theWorld *world

func newWorld(record io.Writer) *world {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	theWorld = &world{
		dir: dir, record: record, began: time.Now(), store: newStore(), runs: map[string][]string{}, at: map[string]map[string]int{},
		lastAt: map[string]time.Time{}, done: map[string]bool{},
	}
	return theWorld
}

// cleanUp ends all processes that the case started.
func cleanUp() {
	if theWorld == nil {
		return
	}
	for _, en := range theWorld.entries {
		en.kill()
	}
	_ = os.RemoveAll(theWorld.dir)
}

func (wo *world) log(format string, values ...any) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	fmt.Fprintf(wo.record, "%7.3f %s\n", time.Since(wo.began).Seconds(), fmt.Sprintf(format, values...))
}

func (wo *world) stamp() string {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	wo.stamps++
	return fmt.Sprintf("s%d", wo.stamps)
}

// ran records that a plain request ran.
func (wo *world) ran(id, worker, stamp string) {
	wo.log("worker=%s request=%s ran stamp=%s", worker, id, stamp)
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	wo.runs[id] = append(wo.runs[id], worker)
}

func (wo *world) itemAt(id, worker string) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	if wo.at[id] == nil {
		wo.at[id] = map[string]int{}
	}
	wo.at[id][worker]++
}

func (wo *world) itemLeft(id, worker string) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	wo.at[id][worker]--
	wo.lastAt[id] = time.Now()
}

func (wo *world) itemFinished(id string) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	wo.done[id] = true
}

// absentSince returns since when an item has been at no worker; present is set if it is at one
// now, begun if it ever was.
func (wo *world) absentSince(id string) (since time.Time, present, begun bool) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	for _, count := range wo.at[id] {
		if count > 0 {
			return time.Time{}, true, true
		}
	}
	return wo.lastAt[id], false, wo.at[id] != nil
}

func (wo *world) finished(id string) bool {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return wo.done[id]
}

// serve starts an HTTP server on a free loopback port and returns its address.
func serve(handler http.Handler) string {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(li, handler) }()
	return li.Addr().String()
}

func freeAddr() string {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer li.Close()
	return li.Addr().String()
}

func (wo *world) addWorker(wr *worker) *worker {
	return wo.addWorkerBehind(wr, func(wr *worker) http.Handler { return wr })
}

// addWorkerBehind adds a worker whose requests pass through another handler.
func (wo *world) addWorkerBehind(wr *worker, front func(wr *worker) http.Handler) *worker {
	wr.world, wr.running = wo, map[string]int{}
	wr.addr = serve(front(wr))
	wr.register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			wr.register()
		}
	}()
	wo.workers = append(wo.workers, wr)
	return wr
}

// entry is a process of the role entry.
type entry struct {
	world          *world
	name, settings string
	callers, ready string
	process        *exec.Cmd
	logFile        *os.File
	exited         chan struct{}
}

// addEntry writes the settings of an entry as deploy/entry.toml.tmpl does, and starts it.
func (wo *world) addEntry(name, storeAddr, cores, memory string) *entry {
	en := &entry{world: wo, name: name, callers: freeAddr(), ready: freeAddr()}
	text := fmt.Sprintf(`name = %q

[place]
region = "r1"
failure-domain = "z1"

[listen]
callers = %q
readiness = %q
inner = %q
metrics = %q

[store]
address = %q

[instance]
memory = %q
cores = %s
descriptors = 4100

[timing]
grace = "8s"

[start]
first = true
`, name, en.callers, en.ready, freeAddr(), freeAddr(), storeAddr, memory, cores)
	en.settings = filepath.Join(wo.dir, name+".toml")
	check(os.WriteFile(en.settings, []byte(text), 0o600))
	logFile, err := os.Create(filepath.Join(wo.dir, name+".log"))
	check(err)
	en.logFile = logFile
	wo.entries = append(wo.entries, en)
	en.start()
	return en
}

func (en *entry) start() {
	en.process = exec.Command("target/bilberryshelf", "node-entry", "--settings", en.settings)
	en.process.Stdout, en.process.Stderr = en.logFile, en.logFile
	check(en.process.Start())
	exited := make(chan struct{})
	en.exited = exited
	process := en.process
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	en.world.log("entry=%s started", en.name)
}

func (en *entry) kill() {
	_ = en.process.Process.Signal(syscall.SIGKILL)
	<-en.exited
}

// waitReady waits until all entries are ready and know each other.
func (wo *world) waitReady() {
	const limit, settling = 10 * time.Second, 5 * time.Second
	deadline := time.Now().Add(limit)
	for _, en := range wo.entries {
		for !en.isReady() {
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s is not ready", en.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settling)
}

func (en *entry) isReady() bool {
	res, err := http.Get("http://" + en.ready + "/bilberryshelf/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// submit hands a batch job in and ends the case if it is not accepted.
func (wo *world) submit(en *entry, job string, body []byte) {
	status, _ := en.call(http.MethodPost, lotPath+job[:6], host, map[string]string{
		"Bilberryshelf-Request-Id": job, "Content-Type": "application/json",
	}, body, 5*time.Second)
	wo.log("client job=%s entry=%s status=%d", job, en.name, status)
	if status != http.StatusAccepted {
		check(fmt.Errorf("the job was not accepted: %d", status))
	}
}

// call makes one call on a new connection. The status is zero if there was no response.
func (en *entry) call(method, path, host string, header map[string]string, body []byte, limit time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+en.callers+path, bytes.NewReader(body))
	check(err)
	req.Host, req.Close = host, true
	for name, value := range header {
		req.Header.Set(name, value)
	}
	cl := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := cl.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, raw
}

// listing is a response to a read of a job's results.
type listing struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID       string `json:"id"`
		State    string `json:"state"`
		Text     string `json:"text"`
		Versions []int  `json:"versions"`
		Score    string `json:"score"`
	} `json:"results"`
}

func (en *entry) results(job, host string, after int) (int, listing) {
	status, raw := en.call(http.MethodGet, fmt.Sprintf("/bilberryshelf/lots/%s?after=%d", job, after), host,
		map[string]string{"Bilberryshelf-Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
	var li listing
	if status == http.StatusOK {
		check(json.Unmarshal(raw, &li))
	}
	return status, li
}
