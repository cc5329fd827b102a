package fence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/fence"
)

var start = time.Unix(1000, 0)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func table() *fence.Table {
	return &fence.Table{Incarnation: 7, Grace: 100 * time.Millisecond, MaxAnswerBytes: 10}
}

func ticket(id byte, key string) fence.Ticket {
	return fence.Ticket{
		ID: core.AttemptID{id}, Incarnation: 7, Deadline: at(50), Key: key, KeyHold: time.Second, Digest: 1,
	}
}

func TestBeginRefuses(t *testing.T) {
	for _, tc := range []struct {
		name    string
		before  func(ta *fence.Table)
		change  func(ti *fence.Ticket)
		millis  int
		code    core.Code
		verdict core.Verdict
	}{
		{"another incarnation", nil, func(ti *fence.Ticket) { ti.Incarnation = 6 }, 0, core.CodeOldIncarnation, core.NotRun},
		{"after its deadline", nil, nil, 50, core.CodeDeadline, core.NotRun},
		{"settled before it arrived", func(ta *fence.Table) { ta.Settle(at(0), core.AttemptID{1}, 7, at(50)) }, nil, 1, core.CodeSettledNotRun, core.NotRun},
		{"a second arrival", func(ta *fence.Table) { _, _, _ = ta.Begin(at(0), ticket(1, "")) }, nil, 1, core.CodeDuplicate, core.MayHaveRun},
		{"a key with another request", func(ta *fence.Table) { _, _, _ = ta.Begin(at(0), ticket(2, "k")) }, func(ti *fence.Ticket) { ti.Key, ti.Digest = "k", 2 }, 1, core.CodeKeyConflict, core.NotRun},
		{"a key moved to another target", func(ta *fence.Table) { ta.SettleKey(at(0), "k", time.Second) }, func(ti *fence.Ticket) { ti.Key = "k" }, 1, core.CodeKeyMoved, core.NotRun},
		{"an unknown key in quarantine", func(ta *fence.Table) { ta.QuarantineUntil = at(1000) }, func(ti *fence.Ticket) { ti.Key = "k" }, 1, core.CodeKeyHomeRestarted, core.MayHaveRun},
		{"a key lost with the target", func(ta *fence.Table) {
			_, _, _ = ta.Begin(at(0), ticket(2, "k"))
			ta.Finish(at(1), core.AttemptID{2}, fence.Lost, nil, 0)
		}, func(ti *fence.Ticket) { ti.Key = "k" }, 2, core.CodeTargetLost, core.MayHaveRun},
		{"a key whose answer did not fit", func(ta *fence.Table) {
			_, _, _ = ta.Begin(at(0), ticket(2, "k"))
			ta.Finish(at(1), core.AttemptID{2}, fence.Done, "long", 11)
		}, func(ti *fence.Ticket) { ti.Key = "k" }, 2, core.CodeAnswerDropped, core.Ran},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta, ti := table(), ticket(1, "")
			if tc.before != nil {
				tc.before(ta)
			}
			if tc.change != nil {
				tc.change(&ti)
			}
			_, _, er := ta.Begin(at(tc.millis), ti)
			require.NotNil(t, er)
			require.Equal(t, tc.code, er.Code)
			require.Equal(t, tc.verdict, er.Verdict)
		})
	}
}

func TestKeyJoinsThenReplays(t *testing.T) {
	ta := table()
	ad, _, er := ta.Begin(at(0), ticket(1, "k"))
	require.Nil(t, er)
	require.Equal(t, fence.Run, ad)
	ad, _, er = ta.Begin(at(1), ticket(2, "k"))
	require.Nil(t, er)
	require.Equal(t, fence.Join, ad)
	ta.Finish(at(2), core.AttemptID{1}, fence.Done, "answer", 6)
	ad, answer, er := ta.Begin(at(3), ticket(3, "k"))
	require.Nil(t, er)
	require.Equal(t, fence.Replay, ad)
	require.Equal(t, "answer", answer)
}

// After an attempt that did not start, its key may run.
func TestNotStartedKeyMayRun(t *testing.T) {
	ta := table()
	_, _, er := ta.Begin(at(0), ticket(1, "k"))
	require.Nil(t, er)
	require.NotNil(t, ta.Commit(at(50), core.AttemptID{1}))
	ad, _, er := ta.Begin(at(10), ticket(2, "k"))
	require.Nil(t, er)
	require.Equal(t, fence.Run, ad)
}

// A key may run again after an idempotent run was lost, and a fresh key may run in
// quarantine.
func TestKeysAdmittedToRun(t *testing.T) {
	ta := table()
	lost := ticket(1, "k")
	lost.Idempotent = true
	_, _, er := ta.Begin(at(0), lost)
	require.Nil(t, er)
	ta.Finish(at(1), core.AttemptID{1}, fence.Lost, nil, 0)
	lost.ID = core.AttemptID{2}
	ad, _, er := ta.Begin(at(2), lost)
	require.Nil(t, er)
	require.Equal(t, fence.Run, ad)

	ta.QuarantineUntil = at(1000)
	fresh := ticket(3, "fresh")
	fresh.Fresh = true
	ad, _, er = ta.Begin(at(3), fresh)
	require.Nil(t, er)
	require.Equal(t, fence.Run, ad)
}

func TestSettle(t *testing.T) {
	for _, tc := range []struct {
		name        string
		before      func(ta *fence.Table)
		incarnation uint64
		millis      int
		state       fence.SettleState
	}{
		{"never seen", nil, 7, 0, fence.Forbidden},
		{"never seen, just past deadline and grace", nil, 7, 151, fence.Unknown},
		{"another incarnation", nil, 6, 0, fence.Unknown},
		{"admitted", func(*fence.Table) {}, 7, 0, fence.Running},
		{"sent to the target", func(ta *fence.Table) { _ = ta.Commit(at(1), core.AttemptID{1}) }, 7, 2, fence.Running},
		{"answered", func(ta *fence.Table) { ta.Finish(at(1), core.AttemptID{1}, fence.Done, nil, 0) }, 7, 2, fence.Ran},
		{"never sent", func(ta *fence.Table) { ta.Finish(at(1), core.AttemptID{1}, fence.NotStarted, nil, 0) }, 7, 2, fence.Forbidden},
		{"lost", func(ta *fence.Table) { ta.Finish(at(1), core.AttemptID{1}, fence.Lost, nil, 0) }, 7, 2, fence.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ta := table()
			if tc.before != nil {
				_, _, er := ta.Begin(at(0), ticket(1, ""))
				require.Nil(t, er)
				tc.before(ta)
			}
			require.Equal(t, tc.state, ta.Settle(at(tc.millis), core.AttemptID{1}, tc.incarnation, at(50)))
		})
	}
}

// The number of ids is bounded by the rate times deadline and grace. Attempts that
// run are kept, however long they take.
func TestSweepBoundsTheTable(t *testing.T) {
	ta := table()
	for nu := range 100 {
		ti := ticket(byte(nu), "")
		ti.Deadline = at(nu + 50)
		_, _, er := ta.Begin(at(nu), ti)
		require.Nil(t, er)
		if nu > 0 {
			ta.Finish(at(nu), ti.ID, fence.Done, nil, 0)
		}
	}
	attempts, _ := ta.Sweep(at(200), 1000)
	require.Equal(t, 1+50, attempts, "one is running, fifty are within deadline and grace")
	attempts, _ = ta.Sweep(at(10000), 1000)
	require.Equal(t, 1, attempts)
}

// Keys that are handed over are known to the next incarnation, without quarantine.
func TestPackRestore(t *testing.T) {
	ta := table()
	_, _, er := ta.Begin(at(0), ticket(1, "k"))
	require.Nil(t, er)
	_, err := ta.Pack()
	require.Error(t, err, "a key is running")
	ta.Finish(at(1), core.AttemptID{1}, fence.Done, "answer", 6)
	raw, err := ta.Pack()
	require.NoError(t, err)

	next := &fence.Table{Incarnation: 8, QuarantineUntil: at(1000)}
	require.NoError(t, next.Restore(raw))
	ti := ticket(2, "k")
	ti.Incarnation = 8
	_, _, er = next.Begin(at(2), ti)
	require.NotNil(t, er)
	require.Equal(t, core.Ran, er.Verdict)
	ti.ID, ti.Key = core.AttemptID{3}, "other"
	ad, _, er := next.Begin(at(2), ti)
	require.Nil(t, er)
	require.Equal(t, fence.Run, ad)
}

func TestOrders(t *testing.T) {
	or := fence.Orders{Incarnation: 5, Fenced: true}
	first, er := or.Next(start)
	require.Nil(t, er)
	_, er = or.Next(start)
	require.NotNil(t, er, "one order at a time")
	or.Done()
	second, er := or.Next(start)
	require.Nil(t, er)
	require.Greater(t, second, first)
	later := fence.Orders{Incarnation: 6, Fenced: true}
	third, er := later.Next(start)
	require.Nil(t, er)
	require.Greater(t, third, second, "the token of a later guard is higher")

	unfenced := fence.Orders{Incarnation: 6, MaxDuration: time.Second, Started: start}
	_, er = unfenced.Next(at(999))
	require.NotNil(t, er, "an order of the previous guard may still arrive")
	_, er = unfenced.Next(at(1000))
	require.Nil(t, er)
}

func ExampleTable() {
	now := time.Unix(0, 0)
	ta := &fence.Table{Incarnation: 1, Grace: time.Second}
	id := core.AttemptID{9}
	deadline := now.Add(5 * time.Second)
	fmt.Println(ta.Settle(now, id, 1, deadline))
	_, _, er := ta.Begin(now, fence.Ticket{ID: id, Incarnation: 1, Deadline: deadline})
	fmt.Println(er.Verdict, er.Code)
	// Output:
	// forbidden
	// not-run settled-not-run
}

func BenchmarkTable(b *testing.B) {
	for _, known := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(known), func(b *testing.B) {
			ta := &fence.Table{Incarnation: 1, Grace: time.Hour}
			for nu := range known {
				ta.Settle(start, id(nu), 1, at(50))
			}
			b.ResetTimer()
			for nu := range b.N {
				ti := fence.Ticket{ID: id(known + nu), Incarnation: 1, Deadline: at(50)}
				_, _, _ = ta.Begin(start, ti)
				_ = ta.Commit(start, ti.ID)
				ta.Finish(start, ti.ID, fence.Done, nil, 0)
			}
		})
	}
}

func id(number int) core.AttemptID {
	return core.AttemptID{byte(number), byte(number >> 8), byte(number >> 16), byte(number >> 24)}
}

// Sweep stops at its limit, however much has expired, so that no request waits for
// the sweep of a large table.
func TestSweepIsBounded(t *testing.T) {
	ta := table()
	for nu := range 1000 {
		ta.Settle(at(0), id(nu), 7, at(50))
	}
	attempts, _ := ta.Sweep(at(1000), 10)
	require.Equal(t, 990, attempts)
	for range 99 {
		attempts, _ = ta.Sweep(at(1000), 10)
	}
	require.Zero(t, attempts)
}

// A guard that has not chosen its incarnation yet must admit and forbid nothing:
// its first table is replaced, and with it everything that was recorded.
func TestTableWithoutIncarnation(t *testing.T) {
	ta := &fence.Table{Grace: time.Second}
	ti := ticket(1, "k")
	ti.Incarnation = 0
	_, _, er := ta.Begin(at(0), ti)
	require.NotNil(t, er)
	require.Equal(t, core.CodeOldIncarnation, er.Code)
	require.Equal(t, fence.Unknown, ta.Settle(at(0), core.AttemptID{2}, 0, at(50)))
	require.Equal(t, fence.Unknown, ta.SettleKey(at(0), "other", time.Second))
}
