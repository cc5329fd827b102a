package usage

import (
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"bilberryshelf/fake"
	"bilberryshelf/table"
)

// limitedRows refuses transactions with more than 100 entries, as the store does.
type limitedRows struct{ fake.Rows }

func (lr *limitedRows) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	if len(tx.Expect)+len(tx.Puts)+len(tx.Drops) > 100 {
		return 0, errors.New("more than 100 entries")
	}
	return lr.Rows.Commit(ctx, tx)
}

// Guards against counts that are never stored after a long outage, and old rows that are never
// deleted, since there are more of them than one transaction holds.
func TestTransactionsFitTheStore(t *testing.T) {
	const windows = 250
	rows, part := &limitedRows{}, Parts()[0]
	var co Counter
	for window := range uint64(windows) {
		co.Count(window+1, "w", fmt.Sprint(window))
	}
	for range 3 {
		changed := co.Changed()
		tx, err := CountsTx("e", changed)
		require.NoError(t, err)
		for at := range tx.Puts {
			tx.Puts[at].ID.Part = part
		}
		_, err = rows.Commit(t.Context(), tx)
		require.NoError(t, err)
		co.Written(changed)
	}
	require.Empty(t, co.Changed())
	rp := &Reporter{Store: rows}
	for range 3 {
		require.NoError(t, rp.dropCounts(t.Context(), part, windows+1))
	}
	page, err := rows.List(t.Context(), table.Range{Table: Table, Part: part})
	require.NoError(t, err)
	require.Empty(t, page.Rows)
}
