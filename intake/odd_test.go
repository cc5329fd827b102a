package intake_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/duty"
	"bilberryshelf/member"
	"bilberryshelf/order"
	"bilberryshelf/origin"
	"bilberryshelf/poison"
	"bilberryshelf/table"
	"bilberryshelf/usage"
)

// oddValues are values that no part of the system writes.
func oddValues(t *testing.T, rng *rand.Rand) [][]byte {
	t.Helper()
	values := [][]byte{
		nil,
		{},
		[]byte("text"), []byte("{}"),
		{0xff},
		{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		{0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		[]byte(strings.Repeat("\x81", 30000)), []byte(strings.Repeat("\xa1\x01", 15000)), []byte(strings.Repeat("[", 60000)), []byte("\xa1\x01\x62\xc3\x28"), make([]byte, 65536),
	}
	fields := []any{
		uint64(math.MaxUint64), int64(math.MinInt64), int64(math.MaxInt64), -1, 0, 1, math.NaN(), math.Inf(1), true, "", "x", "lm1", strings.Repeat("n", 3000),
		[]byte("raw"),
		[]string{"a"},
		[]uint64{1, math.MaxUint64},
		map[int]any{1: "a", 2: "b", 3: "c"},
		map[string]uint64{"w": math.MaxUint64},
		cbor.ByteString("\xff\xff"), nil,
	}
	for range 60 {
		odd := map[int]any{}
		for key := 1; key <= 12; key++ {
			if rng.IntN(3) > 0 {
				odd[key] = fields[rng.IntN(len(fields))]
			}
		}
		raw, err := cbor.Marshal(odd)
		require.NoError(t, err)
		values = append(values, raw)
	}
	// Rows of the right types with odd contents.
	for _, record := range []any{
		batch.Head{Epoch: math.MaxUint64, Owner: "nobody", Total: math.MaxInt, Listed: -1, Submitted: math.MaxInt64, Route: "train"},
		batch.Head{Owner: "nobody", Total: -5, Listed: 7, Submitted: math.MinInt64, Route: "no-route"},
		member.Record{Name: "ghost", Addr: ":0", Heartbeat: math.MaxUint64, Limits: "\xff", Load: "\xff", Offset: math.MinInt64},
		member.Record{Name: "", Addr: "ghost:1", Limits: "\x80"},
		order.Row{Model: strings.Repeat("m", 50000), Holder: "nobody"},
		duty.Row{Holder: "nobody", Token: math.MaxUint64, Renewals: math.MaxUint64},
		origin.Place{Route: "chat", Service: "none", Software: strings.Repeat("v", 40000)},
		origin.Stored{Place: origin.Place{Route: "none"}, Expires: math.MaxInt64},
		usage.Report{Counts: usage.Counts{"w": math.MaxUint64}, Rows: -1, SentAt: math.MinInt64},
	} {
		raw, err := cbor.Marshal(record)
		require.NoError(t, err)
		values = append(values, raw)
	}
	return values
}

// writeOddRows writes rows with odd keys and values to all tables.
func (cl *cluster) writeOddRows(rng *rand.Rand) {
	tables := []string{
		operatorTable, targetTable, batch.HeadTable, batch.BodyTable, batch.ResultTable, batch.PartialTable, member.Table, order.Table, poison.Table,
		origin.PlaceTable, origin.OriginTable, duty.Table, usage.Table,
	}
	parts := append(batch.Parts(), "", "train", "odd")
	keys := []string{"odd/%d", "odd-%d.00.01", "0000000000000000/0000000000000000/odd%d", "%d", "odd\x00%d", "odd%d/body.00.01", "chat/none/%d", strings.Repeat("k", 190) + "%d", "odd%d/00000000.00.02"}
	for _, name := range tables {
		for at, value := range oddValues(cl.t, rng) {
			id := table.ID{Table: name, Part: parts[rng.IntN(len(parts))], Key: fmt.Sprintf(keys[rng.IntN(len(keys))], at)}
			_, err := cl.rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: id, Value: value}}})
			require.NoError(cl.t, err)
		}
	}
}

// Guards against entries that end, or stop to follow a table, because of an odd row in it. Rows
// of every table are odd while entries run and when they start; jobs, calls and streams go on,
// and a target that joins later is used.
func TestOddRowsOfAllTables(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				cl := newCluster(t, 3)
				defer cl.stop()
				before := job("before", 3)
				require.Nil(t, cl.submit(0, before))
				cl.writeOddRows(rng)
				time.Sleep(6 * time.Second)
				cl.requireComplete(1, before)
				cl.requireServes(0, "running")

				cl.kill(0, 1, 2)
				for node := range 3 {
					cl.start(node)
				}
				time.Sleep(5 * time.Second)
				cl.requireServes(1, "started")
				cl.requireComplete(2, before)

				for _, id := range []string{"desk1", "desk2"} {
					cl.drop(targetTable, id)
				}
				cl.put(targetTable, "desk7")
				time.Sleep(5 * time.Second)
				cl.requireServes(2, "joined")
			})
		})
	}
}

// requireServes checks that an entry serves a job, calls and a stream.
func (cl *cluster) requireServes(node int, name string) {
	cl.t.Helper()
	jo := job(name, 3)
	require.Nil(cl.t, cl.submit(node, jo))
	for at := range 20 {
		require.Nil(cl.t, cl.tryCall(node, fmt.Sprint(name, "-", at)), "call %d", at)
	}
	ca := &caller{cluster: cl}
	require.True(cl.t, ca.stream(name+"-stream"), "%v", ca.refusal)
	time.Sleep(10 * time.Second)
	cl.requireComplete(node, jo)
}
