package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The limits of the platform's store, from its page and the settings of a small site.
const (
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	maxRowBytes  = 65536
	maxKeyBytes  = 200
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	historySpan  = 20 * time.Second
	txTime       = 5 * time.Millisecond
	readTime     = 4 * time.Millisecond
)

type rowID struct{ Table, Part, Key string }

type wireRow struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func (ro wireRow) id() rowID { return rowID{ro.Table, ro.Part, ro.Key} }

type storedRow struct {
	value []byte
	ver   uint64
}

type change struct {
	id      rowID
	row     storedRow
	deleted bool
	at      time.Time
}

type txBody struct {
	Expected []wireRow `json:"expected"`
	Puts     []wireRow `json:"puts"`
	Remove   []wireRow `json:"remove"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mutex     sync.Mutex
	rows      map[rowID]storedRow
	history   []change
	forgotten uint64
	ver       uint64
	changed   chan struct{}
	parts     map[string]*sync.Mutex
	began     time.Time
	// beforeTx may take over a transaction: it returns true if the call gets no answer. It
	// runs before the transaction is applied and may apply others.
	beforeTx func(tx txBody) (unanswered bool)
}

func newStore() *store {
	return &store{rows: map[rowID]storedRow{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, began: time.Now()}
}

var errExpected = errors.New("a row has another version")

func (st *store) apply(tx txBody) (uint64, error) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	for _, ex := range tx.Expected {
		if ex.Ver == nil || st.rows[ex.id()].ver != *ex.Ver {
			return 0, errExpected
		}
	}
	st.ver++
	now := time.Now()
	for _, pu := range tx.Puts {
		row := storedRow{append([]byte(nil), pu.Value...), st.ver}
		st.rows[pu.id()] = row
		st.history = append(st.history, change{pu.id(), row, false, now})
	}
	for _, re := range tx.Remove {
		if _, found := st.rows[re.id()]; found {
			delete(st.rows, re.id())
			st.history = append(st.history, change{re.id(), storedRow{nil, st.ver}, true, now})
		}
	}
	for len(st.history) > 0 && now.Sub(st.history[0].at) > historySpan {
		st.forgotten = st.history[0].row.ver
		st.history = st.history[1:]
	}
	close(st.changed)
	st.changed = make(chan struct{})
	return st.ver, nil
}

// put and drop are the writes of the operator and of the workers' registry.
func (st *store) put(table, key string, value []byte) {
	_, _ = st.apply(txBody{Puts: []wireRow{{Table: table, Key: key, Value: value}}})
}

func (st *store) drop(table, key string) {
	_, _ = st.apply(txBody{Remove: []wireRow{{Table: table, Key: key}}})
}

func (st *store) part(name string) *sync.Mutex {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if st.parts[name] == nil {
		st.parts[name] = &sync.Mutex{}
	}
	return st.parts[name]
}

func (st *store) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	switch req.Method + " " + req.URL.Path {
	case "POST /bilberryshelf/rows-tx":
		st.serveTx(out, req)
	case "GET /bilberryshelf/rows-get":
		time.Sleep(readTime)
		st.serveGet(out, req)
	case "GET /bilberryshelf/rows-feed":
		st.serveFeed(out, req)
	default:
		http.NotFound(out, req)
	}
}

func (st *store) serveTx(out http.ResponseWriter, req *http.Request) {
	var tx txBody
	if err := json.NewDecoder(http.MaxBytesReader(out, req.Body, maxTxBytes)).Decode(&tx); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	all := append(append(append([]wireRow(nil), tx.Expected...), tx.Puts...), tx.Remove...)
	if len(all) == 0 || len(all) > maxTxEntries {
		http.Error(out, "number of entries", http.StatusBadRequest)
		return
	}
	for _, ro := range all {
		if ro.Part != all[0].Part || len(ro.Value) > maxRowBytes || len(ro.Key) > maxKeyBytes || len(ro.Part) > maxKeyBytes {
			http.Error(out, "several parts, or a row or key that is too long", http.StatusBadRequest)
			return
		}
	}
	for _, ro := range append(append([]wireRow(nil), tx.Puts...), tx.Remove...) {
		if ro.Table == "op" || ro.Table == "servers" {
			http.Error(out, "read only", http.StatusForbidden)
			return
		}
	}
	part := st.part(all[0].Part)
	part.Lock()
	time.Sleep(txTime)
	if st.beforeTx != nil && st.beforeTx(tx) {
		part.Unlock()
		panic(http.ErrAbortHandler) // the answer is lost
	}
	ver, err := st.apply(tx)
	part.Unlock()
	if err == nil {
		st.answer(out, http.StatusOK, ver, nil, false)
		return
	}
	st.mutex.Lock()
	var rows []wireRow
	for _, ex := range tx.Expected {
		if row, found := st.rows[ex.id()]; found {
			version := row.ver
			rows = append(rows, wireRow{Table: ex.Table, Part: ex.Part, Key: ex.Key, Value: row.value, Ver: &version})
		}
	}
	now := st.ver
	st.mutex.Unlock()
	st.answer(out, http.StatusPreconditionFailed, now, rows, false)
}

func (st *store) answer(out http.ResponseWriter, status int, ver uint64, rows []wireRow, more bool) {
	if rows == nil {
		rows = []wireRow{}
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]any{
		"rows": rows, "has_more": more, "ver": ver, "now_ms": float64(time.Since(st.began).Microseconds()) / 1000,
	})
}

func (st *store) serveGet(out http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	st.mutex.Lock()
	var ids []rowID
	for id := range st.rows {
		if id.Table == query.Get("table") && id.Part == query.Get("part") && id.Key >= query.Get("from") && (query.Get("to") == "" || id.Key < query.Get("to")) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(lhs, rhs int) bool { return ids[lhs].Key < ids[rhs].Key })
	var rows []wireRow
	bytes, more := 0, false
	for _, id := range ids {
		row := st.rows[id]
		if len(rows) >= limit || (len(rows) > 0 && bytes+len(row.value) > maxPageBytes) {
			more = true
			break
		}
		bytes += len(row.value)
		version := row.ver
		rows = append(rows, wireRow{Table: id.Table, Part: id.Part, Key: id.Key, Value: row.value, Ver: &version})
	}
	ver := st.ver
	st.mutex.Unlock()
	st.answer(out, http.StatusOK, ver, rows, more)
}

func (st *store) serveFeed(out http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		st.mutex.Lock()
		if after < st.forgotten {
			st.mutex.Unlock()
			out.WriteHeader(http.StatusGone)
			return
		}
		var rows []wireRow
		for _, ch := range st.history {
			if ch.id.Table == query.Get("table") && ch.row.ver > after {
				version := ch.row.ver
				rows = append(rows, wireRow{Table: ch.id.Table, Part: ch.id.Part, Key: ch.id.Key, Value: ch.row.value, Ver: &version, Tombstone: ch.deleted})
			}
		}
		ver, changed := st.ver, st.changed
		st.mutex.Unlock()
		if len(rows) > 0 {
			time.Sleep(readTime)
			st.answer(out, http.StatusOK, ver, rows, false)
			return
		}
		select {
		case <-changed:
		case <-timer:
			st.answer(out, http.StatusOK, ver, nil, false)
			return
		case <-req.Context().Done():
			return
		}
	}
}
