package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's metadata store, as on the wire.
type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (ro row) id() rowID { return rowID{ro.Table, ro.Part, ro.Key} }

// store is a stand-in for the platform's metadata store. It loses nothing that it has
// acknowledged, and its responses are linearizable.
type store struct {
	mutex   sync.Mutex
	rows    map[rowID]row
	log     []row
	version uint64
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), began: time.Now()}
}

const (
	// txTime and readTime are what a call takes, maxRows what a page holds.
	txTime   = 5 * time.Millisecond
	readTime = 4 * time.Millisecond
	maxRows  = 500
	maxBytes = 1 << 20
)

func (st *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bilberryshelf/rows-tx", st.tx)
	mux.HandleFunc("GET /bilberryshelf/rows-get", st.get)
	mux.HandleFunc("GET /bilberryshelf/rows-feed", st.feed)
	return mux
}

func (st *store) reply(out http.ResponseWriter, status int, fields map[string]any) {
	fields["now_ms"] = time.Since(st.began).Milliseconds()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(fields)
}

func (st *store) tx(out http.ResponseWriter, req *http.Request) {
	var body struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	st.mutex.Lock()
	defer st.mutex.Unlock()
	for _, ex := range body.Expected {
		have := uint64(0)
		if ro, found := st.rows[ex.id()]; found {
			have = *ro.Ver
		}
		if ex.Ver == nil || have != *ex.Ver {
			st.reply(out, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "ver": st.version})
			return
		}
	}
	st.apply(body.Puts, body.Remove)
	st.reply(out, http.StatusOK, map[string]any{"ver": st.version})
}

// apply writes rows in one transaction. The caller holds the mutex.
func (st *store) apply(puts, remove []row) {
	st.version++
	version := st.version
	for _, ro := range puts {
		ro.Ver, ro.Tombstone = &version, false
		st.rows[ro.id()] = ro
		st.log = append(st.log, ro)
	}
	for _, ro := range remove {
		if _, found := st.rows[ro.id()]; found {
			delete(st.rows, ro.id())
			st.log = append(st.log, row{Table: ro.Table, Part: ro.Part, Key: ro.Key, Ver: &version, Tombstone: true})
		}
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// put writes a row as the operator or a worker does.
func (st *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.apply([]row{{Table: table, Key: key, Value: raw}}, nil)
}

func (st *store) get(out http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, to := query.Get("from"), query.Get("to")
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	time.Sleep(readTime)
	st.mutex.Lock()
	defer st.mutex.Unlock()
	rows := []row{}
	for id, ro := range st.rows {
		if id.table == query.Get("table") && id.part == query.Get("part") && id.key >= from && (to == "" || id.key < to) {
			rows = append(rows, ro)
		}
	}
	sort.Slice(rows, func(lhs, rhs int) bool { return rows[lhs].Key < rows[rhs].Key })
	count, size := 0, 0
	for count < len(rows) && count < limit && (count == 0 || size+len(rows[count].Value) <= maxBytes) {
		size += len(rows[count].Value)
		count++
	}
	st.reply(out, http.StatusOK, map[string]any{"rows": rows[:count], "has_more": count < len(rows), "ver": st.version})
}

func (st *store) feed(out http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mutex.Lock()
		rows := []row{}
		for at := len(st.log) - 1; at >= 0 && *st.log[at].Ver > after; at-- {
			if st.log[at].Table == query.Get("table") {
				rows = append(rows, st.log[at])
			}
		}
		version, changed := st.version, st.changed
		st.mutex.Unlock()
		if len(rows) > 0 {
			for lhs, rhs := 0, len(rows)-1; lhs < rhs; lhs, rhs = lhs+1, rhs-1 {
				rows[lhs], rows[rhs] = rows[rhs], rows[lhs]
			}
			st.reply(out, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			st.reply(out, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		case <-req.Context().Done():
			return
		}
	}
}
