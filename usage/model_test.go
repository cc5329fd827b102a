package usage

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bilberryshelf/fake"
	"bilberryshelf/meter"
	"bilberryshelf/table"
)

var long = flag.Int("long", 0, "number of further seeds for the model")

// mutant removes one safeguard.
type mutant struct {
	// ownSum holders take a conflict for success and send their own sum.
	ownSum bool
	// anyCursor holders expect no version of the cursor.
	anyCursor bool
	// noSettle holders fix a window at its end.
	noSettle bool
}

const (
	modelSteps = 60
	// maxStoreDelay is within the default settle time.
	maxStoreDelay = 2500 * time.Millisecond
)

// world simulates two holders of the duty that both may send at any time, as if there were no
// lease, and one row of counts for each request.
type world struct {
	draw     func(label string, below int) int
	mutant   mutant
	now      time.Duration
	rows     fake.Rows
	calm     bool
	nested   bool
	holders  [2]*Reporter
	bodies   map[uint64]string
	accepted map[uint64]bool
	truth    map[uint64]Counts
	inexact  map[uint64]bool
	writes   []write
	heldUp   []table.Tx
	requests int
	failure  string
}

// write is counts that an entry stores at a time.
type write struct {
	at time.Duration
	tx table.Tx
}

func (wo *world) advance(by time.Duration) {
	wo.now += by
	var left []write
	for _, wr := range wo.writes {
		if wr.at > wo.now {
			left = append(left, wr)
			continue
		}
		_, _ = wo.rows.Commit(context.Background(), wr.tx) // expects nothing, so that it is applied
	}
	wo.writes = left
}

// count has an entry count a request now, and store it within the settle time or too late.
func (wo *world) count() {
	window := WindowAt(wo.now, DefaultLength)
	wo.requests++
	workspace := fmt.Sprint("w", wo.requests%3)
	delay := time.Duration(wo.draw("delay", int(maxStoreDelay)))
	if wo.requests > 1 && wo.draw("late", 8) == 0 { // the first one tells where the reports begin
		delay += time.Duration(wo.draw("lateness", 100)) * time.Second
		wo.inexact[window] = true
	}
	if wo.truth[window] == nil {
		wo.truth[window] = Counts{}
	}
	wo.truth[window][workspace]++
	tx, _ := CountsTx(fmt.Sprint("e", wo.requests), map[uint64]Counts{window: {workspace: 1}})
	wo.writes = append(wo.writes, write{wo.now + delay, tx})
}

// ReportUsage accepts a report, refuses it, or loses the answer.
func (wo *world) ReportUsage(_ context.Context, _, window uint64, counts map[string]uint64) error {
	outcome := 0
	if !wo.calm {
		outcome = wo.draw("outcome", 4)
	}
	raw, _ := json.Marshal(counts)
	if have, found := wo.bodies[window]; found && have != string(raw) {
		wo.failure = fmt.Sprintf("window %d was sent as %s and %s", window, have, raw)
	}
	wo.bodies[window] = string(raw)
	if outcome == 1 {
		return errors.New("busy")
	}
	wo.accepted[window] = true
	if outcome == 2 {
		return errors.New("no answer")
	}
	return nil
}

// Permit implements Permission, Now and After a clock.
func (wo *world) Permit(time.Time) (uint64, bool)   { return 1, wo.calm || wo.draw("permit", 8) > 0 }
func (wo *world) Now() time.Time                    { return time.Unix(0, int64(wo.now)) }
func (*world) After(time.Duration) <-chan time.Time { return nil }
func (wo *world) trueNow() time.Duration            { return wo.now }
func (wo *world) other(holder int) *Reporter        { return wo.holders[1-holder] }
func (wo *world) pass(rp *Reporter)                 { _ = rp.Pass(context.Background()) }
func (wo *world) pick(label string, of ...time.Duration) time.Duration {
	return of[wo.draw(label, len(of))]
}

// client is the store as one holder sees it.
type client struct {
	*world
	holder int
}

var errLost = errors.New("no answer")

// before may refuse a call, or pause its caller while the other holder runs.
func (cl client) before() error {
	if cl.calm {
		return nil
	}
	switch cl.draw("store", 12) {
	case 0:
		return table.ErrRefused
	case 1, 2:
		if cl.nested {
			return nil
		}
		cl.nested = true
		for range 1 + cl.draw("passes", 4) {
			cl.advance(cl.pick("pause", 0, time.Second, 6*time.Second, 70*time.Second))
			cl.pass(cl.other(cl.holder))
		}
		cl.nested = false
	}
	return nil
}

func (cl client) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	if err := cl.before(); err != nil {
		return 0, err
	}
	if cl.mutant.anyCursor {
		var kept []table.Expect
		for _, ex := range tx.Expect {
			if ex.ID != cursorID {
				kept = append(kept, ex)
			}
		}
		tx.Expect = kept
	}
	action := 0
	if !cl.calm {
		action = cl.draw("commit", 8)
	}
	if action == 1 {
		cl.heldUp = append(cl.heldUp, tx)
		return 0, errLost
	}
	version, err := cl.rows.Commit(ctx, tx)
	if err != nil && cl.mutant.ownSum {
		return 1, nil
	}
	if action == 2 {
		return 0, errLost
	}
	return version, err
}

func (cl client) List(ctx context.Context, ra table.Range) (table.Page, error) {
	if err := cl.before(); err != nil {
		return table.Page{}, err
	}
	return cl.rows.List(ctx, ra)
}

func newWorld(mu mutant, draw func(label string, below int) int) *world {
	wo := &world{
		draw: draw, mutant: mu, now: 1000 * time.Second, bodies: map[uint64]string{}, accepted: map[uint64]bool{}, truth: map[uint64]Counts{}, inexact: map[uint64]bool{},
	}
	for at := range wo.holders {
		wo.holders[at] = &Reporter{
			Name: fmt.Sprint("h", at), Store: client{wo, at}, Permission: wo, Sender: wo, Clock: wo, Now: wo.trueNow,
			Logger: log.NewNopLogger(), Meters: &meter.Set{}, Spawn: func(send func()) { send() },
		}
		if mu.noSettle {
			wo.holders[at].Settle = time.Nanosecond
		}
	}
	return wo
}

// simulate runs a world and returns what was violated.
func simulate(mu mutant, draw func(label string, below int) int) string {
	wo := newWorld(mu, draw)
	wo.count()
	for range modelSteps {
		switch wo.draw("step", 8) {
		case 0, 1:
			wo.count()
		case 2:
			if len(wo.heldUp) > 0 {
				_, _ = wo.rows.Commit(context.Background(), wo.heldUp[0]) // a conflict is as good
				wo.heldUp = wo.heldUp[1:]
			}
		case 3, 4:
			wo.pass(wo.holders[0])
		case 5:
			wo.pass(wo.holders[1])
		default:
			wo.advance(wo.pick("advance", 300*time.Millisecond, time.Second, 4*time.Second))
		}
		if wo.failure != "" {
			return wo.failure
		}
	}
	wo.calm = true
	for range 60 { // a pass sends at most maxSending reports
		wo.advance(time.Second)
		wo.pass(wo.holders[0])
	}
	return wo.verify()
}

// verify checks that each window was reported, exactly if its counts were stored in time.
func (wo *world) verify() string {
	if wo.failure != "" {
		return wo.failure
	}
	last := WindowAt(wo.now-DefaultSettle-time.Second, DefaultLength)
	for window := WindowAt(1000*time.Second, DefaultLength); window < last; window++ {
		if !wo.accepted[window] {
			return fmt.Sprintf("window %d was not reported", window)
		}
		want := wo.truth[window]
		if want == nil {
			want = Counts{}
		}
		raw, _ := json.Marshal(want)
		if !wo.inexact[window] && wo.bodies[window] != string(raw) {
			return fmt.Sprintf("window %d was reported as %s instead of %s", window, wo.bodies[window], raw)
		}
	}
	return ""
}

func seeded(seed uint64) func(string, int) int {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(_ string, below int) int { return random.IntN(below) }
}

// Two holders, refused calls, lost answers, late writes and pauses: a window is never sent
// with two different contents, and each is reported once the store and the platform answer.
func TestReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string, below int) int { return rapid.IntRange(0, below-1).Draw(rt, label) }
		if violation := simulate(mutant{}, draw); violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
	for seed := range uint64(200 + *long) {
		require.Empty(t, simulate(mutant{}, seeded(seed)), "seed %d", seed)
	}
}

// The model detects the absence of each safeguard.
func TestReportMutants(t *testing.T) {
	for name, mu := range map[string]mutant{"own sum": {ownSum: true}, "any cursor": {anyCursor: true}, "no settle": {noSettle: true}} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5000) {
				if violation := simulate(mu, seeded(seed)); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("not detected")
		})
	}
}

// The rows of reported windows must be deleted, or the table grows for ever.
func TestRowsAreDeleted(t *testing.T) {
	wo := newWorld(mutant{}, seeded(1))
	wo.calm = true
	for range 400 {
		wo.count()
		wo.advance(time.Second)
		wo.pass(wo.holders[0])
	}
	rows := 0
	for _, part := range append(Parts(), "") {
		page, err := wo.rows.List(context.Background(), table.Range{Table: Table, Part: part})
		require.NoError(t, err)
		rows += len(page.Rows)
	}
	require.Less(t, rows, 150, "of 400 requests in 80 windows")
}
