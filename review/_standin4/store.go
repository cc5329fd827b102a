package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowID identifies a row of the store.
type rowID struct{ table, part, key string }

// wireRow is a row on the wire.
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
	gone  bool
}

// store is a stand-in of the platform's metadata store. It serves the calls on rows as the
// users' page describes them: transactions are atomic, versions come from one counter, reads
// are consistent, and a call takes some milliseconds.
type store struct {
	mutex   sync.Mutex
	rows    map[rowID]storedRow
	ver     uint64
	changed chan struct{}
	started time.Time
	// delay is the time of an answer.
	delay time.Duration
}

func newStore() *store {
	return &store{rows: map[rowID]storedRow{}, changed: make(chan struct{}), started: time.Now(), delay: 4 * time.Millisecond}
}

const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

func (st *store) nowMS() float64 { return float64(time.Since(st.started).Microseconds()) / 1000 }

// put writes a row as the operator or a worker does.
func (st *store) put(table, key string, value any) {
	raw, isBytes := value.([]byte)
	if !isBytes {
		raw, _ = json.Marshal(value)
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.ver++
	st.rows[rowID{table, "", key}] = storedRow{value: raw, ver: st.ver}
	st.wake()
}

func (st *store) remove(table, key string) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if ro, found := st.rows[rowID{table, "", key}]; !found || ro.gone {
		return
	}
	st.ver++
	st.rows[rowID{table, "", key}] = storedRow{ver: st.ver, gone: true}
	st.wake()
}

func (st *store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	time.Sleep(st.delay)
	switch req.Method + " " + req.URL.Path {
	case "POST /bilberryshelf/rows-tx":
		st.transact(out, req)
	case "GET /bilberryshelf/rows-get":
		st.get(out, req)
	case "GET /bilberryshelf/rows-feed":
		st.feed(out, req)
	case "GET /bilberryshelf/rows-parts":
		st.parts(out, req)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (st *store) transact(out http.ResponseWriter, req *http.Request) {
	var body struct {
		Expected []wireRow `json:"expected"`
		Puts     []wireRow `json:"puts"`
		Remove   []wireRow `json:"remove"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, ro := range append(append([]wireRow{}, body.Puts...), body.Remove...) {
		if ro.Table == "op" || ro.Table == "servers" {
			out.WriteHeader(http.StatusForbidden)
			return
		}
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	current, conflict := []wireRow{}, false
	for _, ro := range body.Expected {
		have := st.rows[ro.id()]
		ver := have.ver
		if have.gone {
			ver = 0
		}
		conflict = conflict || ro.Ver == nil || *ro.Ver != ver
		if ver > 0 {
			current = append(current, st.wire(ro.id(), have))
		}
	}
	if conflict {
		st.reply(out, http.StatusPreconditionFailed, current, false, st.ver)
		return
	}
	st.ver++
	for _, ro := range body.Puts {
		st.rows[ro.id()] = storedRow{value: ro.Value, ver: st.ver}
	}
	for _, ro := range body.Remove {
		if have, found := st.rows[ro.id()]; found && !have.gone {
			st.rows[ro.id()] = storedRow{ver: st.ver, gone: true}
		}
	}
	st.wake()
	st.reply(out, http.StatusOK, nil, false, st.ver)
}

func (*store) wire(id rowID, ro storedRow) wireRow {
	ver := ro.ver
	return wireRow{Table: id.table, Part: id.part, Key: id.key, Value: ro.value, Ver: &ver, Tombstone: ro.gone}
}

func (st *store) reply(out http.ResponseWriter, status int, rows []wireRow, more bool, ver uint64) {
	if rows == nil {
		rows = []wireRow{}
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]any{"rows": rows, "has_more": more, "ver": ver, "now_ms": st.nowMS()})
}

func (st *store) get(out http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	most, _ := strconv.Atoi(query.Get("limit"))
	if most <= 0 || most > maxPageRows {
		most = maxPageRows
	}
	st.mutex.Lock()
	var found []wireRow
	for id, ro := range st.rows {
		if !ro.gone && id.table == query.Get("table") && id.part == query.Get("part") && id.key >= query.Get("from") &&
			(query.Get("to") == "" || id.key < query.Get("to")) {
			found = append(found, st.wire(id, ro))
		}
	}
	ver := st.ver
	st.mutex.Unlock()
	sort.Slice(found, func(lhs, rhs int) bool { return found[lhs].Key < found[rhs].Key })
	size, count := 0, 0
	for count < len(found) && count < most {
		if size += len(found[count].Value) * 4 / 3; size > maxPageBytes && count > 0 {
			break
		}
		count++
	}
	st.reply(out, http.StatusOK, found[:count], count < len(found), ver)
}

func (st *store) feed(out http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		st.mutex.Lock()
		var found []wireRow
		for id, ro := range st.rows {
			if id.table == query.Get("table") && ro.ver > after {
				found = append(found, st.wire(id, ro))
			}
		}
		ver, changed := st.ver, st.changed
		st.mutex.Unlock()
		if len(found) > 0 {
			sort.Slice(found, func(lhs, rhs int) bool { return *found[lhs].Ver < *found[rhs].Ver })
			st.reply(out, http.StatusOK, found, false, ver)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			st.reply(out, http.StatusOK, nil, false, ver)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (st *store) parts(out http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	st.mutex.Lock()
	defer st.mutex.Unlock()
	seen := map[string]bool{}
	parts := []string{}
	for id, ro := range st.rows {
		if !ro.gone && id.table == query.Get("table") && id.part > query.Get("after") && !seen[id.part] {
			seen[id.part] = true
			parts = append(parts, id.part)
		}
	}
	sort.Strings(parts)
	_ = json.NewEncoder(out).Encode(map[string]any{"parts": parts, "has_more": false, "ver": st.ver, "now_ms": st.nowMS()})
}
