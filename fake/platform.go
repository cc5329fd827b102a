package fake

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"bilberryshelf/core"
	"bilberryshelf/store"
)

// Platform is the table service (a part of the DynamoDB protocol), the object
// store (a part of the S3 protocol), the list of instances (the JSON of HTTP
// service discovery) and the weight store.
type Platform struct {
	switches
	// Loads bounds the reads of the weight store.
	Loads *rate.Limiter

	mutex     sync.Mutex
	rows      map[string]store.Row
	objects   map[string][]byte
	instances []store.Instance
	former    []store.Instance
	changed   time.Time
	reads     int
	writes    int
}

// Handler serves all four: POST / is the table service, /objects/ the object
// store, /instances the list, /weights/ the weight store.
func (pl *Platform) Handler() http.Handler {
	pl.rows, pl.objects = map[string]store.Row{}, map[string][]byte{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", pl.table)
	mux.HandleFunc("GET /objects/{bucket}/{key...}", pl.readObject)
	mux.HandleFunc("PUT /objects/{bucket}/{key...}", pl.writeObject)
	mux.HandleFunc("GET /instances", pl.list)
	mux.HandleFunc("POST /instances", pl.setList)
	mux.HandleFunc("GET /weights/{key...}", pl.weights)
	mux.HandleFunc("GET /counts", func(out http.ResponseWriter, _ *http.Request) {
		reads, writes := pl.Counts()
		_ = json.NewEncoder(out).Encode(map[string]int{"reads": reads, "writes": writes})
	})
	mux.HandleFunc("POST /fault", pl.serveFault)
	return mux
}

// Counts tells the reads and writes of the table service and object store.
func (pl *Platform) Counts() (reads, writes int) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	return pl.reads, pl.writes
}

// SetInstances replaces the list; with a lag the former one is shown first.
func (pl *Platform) SetInstances(instances []store.Instance) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.former, pl.instances, pl.changed = pl.instances, instances, time.Now()
}

type attribute struct {
	S string `json:"S"`
}

type tablePut struct {
	Item                      map[string]attribute `json:"Item"`
	ConditionExpression       string               `json:"ConditionExpression"`
	ExpressionAttributeNames  map[string]string    `json:"ExpressionAttributeNames"`
	ExpressionAttributeValues map[string]attribute `json:"ExpressionAttributeValues"`
}

type tableRequest struct {
	Key           map[string]attribute `json:"Key"`
	TransactItems []struct {
		Put tablePut `json:"Put"`
	} `json:"TransactItems"`
}

const keyAttribute = "key"

func (pl *Platform) table(out http.ResponseWriter, req *http.Request) {
	if !pl.hold(req) {
		http.Error(out, `{"__type":"ServiceUnavailable"}`, http.StatusServiceUnavailable)
		return
	}
	var tr tableRequest
	if err := json.NewDecoder(req.Body).Decode(&tr); err != nil {
		http.Error(out, `{"__type":"ValidationException"}`, http.StatusBadRequest)
		return
	}
	out.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_, call, _ := strings.Cut(req.Header.Get("X-Amz-Target"), ".")
	switch call {
	case "GetItem":
		pl.getItem(out, tr)
	case "TransactWriteItems":
		pl.transact(out, tr)
	default:
		http.Error(out, `{"__type":"UnknownOperationException"}`, http.StatusBadRequest)
	}
}

func (pl *Platform) getItem(out http.ResponseWriter, tr tableRequest) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.reads++
	row, found := pl.rows[tr.Key[keyAttribute].S]
	if !found {
		_, _ = out.Write([]byte("{}"))
		return
	}
	item := map[string]attribute{keyAttribute: tr.Key[keyAttribute]}
	for na, value := range row {
		item[na] = attribute{S: value}
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"Item": item})
}

func (pl *Platform) transact(out http.ResponseWriter, tr tableRequest) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	type reason struct {
		Code string `json:"Code"`
	}
	reasons, failed := make([]reason, len(tr.TransactItems)), false
	for at, it := range tr.TransactItems {
		reasons[at].Code = "None"
		if !pl.holds(it.Put) {
			reasons[at].Code, failed = "ConditionalCheckFailed", true
		}
	}
	if failed {
		out.Header().Set("X-Amzn-Errortype", "TransactionCanceledException")
		out.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(out).Encode(map[string]any{"__type": "TransactionCanceledException", "CancellationReasons": reasons})
		return
	}
	for _, it := range tr.TransactItems {
		row := store.Row{}
		for na, value := range it.Put.Item {
			if na != keyAttribute {
				row[na] = value.S
			}
		}
		pl.rows[it.Put.Item[keyAttribute].S] = row
	}
	pl.writes++
	if pl.spend(func(fa *Faults) *int { return &fa.LoseAnswers }) {
		cutOff()
	}
	_, _ = out.Write([]byte("{}"))
}

// holds checks the two forms of condition that the store package sends.
func (pl *Platform) holds(pu tablePut) bool {
	row, found := pl.rows[pu.Item[keyAttribute].S]
	switch pu.ConditionExpression {
	case "":
		return true
	case "attribute_not_exists(#k)":
		return !found
	case "#a = :v":
		return found && row[pu.ExpressionAttributeNames["#a"]] == pu.ExpressionAttributeValues[":v"].S
	}
	return false
}

func (pl *Platform) readObject(out http.ResponseWriter, req *http.Request) {
	if !pl.hold(req) {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	pl.mutex.Lock()
	pl.reads++
	raw, found := pl.objects[req.PathValue("key")]
	pl.mutex.Unlock()
	if !found {
		out.WriteHeader(http.StatusNotFound)
		_, _ = out.Write([]byte("<Error><Code>NoSuchKey</Code></Error>"))
		return
	}
	_, _ = out.Write(raw)
}

func (pl *Platform) writeObject(out http.ResponseWriter, req *http.Request) {
	if !pl.hold(req) {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		cutOff()
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.objects[req.PathValue("key")] = raw
	pl.writes++
}

// weights serves the weight store, which refuses what is above its rate.
func (pl *Platform) weights(out http.ResponseWriter, _ *http.Request) {
	if pl.Loads != nil && !pl.Loads.Allow() {
		http.Error(out, "slow down", http.StatusTooManyRequests)
		return
	}
	_, _ = out.Write([]byte("weights"))
}

// group is one element of the HTTP service discovery format.
type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

func (pl *Platform) list(out http.ResponseWriter, req *http.Request) {
	if !pl.hold(req) {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	pl.mutex.Lock()
	shown := pl.instances
	if time.Since(pl.changed) < time.Duration(pl.get().LagMS)*time.Millisecond {
		shown = pl.former
	}
	pl.mutex.Unlock()
	groups := make([]group, 0, len(shown))
	for _, in := range shown {
		groups = append(groups, group{Targets: []string{in.Addr}, Labels: map[string]string{
			"name": in.Name, "role": in.Role, "service": in.Service, "region": in.Region,
			"failure-domain": in.Domain, "state": string(in.State),
		}})
	}
	raw, _ := json.Marshal(groups)
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(raw), 36))
	out.Header().Set("ETag", tag)
	if req.Header.Get("If-None-Match") == tag {
		out.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(req.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = out.Write(raw)
		return
	}
	out.Header().Set("Content-Encoding", "gzip")
	zw := gzip.NewWriter(out)
	_, _ = zw.Write(raw)
	_ = zw.Close()
}

// setList adds or changes instances, in the format of the list.
func (pl *Platform) setList(out http.ResponseWriter, req *http.Request) {
	var groups []group
	if err := json.NewDecoder(req.Body).Decode(&groups); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	byName := map[string]store.Instance{}
	pl.mutex.Lock()
	for _, in := range pl.instances {
		byName[in.Name] = in
	}
	pl.mutex.Unlock()
	for _, gr := range groups {
		la := gr.Labels
		byName[la["name"]] = store.Instance{
			Name: la["name"], Role: la["role"], Service: la["service"], Region: la["region"],
			Domain: la["failure-domain"], State: core.State(la["state"]), Addr: gr.Targets[0],
		}
	}
	names := slices.Sorted(maps.Keys(byName))
	instances := make([]store.Instance, 0, len(names))
	for _, na := range names {
		instances = append(instances, byName[na])
	}
	pl.SetInstances(instances)
}
