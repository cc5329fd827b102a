package batch_test

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bilberryshelf/batch"
	"bilberryshelf/fake"
	"bilberryshelf/table"
)

func job(items, size int) *batch.Job {
	jo := &batch.Job{ID: "j1", Host: "h", Path: "/p/", Model: "m", MinVersion: 1, RequiredGroups: 1}
	for at := range items {
		jo.Items = append(jo.Items, batch.Item{ID: "i" + strconv.Itoa(at), Path: "/p/x", Group: "g", Body: make([]byte, size)})
	}
	return jo
}

func results(from, count, size int) []batch.Result {
	var out []batch.Result
	for at := from; at < from+count; at++ {
		out = append(out, batch.Result{
			ID: "i" + strconv.Itoa(at), State: batch.Completed, Text: strings.Repeat("x", size), Versions: []uint64{1}, Score: "s",
		})
	}
	return out
}

func accept(t *testing.T, le batch.Ledger, jo *batch.Job) batch.VersionedHead {
	t.Helper()
	vh, err := le.Accept(context.Background(), jo, batch.Head{Epoch: 1, Owner: "a", Total: len(jo.Items)})
	require.NoError(t, err)
	return vh
}

// A job is accepted completely and only once, even if responses of the store are lost.
func TestAccept(t *testing.T) {
	ctx := context.Background()
	for _, tc := range []struct {
		name   string
		faults fake.RowFaults
		err    error
		kept   bool
	}{
		{"healthy", fake.RowFaults{}, nil, true},
		{"the response is lost", fake.RowFaults{LoseAnswers: 1}, nil, true},
		{"the store refuses", fake.RowFaults{Refuse: true}, table.ErrRefused, false},
		{"the write takes effect late", fake.RowFaults{DelayedWrites: 1, WriteDelay: time.Hour}, batch.ErrOutcomeUnknown, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rows := &fake.Rows{}
			le := batch.Ledger{Store: rows}
			rows.Set(tc.faults)
			_, err := le.Accept(ctx, job(20, 100), batch.Head{Epoch: 1, Owner: "a", Total: 20})
			require.True(t, errors.Is(err, tc.err))
			rows.Set(fake.RowFaults{})
			vh, err := le.Find(ctx, "j1")
			require.NoError(t, err)
			require.Equal(t, tc.kept, vh.Version > 0)
			if !tc.kept {
				return
			}
			body, err := le.Body(ctx, "j1")
			require.NoError(t, err)
			require.Equal(t, job(20, 100), body)
			_, err = le.Accept(ctx, job(20, 100), batch.Head{Epoch: 1, Owner: "b", Total: 20})
			require.True(t, errors.Is(err, batch.ErrSuperseded), "the job was accepted before")
		})
	}
}

// A job that exceeds one transaction is written in several, the head with the last.
func TestLargeJob(t *testing.T) {
	rows := &fake.Rows{}
	le := batch.Ledger{Store: rows}
	big := job(40, 60000)
	accept(t, le, big)
	require.Greater(t, rows.Commits(), 1)
	body, err := le.Body(context.Background(), "j1")
	require.NoError(t, err)
	require.Equal(t, big, body)
}

// Guards against an accepted job that cannot be read: from 100 rows on, the keys of its rows
// do not sort in their order and are longer. Covers the largest body that the platform's
// clients may send, 32 MiB.
func TestBodyOfManyRows(t *testing.T) {
	const rowBytes = 60000
	for _, count := range []int{1, 2, 98, 99, 100, 101, 146, 560} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			le := batch.Ledger{Store: &fake.Rows{}}
			jo := job(1, count*rowBytes-1000)
			require.Len(t, batch.BodyPuts(jo), count)
			accept(t, le, jo)
			body, err := le.Body(context.Background(), jo.ID)
			require.NoError(t, err)
			require.Equal(t, jo, body)
		})
	}
}

// The same for a partial text.
func TestPartialOfManyRows(t *testing.T) {
	le := batch.Ledger{Store: &fake.Rows{}}
	long := batch.Partial{ID: "i.1", Events: []string{strings.Repeat("x", 7000000)}, Versions: []uint64{3}, Step: 1}
	short := batch.Partial{ID: "i", Events: []string{"y"}, Versions: []uint64{3}, Step: 1}
	_, err := le.SavePartials(context.Background(), "r", []batch.Partial{long, short})
	require.NoError(t, err)
	got, err := le.Partials(context.Background(), "r", 1, func(string) bool { return true })
	require.NoError(t, err)
	require.Len(t, got, 2)
	require.Equal(t, long.Events, got[long.ID].Events)
	require.Equal(t, short.Events, got[short.ID].Events)
	require.Greater(t, len(got[long.ID].Rows), 100)
}

// A body is read whatever the order of its rows, and not if one is missing. Rows of a text
// that was replaced by one with more rows do not hide other texts.
func TestRowOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		jo := job(rapid.IntRange(1, 130).Draw(rt, "items"), 59000)
		var rows []table.Row
		for _, pu := range batch.BodyPuts(jo) {
			rows = append(rows, table.Row{ID: pu.ID, Value: pu.Value})
		}
		rows = rapid.Permutation(rows).Draw(rt, "rows")
		body, err := batch.DecodeBodyRows(rows)
		require.NoError(rt, err)
		require.Equal(rt, jo, body)
		_, err = batch.DecodeBodyRows(rows[1:])
		require.Error(rt, err)
	})
	var rows []table.Row
	for _, size := range []int{70000, 130000} {
		replaced := batch.Partial{ID: "i1", Events: []string{strings.Repeat("x", size)}, Versions: []uint64{3}}
		for _, pu := range batch.PartialPuts("r", replaced) {
			rows = append(rows, table.Row{ID: pu.ID, Value: pu.Value})
		}
	}
	for _, pu := range batch.PartialPuts("r", batch.Partial{ID: "i2", Events: []string{"y"}, Versions: []uint64{3}}) {
		rows = append(rows, table.Row{ID: pu.ID, Value: pu.Value})
	}
	slices.SortFunc(rows, func(lhs, rhs table.Row) int { return strings.Compare(lhs.ID.Key, rhs.ID.Key) })
	got, err := batch.DecodePartials(rows)
	require.NoError(t, err)
	require.Len(t, got["i1"].Events[0], 130000)
	require.Equal(t, []string{"y"}, got["i2"].Events)
}

// Results keep the position at which they were first listed. This guards against
// retries, late writes and writes of a previous owner that list a result again.
func TestAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &fake.Rows{}
		le := batch.Ledger{Store: rows}
		ctx := context.Background()
		vh := accept(t, le, job(30, 10))

		ap, count := batch.NewAppend("j1", vh, results(0, 5, 100))
		require.Equal(t, 5, count)
		rows.Set(fake.RowFaults{LoseAnswers: 1})
		vh, err := le.Commit(ctx, ap)
		require.NoError(t, err, "the lost response is settled by reading the head")
		require.Equal(t, 5, vh.Head.Listed)

		late, _ := batch.NewAppend("j1", vh, results(5, 3, 100))
		rows.Set(fake.RowFaults{DelayedWrites: 1, WriteDelay: 3 * time.Second})
		_, err = le.Commit(ctx, late)
		require.True(t, errors.Is(err, batch.ErrOutcomeUnknown))
		vh, err = le.Commit(ctx, late)
		require.NoError(t, err)
		time.Sleep(4 * time.Second) // the late write fails: the head has another version
		require.Equal(t, 8, vh.Head.Listed)

		previous := vh
		vh, err = le.Adopt(ctx, "j1", vh, "b")
		require.NoError(t, err)
		ap, _ = batch.NewAppend("j1", previous, results(20, 2, 100))
		_, err = le.Commit(ctx, ap)
		require.True(t, errors.Is(err, batch.ErrSuperseded), "a previous owner writes nothing")

		vh, err = le.End(ctx, "j1", vh)
		require.NoError(t, err)
		require.False(t, vh.Head.Open())
		listed, err := le.Results(ctx, "j1", 0)
		require.NoError(t, err)
		require.Equal(t, results(0, 8, 100), listed)
		listed, err = le.Results(ctx, "j1", 6)
		require.NoError(t, err)
		require.Equal(t, results(6, 2, 100), listed)
	})
}

// Texts of any size are read back unchanged and in order, and no transaction exceeds
// the store's limits.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rows := &fake.Rows{}
		le := batch.Ledger{Store: rows}
		ctx := context.Background()
		count := rapid.IntRange(1, 40).Draw(rt, "count")
		vh, err := le.Accept(ctx, job(count, 1), batch.Head{Epoch: 1, Total: count})
		require.NoError(rt, err)
		var all []batch.Result
		for at := range count {
			all = append(all, results(at, 1, rapid.SampledFrom([]int{0, 1, 59990, 60000, 60100, 130000, 400000}).Draw(rt, "size"))...)
		}
		for left := all; len(left) > 0; {
			ap, taken := batch.NewAppend("j1", vh, left)
			bytes := 0
			for _, pu := range ap.Puts {
				require.LessOrEqual(rt, len(pu.Value), 65536)
				bytes += len(pu.Value)
			}
			require.LessOrEqual(rt, len(ap.Puts), 98)
			require.Less(rt, bytes*4/3, 1000000)
			vh, err = le.Commit(ctx, ap)
			require.NoError(rt, err)
			left = left[taken:]
		}
		var got []batch.Result
		for len(got) < len(all) { // the store returns the results in pages
			page, err := le.Results(ctx, "j1", len(got))
			require.NoError(rt, err)
			require.NotEmpty(rt, page)
			got = append(got, page...)
		}
		require.Equal(rt, all, got)
	})
}

// Partial texts can be read by another owner and are deleted once they are stale. A
// text of which only some rows were replaced is omitted.
func TestPartials(t *testing.T) {
	ctx := context.Background()
	rows := &fake.Rows{}
	le := batch.Ledger{Store: rows}
	all := func(string) bool { return true }
	text := func(mark string, size int) batch.Partial {
		return batch.Partial{ID: "i1", Events: []string{strings.Repeat(mark, size)}, Versions: []uint64{3}, Step: 1}
	}
	second := batch.Partial{ID: "i2", Events: []string{"b"}, Versions: []uint64{4}, Step: 5}
	rowIDs, err := le.SavePartials(ctx, "r", []batch.Partial{text("a", 70000), second})
	require.NoError(t, err)
	require.Len(t, rowIDs["i1"], 2)
	mixed := batch.PartialPuts("r", text("c", 70000))
	_, err = rows.Commit(ctx, table.Tx{Puts: mixed[:1]})
	require.NoError(t, err)
	got, err := le.Partials(ctx, "r", 2, all)
	require.NoError(t, err)
	require.Len(t, got, 1)
	require.Equal(t, second.Events, got["i2"].Events)

	longer := text("d", 130000)
	longer.Rows = rowIDs["i1"]
	rowIDs, err = le.SavePartials(ctx, "r", []batch.Partial{longer})
	require.NoError(t, err)
	require.Len(t, rowIDs["i1"], 3)
	got, err = le.Partials(ctx, "r", 2, func(id string) bool { return id == "i1" })
	require.NoError(t, err)
	require.Equal(t, longer.Events, got["i1"].Events)
	require.Equal(t, rowIDs["i1"], got["i1"].Rows, "the rows of the earlier write are deleted, none is left")

	got, err = le.Partials(ctx, "r", 9, func(string) bool { return false })
	require.NoError(t, err)
	require.Empty(t, got)
	got, err = le.Partials(ctx, "r", 9, all)
	require.NoError(t, err)
	require.Empty(t, got, "texts of steps long ago are deleted")
	require.True(t, batch.Partial{Events: []string{"x"}, Versions: []uint64{3}}.Permitted(3))
	require.False(t, batch.Partial{Events: []string{"x"}, Versions: []uint64{2}}.Permitted(3))
}

// Deleting a job deletes all of its rows and none of a job whose id has the same
// prefix.
func TestDelete(t *testing.T) {
	ctx := context.Background()
	rows := &fake.Rows{}
	le := batch.Ledger{Store: rows}
	vh := accept(t, le, job(30, 60000))
	ap, _ := batch.NewAppend("j1", vh, results(0, 5, 70000))
	vh, err := le.Commit(ctx, ap)
	require.NoError(t, err)
	other := job(2, 10)
	other.ID = "j10" // has the deleted id as its prefix
	accept(t, le, other)
	_, err = le.SavePartials(ctx, "j1", []batch.Partial{{ID: "i9", Events: []string{"x"}, Versions: []uint64{1}}})
	require.NoError(t, err)
	require.NoError(t, le.Seal(ctx, "j1"))
	require.NoError(t, le.Delete(ctx, "j1", vh))
	seals, err := rows.List(ctx, table.Range{Table: batch.SealTable, Part: batch.Part("j1")})
	require.NoError(t, err)
	require.Empty(t, seals.Rows)
	vh, err = le.Find(ctx, "j1")
	require.NoError(t, err)
	require.Zero(t, vh.Version)
	for _, name := range []string{batch.BodyTable, batch.ResultTable, batch.PartialTable} {
		for _, part := range append(batch.Parts(), "j1") {
			page, err := rows.List(ctx, table.Range{Table: name, Part: part, From: "j1/", To: "j10"})
			require.NoError(t, err)
			require.Empty(t, page.Rows, name)
		}
	}
	body, err := le.Body(ctx, "j10")
	require.NoError(t, err)
	require.Equal(t, other, body)
}

// Guards against results that cannot be read because one of them, or a partial text, holds
// bytes that are not UTF-8. Earlier releases stored such texts and scores.
func TestTextsThatAreNotUTF8(t *testing.T) {
	ctx := context.Background()
	le := batch.Ledger{Store: &fake.Rows{}}
	vh := accept(t, le, job(3, 10))
	all := results(0, 3, 10)
	all[1].Text, all[2].Score = "a\xffb", "\xc3"
	ap, count := batch.NewAppend("j1", vh, all)
	require.Equal(t, 3, count)
	_, err := le.Commit(ctx, ap)
	require.NoError(t, err)
	got, err := le.Results(ctx, "j1", 0)
	require.NoError(t, err)
	require.Equal(t, all, got)

	sound := batch.Partial{ID: "i1", Events: []string{"a", "b"}, Versions: []uint64{3, 3}}
	spoilt := batch.Partial{ID: "i2", Events: []string{"a", "\xe2\x82"}, Versions: []uint64{3, 3}}
	_, err = le.SavePartials(ctx, "r", []batch.Partial{spoilt, sound})
	require.NoError(t, err)
	texts, err := le.Partials(ctx, "r", 1, func(string) bool { return true })
	require.NoError(t, err)
	require.Len(t, texts, 1)
	require.Equal(t, sound.Events, texts["i1"].Events)
}

func TestValidate(t *testing.T) {
	for name, corrupt := range map[string]func(*batch.Job){
		"no id":       func(jo *batch.Job) { jo.ID = "" },
		"long id":     func(jo *batch.Job) { jo.ID = strings.Repeat("j", batch.MaxIDBytes+1) },
		"odd id":      func(jo *batch.Job) { jo.ID = "j\xff" },
		"no items":    func(jo *batch.Job) { jo.Items = nil },
		"twice":       func(jo *batch.Job) { jo.Items[1].ID = jo.Items[0].ID },
		"no path":     func(jo *batch.Job) { jo.Items[0].Path = "" },
		"no item id":  func(jo *batch.Job) { jo.Items[0].ID = "" },
		"nothing bad": nil,
	} {
		jo := job(2, 1)
		if corrupt == nil {
			require.NoError(t, jo.Validate())
			continue
		}
		corrupt(jo)
		require.Error(t, jo.Validate(), name)
	}
}

// Guards against a result that no transaction holds: it would hold up all others of its job.
func TestLargestResultFits(t *testing.T) {
	re := batch.Result{ID: strings.Repeat("i", batch.MaxIDBytes), State: batch.Completed, Text: strings.Repeat("x", batch.MaxTextBytes), Versions: []uint64{1, 2}}
	require.True(t, re.Fits())
	for name, tooLarge := range map[string]batch.Result{
		"text":     {State: batch.Completed, Text: re.Text + strings.Repeat("x", 4*batch.MaxScoreBytes)},
		"versions": {State: batch.Completed, Text: re.Text, Versions: make([]uint64, 2000)},
	} {
		require.False(t, tooLarge.Fits(), name)
	}
	re.Score = strings.Repeat("s", batch.MaxScoreBytes)
	ap, count := batch.NewAppend("j1", batch.VersionedHead{}, []batch.Result{re})
	require.Equal(t, 1, count)
	const (
		maxCall    = 1_000_000 // the store's limit of a call
		base64Size = 4.0 / 3
		rowNames   = 500
	)
	size := 0
	for _, pu := range ap.Puts {
		size += int(base64Size*float64(len(pu.Value))) + rowNames
	}
	require.Less(t, size, maxCall)
}

// Guards against an end that loses each race with an owner that writes all the time: once a job
// is sealed, every other write of its head fails, whatever version it expects.
func TestSeal(t *testing.T) {
	ctx := context.Background()
	le := batch.Ledger{Store: &fake.Rows{}}
	vh := accept(t, le, job(4, 10))
	stale := vh
	ap, _ := batch.NewAppend("j1", vh, results(0, 1, 10))
	vh, err := le.Commit(ctx, ap)
	require.NoError(t, err)
	require.NoError(t, le.Seal(ctx, "j1"))
	require.NoError(t, le.Seal(ctx, "j1"), "again")

	ap, _ = batch.NewAppend("j1", vh, results(1, 1, 10))
	have, err := le.Commit(ctx, ap)
	require.True(t, errors.Is(err, batch.ErrSealed), err)
	require.Equal(t, vh, have)
	_, err = le.Adopt(ctx, "j1", vh, "b")
	require.True(t, errors.Is(err, batch.ErrSealed), err)
	_, err = le.End(ctx, "j1", stale)
	require.True(t, errors.Is(err, batch.ErrSuperseded), err)

	ended, err := le.End(ctx, "j1", vh)
	require.NoError(t, err)
	require.True(t, ended.Head.Ended)
	listed, err := le.Results(ctx, "j1", 0)
	require.NoError(t, err)
	require.Len(t, listed, 1, "nothing is listed after the seal")
}
