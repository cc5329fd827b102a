package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The limits of the store, as the platform's pages give them.
const (
	txTime       = 5 * time.Millisecond
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

type rowID struct{ Table, Part, Key string }

type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func (ro row) id() rowID { return rowID{ro.Table, ro.Part, ro.Key} }

type tx struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

// store is a stand-in of the platform's metadata store. Its answers are linearizable.
type store struct {
	mutex   sync.Mutex
	rows    map[rowID]row
	history []row
	version uint64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	started time.Time
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, started: time.Now()}
}

func (st *store) part(name string) *sync.Mutex {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if st.parts[name] == nil {
		st.parts[name] = &sync.Mutex{}
	}
	return st.parts[name]
}

// apply carries a transaction out and returns its status.
func (st *store) apply(tr tx) (int, uint64, []row) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	var current []row
	conflict := false
	for _, ex := range tr.Expected {
		have, found := st.rows[ex.id()]
		var version uint64
		if found {
			version = *have.Ver
			current = append(current, have)
		}
		conflict = conflict || version != *ex.Ver
	}
	if conflict {
		return http.StatusPreconditionFailed, st.version, current
	}
	st.version++
	version := st.version
	for _, pu := range tr.Puts {
		pu.Ver = &version
		st.rows[pu.id()] = pu
		st.history = append(st.history, pu)
	}
	for _, re := range tr.Remove {
		if _, found := st.rows[re.id()]; found {
			delete(st.rows, re.id())
			st.history = append(st.history, row{Table: re.Table, Part: re.Part, Key: re.Key, Ver: &version, Tombstone: true})
		}
	}
	close(st.changed)
	st.changed = make(chan struct{})
	return http.StatusOK, version, nil
}

// put writes a row as the operator, a trainer or a worker does.
func (st *store) put(table, key, value string) {
	st.apply(tx{Puts: []row{{Table: table, Key: key, Value: []byte(value)}}})
}

func (st *store) remove(table, key string) {
	st.apply(tx{Remove: []row{{Table: table, Key: key}}})
}

func (st *store) page(out http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]any{
		"rows": rows, "has_more": more, "ver": version, "now_ms": float64(time.Since(st.started).Microseconds()) / 1000,
	})
}

// ServeHTTP serves the calls of the store.
func (st *store) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/bilberryshelf/rows-tx":
		st.tx(out, req)
	case "/bilberryshelf/rows-get":
		st.get(out, req)
	case "/bilberryshelf/rows-feed":
		st.feed(out, req)
	default:
		http.Error(out, "no such call", http.StatusNotFound)
	}
}

func (st *store) tx(out http.ResponseWriter, req *http.Request) {
	var tr tx
	if err := json.NewDecoder(http.MaxBytesReader(nil, req.Body, maxTxBytes)).Decode(&tr); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	if len(tr.Expected)+len(tr.Puts)+len(tr.Remove) > maxTxEntries {
		http.Error(out, "too many entries", http.StatusBadRequest)
		return
	}
	part := ""
	for _, ro := range append(append(append([]row{}, tr.Expected...), tr.Puts...), tr.Remove...) {
		part = ro.Part
		if ro.Table == "op" || ro.Table == "servers" {
			http.Error(out, "read only", http.StatusForbidden)
			return
		}
	}
	lock := st.part(part)
	lock.Lock()
	time.Sleep(txTime)
	status, version, current := st.apply(tr)
	lock.Unlock()
	st.page(out, status, current, false, version)
}

func (st *store) get(out http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	time.Sleep(4 * time.Millisecond)
	st.mutex.Lock()
	var rows []row
	for id, ro := range st.rows {
		if id.Table == query.Get("table") && id.Part == query.Get("part") && id.Key >= query.Get("from") && (query.Get("to") == "" || id.Key < query.Get("to")) {
			rows = append(rows, ro)
		}
	}
	version := st.version
	st.mutex.Unlock()
	sort.Slice(rows, func(lhs, rhs int) bool { return rows[lhs].Key < rows[rhs].Key })
	more, size := false, 0
	for at, ro := range rows {
		if size += len(ro.Value); at == limit || size > maxPageBytes {
			rows, more = rows[:at], true
			break
		}
	}
	st.page(out, http.StatusOK, rows, more, version)
}

func (st *store) feed(out http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mutex.Lock()
		var rows []row
		at := sort.Search(len(st.history), func(at int) bool { return *st.history[at].Ver > after })
		for _, ro := range st.history[at:] {
			if ro.Table == query.Get("table") {
				rows = append(rows, ro)
			}
		}
		version, changed := st.version, st.changed
		st.mutex.Unlock()
		if len(rows) > 0 {
			st.page(out, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			st.page(out, http.StatusOK, nil, false, version)
			return
		case <-req.Context().Done():
			return
		}
	}
}
