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

// Platform is a fake of the table service (a subset of the DynamoDB protocol), the
// object store (a subset of the S3 protocol), the instance list (HTTP service
// discovery JSON) and the weight store.
type Platform struct {
	faultState
	// WeightLoads limits the rate of reads from the weight store; nil means no limit.
	WeightLoads *rate.Limiter

	mutex             sync.Mutex
	rows              map[string]store.Row
	objects           map[string][]byte
	instances         []store.Instance
	previousInstances []store.Instance
	listChangedAt     time.Time
	reads             int
	writes            int
}

// Handler clears the tables and objects and returns the HTTP API: POST / is the
// table service, /objects/ the object store, /instances the instance list and
// /weights/ the weight store.
func (pl *Platform) Handler() http.Handler {
	pl.rows, pl.objects = map[string]store.Row{}, map[string][]byte{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", pl.serveTable)
	mux.HandleFunc("GET /objects/{bucket}/{key...}", pl.serveObjectRead)
	mux.HandleFunc("PUT /objects/{bucket}/{key...}", pl.serveObjectWrite)
	mux.HandleFunc("GET /instances", pl.serveInstances)
	mux.HandleFunc("POST /instances", pl.updateInstances)
	mux.HandleFunc("GET /weights/{key...}", pl.serveWeights)
	mux.HandleFunc("GET /counts", func(out http.ResponseWriter, _ *http.Request) {
		reads, writes := pl.Counts()
		_ = json.NewEncoder(out).Encode(map[string]int{"reads": reads, "writes": writes})
	})
	mux.HandleFunc("POST /fault", pl.serveFault)
	return mux
}

// Counts returns the numbers of reads and writes of the table service and the
// object store.
func (pl *Platform) Counts() (reads, writes int) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	return pl.reads, pl.writes
}

// SetInstances replaces the instance list. Until LagMS has passed, the previous
// list is served.
func (pl *Platform) SetInstances(instances []store.Instance) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.previousInstances, pl.instances, pl.listChangedAt = pl.instances, instances, time.Now()
}

type attribute struct {
	S string `json:"S"`
}

type putItem struct {
	Item                      map[string]attribute `json:"Item"`
	ConditionExpression       string               `json:"ConditionExpression"`
	ExpressionAttributeNames  map[string]string    `json:"ExpressionAttributeNames"`
	ExpressionAttributeValues map[string]attribute `json:"ExpressionAttributeValues"`
}

type tableRequest struct {
	Key           map[string]attribute `json:"Key"`
	TransactItems []struct {
		Put putItem `json:"Put"`
	} `json:"TransactItems"`
}

const keyAttribute = "key"

func (pl *Platform) serveTable(out http.ResponseWriter, req *http.Request) {
	if !pl.admit(req) {
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
	for name, value := range row {
		item[name] = attribute{S: value}
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
		if !pl.conditionHolds(it.Put) {
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
		for name, value := range it.Put.Item {
			if name != keyAttribute {
				row[name] = value.S
			}
		}
		pl.rows[it.Put.Item[keyAttribute].S] = row
	}
	pl.writes++
	if pl.consume(func(fa *Faults) *int { return &fa.LoseAnswers }) {
		abortResponse()
	}
	_, _ = out.Write([]byte("{}"))
}

// conditionHolds evaluates the two condition expressions that package store sends.
func (pl *Platform) conditionHolds(pu putItem) bool {
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

func (pl *Platform) serveObjectRead(out http.ResponseWriter, req *http.Request) {
	if !pl.admit(req) {
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

func (pl *Platform) serveObjectWrite(out http.ResponseWriter, req *http.Request) {
	if !pl.admit(req) {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		abortResponse()
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.objects[req.PathValue("key")] = raw
	pl.writes++
}

// serveWeights returns weights, or status 429 above the rate limit.
func (pl *Platform) serveWeights(out http.ResponseWriter, _ *http.Request) {
	if pl.WeightLoads != nil && !pl.WeightLoads.Allow() {
		http.Error(out, "slow down", http.StatusTooManyRequests)
		return
	}
	_, _ = out.Write([]byte("weights"))
}

// instanceGroup is a target group in the HTTP service discovery format.
type instanceGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

func (pl *Platform) serveInstances(out http.ResponseWriter, req *http.Request) {
	if !pl.admit(req) {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	pl.mutex.Lock()
	shown := pl.instances
	if time.Since(pl.listChangedAt) < time.Duration(pl.current().LagMS)*time.Millisecond {
		shown = pl.previousInstances
	}
	pl.mutex.Unlock()
	groups := make([]instanceGroup, 0, len(shown))
	for _, in := range shown {
		groups = append(groups, instanceGroup{Targets: []string{in.Addr}, Labels: map[string]string{
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

// updateInstances adds or replaces instances, given in the format of the list.
func (pl *Platform) updateInstances(out http.ResponseWriter, req *http.Request) {
	var groups []instanceGroup
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
		labels := gr.Labels
		byName[labels["name"]] = store.Instance{
			Name: labels["name"], Role: labels["role"], Service: labels["service"], Region: labels["region"],
			Domain: labels["failure-domain"], State: core.State(labels["state"]), Addr: gr.Targets[0],
		}
	}
	names := slices.Sorted(maps.Keys(byName))
	instances := make([]store.Instance, 0, len(names))
	for _, name := range names {
		instances = append(instances, byName[name])
	}
	pl.SetInstances(instances)
}
