package intake_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/fleet"
	"bilberryshelf/intake"
	"bilberryshelf/meter"
	"bilberryshelf/quota"
	"bilberryshelf/runs"
	"bilberryshelf/table"
	"bilberryshelf/wire"
)

const (
	operatorTable = "operator"
	targetTable   = "targets"
	eventInterval = 40 * time.Millisecond
)

// engines runs items in virtual time and records the runs.
type engines struct {
	mutex   sync.Mutex
	version uint64
	runs    map[string]int
	// fail maps an item to the ending of all its runs.
	fail map[string]runs.Ending
	// stalled holds the ids of targets that send no events.
	stalled map[string]bool
	// endless holds the ids of targets whose texts are too long; those in oversized end in
	// order after an event that no result holds.
	endless, oversized map[string]bool
	// flooding holds the ids of targets that send events until the run is canceled.
	flooding map[string]bool
	// hangFirst is set if the first run of each item hangs after its first event.
	hangFirst bool
	// emptyAfter is the number of runs of each item that resume its text and end in order
	// without an event.
	emptyAfter int
	empty      map[string]int
	// loseEnd is set if the first run of each item breaks after the last event.
	loseEnd bool
	// running counts the current runs of each item.
	running map[string]int
	// concurrent counts runs of an item that started while another run of it went on.
	concurrent int
	// generated counts the events of each item over all its runs.
	generated map[string]int
	// software maps a target to the version of its software; origins holds, for each item,
	// the versions that generated the events from the last beginning on.
	software *sync.Map
	origins  map[string]map[string]bool
	// services holds, for each item, the services that generated those events.
	services map[string]map[string]bool
	// workspaces maps an item to the workspace of its last run.
	workspaces sync.Map
}

// length returns the number of events of an item; about one in seven is long.
func length(id string) int {
	sum := 0
	for _, ch := range id {
		sum = sum*31 + int(ch)
	}
	if sum%7 == 0 {
		return 60
	}
	return 5 + sum%10
}

// text returns the complete text of an item.
func text(id string) string {
	var lines []string
	for at := 1; at <= length(id); at++ {
		lines = append(lines, fmt.Sprintf("%s-%d", id, at))
	}
	return strings.Join(lines, "\n")
}

func (en *engines) Run(ctx context.Context, ta fleet.Target, rq runs.Request, event func(runs.Event)) runs.Outcome {
	id := rq.Item.ID
	en.mutex.Lock()
	en.runs[id]++
	en.workspaces.Store(id, rq.Job.Workspace)
	en.running[id]++
	if en.running[id] > 1 {
		en.concurrent++
	}
	version, ending, hangs := en.version, en.fail[id], en.hangFirst && en.runs[id] == 1
	endLost := en.loseEnd && en.runs[id] == 1
	empty := rq.After > 0 && en.empty[id] < en.emptyAfter
	if empty {
		en.empty[id]++
	}
	en.mutex.Unlock()
	defer func() {
		en.mutex.Lock()
		defer en.mutex.Unlock()
		en.running[id]--
	}()
	if ending != "" {
		return runs.Outcome{Ending: ending, Detail: "configured to fail"}
	}
	if empty {
		return runs.Outcome{Ending: runs.Complete}
	}
	if en.endless[ta.ID] || en.oversized[ta.ID] || en.flooding[ta.ID] {
		return en.runFaulty(ctx, ta.ID, rq.After, event)
	}
	software, _ := en.software.Load(ta.ID)
	name, _ := software.(string)
	for at := rq.After + 1; at <= length(id); at++ {
		en.mutex.Lock()
		stalled := en.stalled[ta.ID] || (hangs && at > 1)
		en.mutex.Unlock()
		pause := time.After(eventInterval)
		if stalled {
			pause = nil
		}
		select {
		case <-ctx.Done():
			return runs.Outcome{Ending: runs.Interrupted, Detail: "the caller disconnected"}
		case <-pause:
			en.mutex.Lock()
			en.generated[id]++
			if at == 1 || en.origins[id] == nil {
				en.origins[id], en.services[id] = map[string]bool{}, map[string]bool{}
			}
			en.origins[id][name], en.services[id][ta.Service] = true, true
			en.mutex.Unlock()
			event(runs.Event{Data: fmt.Sprintf("%s-%d", id, at), Version: version})
		}
	}
	if endLost {
		return runs.Outcome{Ending: runs.Interrupted, Detail: "broken after the last event"}
	}
	return runs.Outcome{Ending: runs.Complete}
}

// runFaulty sends a text that cannot be listed.
func (en *engines) runFaulty(ctx context.Context, target string, after int, event func(runs.Event)) runs.Outcome {
	data := strings.Repeat("x", 2000)
	if en.oversized[target] {
		data = strings.Repeat("x", batch.MaxTextBytes)
	}
	for at := 0; at < 5 || en.flooding[target]; at++ {
		select {
		case <-ctx.Done():
			return runs.Outcome{Ending: runs.Interrupted, Detail: "the caller disconnected"}
		case <-time.After(eventInterval):
			event(runs.Event{Data: data, Version: en.version})
		}
	}
	switch {
	case ctx.Err() != nil:
		return runs.Outcome{Ending: runs.Interrupted, Detail: "canceled"}
	case en.oversized[target]:
		return runs.Outcome{Ending: runs.Complete}
	}
	return runs.Outcome{Ending: runs.TooLong, Detail: fmt.Sprint("too long after ", after+5)}
}

// sender answers plain requests and scoring calls.
type sender struct {
	mutex sync.Mutex
	// failing holds the ids of calls that are answered with status 500.
	failing map[string]bool
	calls   map[string]int
	// delay is the time that a target takes, if it is not the usual one.
	delay time.Duration
	// crash is the body that crashes a target, empty for none; crashed is the target
	// that crashed last.
	crash, crashed string
	// down holds the targets that accept no connections after a crash, if it is not nil.
	down map[string]bool
}

func (se *sender) Send(ctx context.Context, ta fleet.Target, re calls.Request) (calls.Response, error) {
	select { // not under the lock: virtual time does not advance while a goroutine waits for a mutex
	case <-time.After(max(se.delay, 10*time.Millisecond)):
	case <-ctx.Done():
		return calls.Response{}, core.InDoubt(core.CodeTargetLost, "canceled")
	}
	se.mutex.Lock()
	defer se.mutex.Unlock()
	if se.down[ta.ID] {
		return calls.Response{}, core.Refuse(core.CodeTargetDown, "connection refused")
	}
	se.calls[re.ID]++
	if se.crash != "" && string(re.Body) == se.crash {
		se.crashed = ta.ID
		if se.down != nil {
			se.down[ta.ID] = true
		}
		return calls.Response{}, core.InDoubt(core.CodeTargetLost, "connection reset")
	}
	if se.failing[re.ID] {
		return calls.Response{Status: http.StatusInternalServerError, Stamp: "failed"}, nil
	}
	return calls.Response{Status: http.StatusOK, Stamp: "score-" + re.ID}, nil
}

// count returns how often the targets ran a request.
func (se *sender) count(id string) int {
	se.mutex.Lock()
	defer se.mutex.Unlock()
	return se.calls[id]
}

// announcer is an entry's client of the targets. It reports those that leave and records
// when each target got a request.
type announcer struct {
	*engines
	*sender
	departures *fleet.Departures
	rates      *quota.Limits

	mutex sync.Mutex
	// leaving holds the ids of targets that say in each response that they leave.
	leaving map[string]bool
	// limits maps a target to the requests per second that it names in each response.
	limits *sync.Map
	// pause returns the time between two events of a stream.
	pause   func() time.Duration
	started map[string][]time.Time
}

func (an *announcer) respond(ta fleet.Target) {
	an.mutex.Lock()
	an.started[ta.ID] = append(an.started[ta.ID], time.Now())
	leaving := an.leaving[ta.ID]
	an.mutex.Unlock()
	if leaving {
		an.departures.Announce(time.Now(), ta)
	}
}

// nameLimit reports what a response to a request says about the limit of its target.
func (an *announcer) nameLimit(ta fleet.Target, sentAt time.Time) {
	reading := quota.Reading{}
	if li, found := an.limits.Load(ta.ID); found {
		reading.Limit = li.(quota.Limit)
	}
	an.rates.Observe(ta, sentAt, reading)
}

func (an *announcer) Run(ctx context.Context, ta fleet.Target, rq runs.Request, event func(runs.Event)) runs.Outcome {
	an.respond(ta)
	an.nameLimit(ta, time.Now())
	return an.engines.Run(ctx, ta, rq, event)
}

func (an *announcer) Send(ctx context.Context, ta fleet.Target, re calls.Request) (calls.Response, error) {
	an.respond(ta)
	sentAt := time.Now()
	rs, err := an.sender.Send(ctx, ta, re)
	an.nameLimit(ta, sentAt)
	return rs, err
}

// setLeaving has targets announce their departure from now on.
func (an *announcer) setLeaving(ids ...string) {
	an.mutex.Lock()
	defer an.mutex.Unlock()
	an.leaving = map[string]bool{}
	for _, id := range ids {
		an.leaving[id] = true
	}
}

// countSince returns the number of requests that a target got from a time on.
func (an *announcer) countSince(id string, from time.Time) int {
	an.mutex.Lock()
	defer an.mutex.Unlock()
	count := 0
	for _, at := range an.started[id] {
		if !at.Before(from) {
			count++
		}
	}
	return count
}

// link is an entry's connection to the store. While it is cut, calls get no response, or this
// error at once.
type link struct {
	*fake.Rows
	mutex sync.Mutex
	cut   bool
	err   error
	// refused is a table whose reads are refused, empty for none.
	refused string
	// latency is the time that each call takes.
	latency time.Duration
	// slow is a table whose reads take slowness longer.
	slow     string
	slowness time.Duration
	// hidden are the keys of rows of targets that lists leave out.
	hidden map[string]bool
}

func (li *link) refuseTable(name string) {
	li.mutex.Lock()
	defer li.mutex.Unlock()
	li.refused = name
}

func (li *link) slowDown(name string, by time.Duration) {
	li.mutex.Lock()
	defer li.mutex.Unlock()
	li.slow, li.slowness = name, by
}

// pause waits if a table is slow.
func (li *link) pause(ctx context.Context, name string) error {
	li.mutex.Lock()
	by := li.slowness
	if li.slow != name {
		by = 0
	}
	li.mutex.Unlock()
	if by == 0 { // a timer of zero in each call crashes the race detector's runtime
		return nil
	}
	select {
	case <-time.After(by):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (li *link) setError(err error) {
	li.mutex.Lock()
	defer li.mutex.Unlock()
	li.err = err
}

// setLatency sets the time that each call takes.
func (li *link) setLatency(latency time.Duration) {
	li.mutex.Lock()
	defer li.mutex.Unlock()
	li.latency = latency
}

func (li *link) setCut(cut bool) {
	li.mutex.Lock()
	defer li.mutex.Unlock()
	li.cut = cut
}

func (li *link) check(ctx context.Context, name string) error {
	li.mutex.Lock()
	latency := li.latency
	li.mutex.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	li.mutex.Lock()
	cut, err, refused := li.cut, li.err, name != "" && name == li.refused
	li.mutex.Unlock()
	switch {
	case err != nil:
		return err
	case refused:
		return table.ErrRefused
	}
	if cut {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (li *link) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	if err := li.check(ctx, ""); err != nil {
		return 0, err
	}
	return li.Rows.Commit(ctx, tx)
}

func (li *link) List(ctx context.Context, ra table.Range) (table.Page, error) {
	if err := li.check(ctx, ra.Table); err != nil {
		return table.Page{}, err
	}
	page, err := li.Rows.List(ctx, ra)
	if failed := li.pause(ctx, ra.Table); failed != nil {
		return table.Page{}, failed
	}
	li.mutex.Lock()
	defer li.mutex.Unlock()
	page.Rows = slices.DeleteFunc(page.Rows, func(ro table.Row) bool { return ra.Table == targetTable && li.hidden[ro.ID.Key] })
	return page, err
}

func (li *link) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (table.Page, error) {
	if err := li.check(ctx, name); err != nil {
		return table.Page{}, err
	}
	page, err := li.Rows.Watch(ctx, name, after, wait)
	if failed := li.pause(ctx, name); failed != nil {
		return table.Page{}, failed
	}
	return page, err
}

// cluster is several entries that share one store.
type cluster struct {
	t    *testing.T
	rows *fake.Rows
	// linkFaults maps a calling and a called node to the fault of their link.
	linkFaults sync.Map
	engines    *engines
	sender     *sender
	entries    []*intake.Entry
	clients    []*announcer
	links      []*link
	ended      []chan struct{}
	// startedAt is the start time of the targets, as the registry lists it.
	startedAt atomic.Int64
	// limits maps a target to the quota.Limit that it names.
	limits sync.Map
	// software maps a target to the version of its software, as the registry lists it.
	software sync.Map
	// starting guards the entries and their ends while a node starts: entries that run
	// already call each other.
	starting sync.RWMutex
	// relay is the way to the store through peers.
	relay link
	// silent holds the nodes that do not answer questions about the configuration.
	silent sync.Map
	// boot is the clock of all machines, which are suspended together.
	boot virtualBoot
	// firstStart is the setting of entries that start.
	firstStart bool
	// unshared is set while entries do not keep origins for others.
	unshared atomic.Bool
	// newLink changes the connection of an entry that starts; it may be nil.
	newLink func(li *link)
	// eventPause is the time between two events of a stream; zero means eventInterval.
	eventPause time.Duration
	// maxTextBytes is the setting of entries that start.
	maxTextBytes int64
	// questions counts those about the configuration.
	questions atomic.Int64
	// config replaces the configuration, logs is what the entries log.
	config atomic.Pointer[conf.Config]
	logs   bytes.Buffer
	logger log.Logger
}

var route = conf.Route{
	Name: "train", Host: "h", Prefix: "/train/", Kind: conf.Rollout, Shares: []conf.Share{{Service: "lm", Weight: 1}},
	Deadline: 7500 * time.Millisecond, ItemTTL: 40 * time.Second, Attempts: 3,
}

func config(version uint64) *conf.Config {
	return conf.New(version, []conf.Route{route, {
		Name: "score", Host: "h", Prefix: "/score/", Kind: conf.Idempotent, Shares: []conf.Share{{Service: "desk", Weight: 1}},
		TargetLatency: 300 * time.Millisecond, Attempts: 4,
	}, {
		Name: "chat", Host: "h", Prefix: "/chat/", Kind: conf.Stream, Resumable: true, Shares: []conf.Share{{Service: "desk", Weight: 1}},
		TargetLatency: 300 * time.Millisecond, Attempts: 3,
	}, {Name: "version", Host: versionHost(version), Prefix: "/"}}, nil, conf.Limits{})
}

// decoders returns decoders that derive the content of a row from its key.
func (cl *cluster) decoders() intake.Decoders {
	return intake.Decoders{
		OperatorTable: operatorTable, TargetTable: targetTable,
		Config: func(ro table.Row) (*conf.Config, error) {
			if ro.ID.Key != "config" {
				return nil, nil
			}
			if co := cl.config.Load(); co != nil {
				return co, nil
			}
			version, _ := strconv.ParseUint(string(ro.Value), 10, 64)
			return config(max(version, 1)), nil
		},
		Version: func(table.Row) (string, uint64, bool, error) { return "", 0, false, nil },
		Target: func(ro table.Row) (fleet.Target, error) {
			if !strings.HasPrefix(ro.ID.Key, "lm") && !strings.HasPrefix(ro.ID.Key, "desk") {
				return fleet.Target{}, errors.Newf("row %q is of another writer", ro.ID.Key)
			}
			ta := fleet.Target{ID: ro.ID.Key, Addr: ro.ID.Key, Slots: 12, Service: "desk", StartedAt: cl.startedAt.Load()}
			if software, found := cl.software.Load(ro.ID.Key); found {
				ta.Software = software.(string)
			}
			if strings.HasPrefix(ro.ID.Key, "lm") {
				ta.Service, ta.Models = "lm", map[string]uint64{"m": 1}
			}
			if strings.HasPrefix(ro.ID.Key, "lmb") {
				ta.Service = "lmb"
			}
			return ta, nil
		},
	}
}

func newCluster(t *testing.T, entries int) *cluster {
	t.Helper()
	cl := &cluster{
		t: t, firstStart: true, rows: &fake.Rows{}, sender: &sender{failing: map[string]bool{}, calls: map[string]int{}},
		engines: &engines{version: 1, runs: map[string]int{}, running: map[string]int{}, fail: map[string]runs.Ending{}, stalled: map[string]bool{}, generated: map[string]int{}, empty: map[string]int{}},
	}
	cl.relay.Rows = cl.rows
	cl.engines.software, cl.engines.origins, cl.engines.services = &cl.software, map[string]map[string]bool{}, map[string]map[string]bool{}
	cl.logger = log.NewLogfmtLogger(log.NewSyncWriter(&cl.logs))
	cl.put(operatorTable, "config")
	for _, id := range []string{"lm1", "lm2", "lm3", "desk1", "desk2"} {
		cl.put(targetTable, id)
	}
	for at := range entries {
		cl.start(at)
	}
	time.Sleep(2 * time.Second)
	return cl
}

func (cl *cluster) put(name, key string) {
	_, err := cl.rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: table.ID{Table: name, Key: key}}}})
	require.NoError(cl.t, err)
}

func (cl *cluster) drop(name, key string) {
	_, err := cl.rows.Commit(context.Background(), table.Tx{Drops: []table.ID{{Table: name, Key: key}}})
	require.NoError(cl.t, err)
}

// live returns the index of an entry that runs.
func (cl *cluster) live() int {
	for at := range cl.ended {
		if cl.runs(at) {
			return at
		}
	}
	cl.t.Fatal("no entry runs")
	return 0
}

// runs reports whether the entry of a node runs.
func (cl *cluster) runs(node int) bool {
	select {
	case <-cl.ended[node]:
		return false
	default:
		return true
	}
}

// anyEntry returns the entry of a random node that runs, waiting for one if there is none.
func (cl *cluster) anyEntry() (node int, en *intake.Entry) {
	for {
		cl.starting.RLock()
		for _, at := range rand.Perm(len(cl.entries)) {
			if cl.runs(at) {
				node, en = at, cl.entries[at]
			}
		}
		cl.starting.RUnlock()
		if en != nil {
			return node, en
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// isCurrent reports whether the entry of a node still runs.
func (cl *cluster) isCurrent(node int, en *intake.Entry) bool {
	cl.starting.RLock()
	defer cl.starting.RUnlock()
	return cl.entries[node] == en && cl.runs(node)
}

// kill kills the entries of some nodes and waits for their ends.
func (cl *cluster) kill(nodes ...int) {
	for _, at := range nodes {
		cl.entries[at].Kill()
	}
	for _, at := range nodes {
		<-cl.ended[at]
	}
}

// starter and issuer return a client of the entry at an inner address.
func (cl *cluster) starter(addr string) intake.Starter { return cl.peer(addr) }
func (cl *cluster) issuer(addr string) intake.Issuer   { return cl.peer(addr) }

func (cl *cluster) peer(addr string) *peer {
	at, err := strconv.Atoi(strings.TrimPrefix(addr, "n"))
	require.NoError(cl.t, err)
	return &peer{cluster: cl, at: at, from: -1}
}

// originsOf returns the clients of a node for the origins that other entries keep.
func (cl *cluster) originsOf(node int) func(addr string) intake.OriginClient {
	return func(addr string) intake.OriginClient {
		pe := cl.peer(addr)
		pe.from = node
		return pe
	}
}

// linkFault is a fault of the link from a node to another one.
type linkFault string

const (
	noLink     linkFault = "no link"     // requests are lost
	noResponse linkFault = "no response" // requests arrive, responses are lost
)

// breakLinks sets the fault of all links from a node, or ends it.
func (cl *cluster) breakLinks(node int, fault linkFault) {
	for other := range cl.entries {
		cl.linkFaults.Store([2]int{node, other}, fault)
	}
}

// isolate cuts the links between a node and all others, both ways, or restores them.
func (cl *cluster) isolate(node int, fault linkFault) {
	cl.breakLinks(node, fault)
	for other := range cl.entries {
		cl.linkFaults.Store([2]int{other, node}, fault)
	}
}

// peer is a client of another entry. It fails once that entry has ended.
type peer struct {
	cluster *cluster
	at      int
	// from is the calling node, or -1.
	from int
}

// call calls an entry, unless the link is faulty.
func call[Response any](ctx context.Context, pe *peer, do func(en *intake.Entry) (*Response, error)) (*Response, error) {
	fault, _ := pe.cluster.linkFaults.Load([2]int{pe.from, pe.at})
	if fault == noLink {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	en, err := pe.entry()
	if err != nil {
		return nil, err
	}
	res, err := do(en)
	if fault == noResponse {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return res, err
}

// entry returns the entry, or an error once it has ended.
func (pe *peer) entry() (*intake.Entry, error) {
	pe.cluster.starting.RLock()
	defer pe.cluster.starting.RUnlock()
	if !pe.cluster.runs(pe.at) {
		return nil, errors.New("connection refused")
	}
	return pe.cluster.entries[pe.at], nil
}

func (pe *peer) Start(ctx context.Context, req *wire.StartRequest) (*wire.StartResponse, error) {
	en, err := pe.entry()
	if err != nil {
		return nil, err
	}
	return en.Start(ctx, req)
}

func (pe *peer) RecordOrigin(ctx context.Context, req *wire.RecordOriginRequest) (*wire.RecordOriginResponse, error) {
	if pe.cluster.unshared.Load() {
		return nil, errors.New("connection reset")
	}
	return call(ctx, pe, func(en *intake.Entry) (*wire.RecordOriginResponse, error) { return en.RecordOrigin(ctx, req) })
}

func (pe *peer) FindOrigin(ctx context.Context, req *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	return call(ctx, pe, func(en *intake.Entry) (*wire.FindOriginResponse, error) { return en.FindOrigin(ctx, req) })
}

// permitsLatency is the time that a request for permits takes.
const permitsLatency = 5 * time.Millisecond

func (pe *peer) Permits(ctx context.Context, req *wire.PermitsRequest) (*wire.PermitsResponse, error) {
	time.Sleep(permitsLatency)
	en, err := pe.entry()
	if err != nil {
		return nil, err
	}
	return en.Permits(ctx, req)
}

// shiftSubmitted shifts a job's submission time, as if the entry that accepted the
// job had a wrong clock.
func (cl *cluster) shiftSubmitted(id string, by time.Duration) {
	cl.t.Helper()
	ctx := context.Background()
	page, err := cl.rows.List(ctx, table.Range{Table: batch.HeadTable, Part: batch.Part(id), From: id, To: id + "\x00"})
	require.NoError(cl.t, err)
	he, err := batch.DecodeHead(page.Rows[0].Value)
	require.NoError(cl.t, err)
	he.Submitted += by.Milliseconds()
	_, err = cl.rows.Commit(ctx, table.Tx{Puts: []table.Put{{ID: batch.HeadID(id), Value: batch.EncodeHead(he)}}})
	require.NoError(cl.t, err)
}

// owner returns the index of the entry that runs a job.
func (cl *cluster) owner(id string) int {
	cl.t.Helper()
	for at, en := range cl.entries {
		if en.Owns(id) {
			return at
		}
	}
	cl.t.Fatalf("no entry runs %s", id)
	return 0
}

// virtualBoot is a clock of suspensions in virtual time.
type virtualBoot struct{ suspended atomic.Int64 }

func (vb *virtualBoot) SinceBoot() time.Duration {
	return time.Duration(time.Now().UnixNano() + vb.suspended.Load())
}

// start starts an entry on a node and replaces the node's previous entry, if any.
func (cl *cluster) start(node int) {
	li := &link{Rows: cl.rows}
	if cl.newLink != nil {
		cl.newLink(li)
	}
	an := &announcer{engines: cl.engines, sender: cl.sender, departures: &fleet.Departures{}, rates: &quota.Limits{}, limits: &cl.limits, pause: func() time.Duration { return max(cl.eventPause, eventInterval) }, started: map[string][]time.Time{}}
	en := intake.New(
		intake.Settings{Node: "n" + strconv.Itoa(node), Domain: "d", Inner: "n" + strconv.Itoa(node), Grace: 8 * time.Second, FirstStart: cl.firstStart, MaxTextBytes: cl.maxTextBytes},
		intake.Ports{Direct: li, Sender: an, Engine: an, Departures: an.departures, Rates: an.rates, Issuer: cl.issuer, Origins: cl.originsOf(node), Streamer: an, Dial: cl.dial, Configs: cl.configs, Starter: cl.starter, Boot: &cl.boot},
		cl.decoders(), core.SystemClock{}, cl.logger, &meter.Set{},
	)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		require.NoError(cl.t, en.Run())
	}()
	cl.starting.Lock()
	defer cl.starting.Unlock()
	if node < len(cl.entries) {
		cl.entries[node], cl.clients[node], cl.links[node], cl.ended[node] = en, an, li, ended
		return
	}
	cl.entries, cl.clients = append(cl.entries, en), append(cl.clients, an)
	cl.links, cl.ended = append(cl.links, li), append(cl.ended, ended)
}

// stop kills all entries and waits for them to end.
func (cl *cluster) stop() {
	var group sync.WaitGroup
	for at, en := range cl.entries {
		group.Go(func() {
			en.Kill()
			<-cl.ended[at]
		})
	}
	group.Wait()
	time.Sleep(2 * permitsLatency) // a request for permits outlives its entry
}

func job(id string, groups int) *batch.Job {
	jo := &batch.Job{ID: id, Host: "h", Path: "/train/x", Model: "m", MinVersion: 1, RequiredGroups: groups}
	for at := range groups * 4 {
		it := fmt.Sprintf("%s-i%d", id, at)
		jo.Items = append(jo.Items, batch.Item{
			ID: it, Path: "/train/i", Group: strconv.Itoa(at / 4), Hint: length(it),
			Scorer: &batch.Scorer{ID: "s-" + it, Host: "h", Path: "/score/x"},
		})
	}
	return jo
}

func (cl *cluster) submit(node int, jo *batch.Job) *core.Error {
	return cl.entries[node].Submit(context.Background(), jo, route)
}

// read returns all results of a job that an entry lists.
func (cl *cluster) read(node int, id string) []batch.Result {
	var all []batch.Result
	for {
		li, err := cl.entries[node].Results(context.Background(), id, len(all), 0)
		if err != nil || len(li.Results) == 0 {
			return all
		}
		all = append(all, li.Results...)
	}
}

// requireComplete checks that an entry lists each item of a job exactly once, with
// the expected text and score.
func (cl *cluster) requireComplete(node int, jo *batch.Job) {
	cl.t.Helper()
	results := cl.read(node, jo.ID)
	require.Len(cl.t, results, len(jo.Items))
	seen := map[string]bool{}
	for _, re := range results {
		require.False(cl.t, seen[re.ID], "%s is listed twice", re.ID)
		seen[re.ID] = true
		require.Equal(cl.t, batch.Completed, re.State)
		require.Equal(cl.t, text(re.ID), re.Text)
		require.Equal(cl.t, "score-s-"+re.ID, re.Score)
	}
	require.Zero(cl.t, cl.engines.concurrent, "no item ran on two engines at the same time")
}

// target returns an incarnation of a target.
func target(id string, startedAt int64) fleet.Target {
	return fleet.Target{ID: id, StartedAt: startedAt}
}
