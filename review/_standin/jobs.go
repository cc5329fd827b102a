package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The routes and services of the deployment.
const (
	host        = "ficu95.example"
	trainPath   = "/pule252/"
	scorePath   = "/pufi791/"
	oncePath    = "/lohu930/"
	engines     = "huvo11a"
	desk        = "wuno96b"
	model       = "daka510000"
	maxBodyByte = 33554432
)

// configure writes the configuration as the operator does.
func (cl *cluster) configure(onceKind string, deadline, itemTTL time.Duration, slots int) {
	cl.store.put("op", "config", fmt.Appendf(nil, `{"version":7,"routes":[
{"name":"r-a3hwrr6","host":%[1]q,"path_prefix":%[2]q,"kind":%[3]q,"timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":%[4]q,"max_attempts":2},
{"name":"r-x73d3zj","host":%[1]q,"path_prefix":%[5]q,"kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":%[4]q,"max_attempts":4},
{"name":"r-t5mzq1c","host":%[1]q,"path_prefix":%[6]q,"kind":"rollout","target_latency_ms":400,"deadline_ms":%[7]d,"item_ttl_s":%[8]g,"priority":1,"service":%[9]q,"max_attempts":3}],
"services":[{"name":%[9]q,"health_path":"/health","max_conns":150,"protocol":"h1","tls":false,"engine":{"slots":%[10]d,"kv_capacity":78763,"kv_token_bytes":131072,"models":[{"name":%[11]q}]}},
{"name":%[4]q,"health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":%[12]d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		host, oncePath, onceKind, desk, scorePath, trainPath, deadline.Milliseconds(), itemTTL.Seconds(), engines, slots, model, maxBodyByte))
}

type scorerJSON struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

type itemJSON struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
	Scorer  *scorerJSON       `json:"scorer_url"`
}

type jobJSON struct {
	Step         int        `json:"step"`
	Model        string     `json:"model"`
	MinVersion   int        `json:"min_version"`
	TargetGroups int        `json:"target_groups"`
	Requests     []itemJSON `json:"requests"`
}

func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func randomBytes(count int) []byte {
	raw := make([]byte, count)
	for at := range raw {
		raw[at] = byte(rand.Uint32())
	}
	return raw
}

// newJob returns a batch job of a trainer with groups of four items. parts is the number of
// parts of a prompt.
func newJob(count, bodyBytes, parts int) jobJSON {
	jo := jobJSON{Step: 0, Model: model, MinVersion: 1, TargetGroups: count / 4 * 9 / 10}
	var group, prefix string
	for at := range count {
		if at%4 == 0 {
			group = "g" + randomID()[:6]
			var shared []string
			for range max(parts-1, 1) {
				shared = append(shared, fmt.Sprintf("%s:%d", randomID()[:8], 10+rand.IntN(80)))
			}
			prefix = strings.Join(shared, ",")
		}
		id := randomID()
		jo.Requests = append(jo.Requests, itemJSON{
			ID: id, Path: trainPath + strconv.Itoa(at) + "/" + id[:4], Body: randomBytes(bodyBytes), Tokens: 1500, Group: group,
			Headers: map[string]string{
				"Bilberryshelf-Model": model, "Bilberryshelf-Token-Count": "1016,484", "Bilberryshelf-Length-Hint": strconv.Itoa(100 + rand.IntN(300)),
				"Bilberryshelf-Prompt-Prefix": prefix + "," + id[:8] + ":16",
			},
			Scorer: &scorerJSON{ID: randomID(), Host: host, Path: scorePath + id[:4], Body: randomBytes(bodyBytes)},
		})
	}
	return jo
}

// client makes calls of a trainer, each on a connection of its own.
var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call and records it. The status is zero without an answer.
func (cl *cluster) call(en *entrySpec, method, path, id string, body []byte, wait time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+en.callers+path, bytes.NewReader(body))
	must(err)
	req.Host = host
	if id != "" {
		req.Header.Set("Bilberryshelf-Request-Id", id)
	}
	if wait > 0 {
		req.Header.Set("Bilberryshelf-Wait-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	cl.note("client sends %s %s to %s, %d bytes", method, path, en.name, len(body))
	res, err := client.Do(req)
	if err != nil {
		cl.note("client has no answer to %s %s from %s: %v", method, path, en.name, err)
		return 0, nil
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		cl.note("client has no whole answer to %s %s from %s: %v", method, path, en.name, err)
		return 0, nil
	}
	shown := ""
	if res.StatusCode >= 300 {
		shown = ": " + strings.TrimSpace(string(raw[:min(len(raw), 200)]))
	}
	cl.note("client gets %d to %s %s from %s, %d bytes%s", res.StatusCode, method, path, en.name, len(raw), shown)
	return res.StatusCode, raw
}

// submit hands a job in until it is accepted, at one entry after the other.
func (cl *cluster) submit(id string, jo jobJSON, pause time.Duration) bool {
	raw, err := json.Marshal(jo)
	must(err)
	for at := range 4 {
		if status, _ := cl.call(cl.entries[at%len(cl.entries)], http.MethodPost, trainPath+id, id, raw, 0); status == http.StatusAccepted {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

type resultJSON struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
	Score string `json:"score"`
}

type listingJSON struct {
	Total   int          `json:"total"`
	Next    int          `json:"next"`
	Results []resultJSON `json:"results"`
}

// reader reads the results of a job as a trainer does.
type reader struct {
	cl     *cluster
	job    string
	listed map[string]resultJSON
	order  []string
	total  int
	// failed is the last status that was not 200.
	failed int
}

func (cl *cluster) reader(job string) *reader {
	return &reader{cl: cl, job: job, listed: map[string]resultJSON{}}
}

// poll reads once from a position at an entry.
func (re *reader) poll(en *entrySpec, wait time.Duration) bool {
	status, raw := re.cl.call(en, http.MethodGet, fmt.Sprintf("/bilberryshelf/lots/%s?after=%d", re.job, len(re.order)), "", nil, wait)
	var li listingJSON
	if status != http.StatusOK || json.Unmarshal(raw, &li) != nil {
		re.failed = status
		return false
	}
	re.failed, re.total = 0, li.Total
	for _, rs := range li.Results {
		re.listed[rs.ID] = rs
		re.order = append(re.order, rs.ID)
	}
	return true
}

// readUntil reads twice a second until all results are listed or the time has come.
func (re *reader) readUntil(entries []*entrySpec, end time.Time) bool {
	for at := 0; time.Now().Before(end); at++ {
		re.poll(entries[at%len(entries)], time.Second)
		if re.total > 0 && len(re.order) >= re.total {
			return true
		}
		time.Sleep(400 * time.Millisecond)
	}
	return false
}

// itemBody asks for the body of an item, again after each failure, at one entry after the
// other. It returns the last status.
func (cl *cluster) itemBody(entries []*entrySpec, job string, it itemJSON, patience time.Duration) (status int, same bool) {
	for at, end := 0, time.Now().Add(patience); ; at++ {
		var raw []byte
		status, raw = cl.call(entries[at%len(entries)], http.MethodGet, "/bilberryshelf/items/"+job+"?id="+it.ID, "", nil, 0)
		if status == http.StatusOK {
			return status, bytes.Equal(raw, it.Body)
		}
		if time.Now().After(end) {
			return status, false
		}
		time.Sleep(500 * time.Millisecond)
	}
}
