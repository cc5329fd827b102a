package batch_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/fake"
)

// A job that another workspace submits under the same id, before its entry knows of the
// first one, does not overwrite the rows of a body that needs several transactions.
func TestAcceptKeepsBody(t *testing.T) {
	ctx := context.Background()
	le := batch.Ledger{Store: &fake.Rows{}}
	first, second := job(20, 50000), job(20, 50001)
	first.Workspace, second.Workspace = "red", "blue"
	_, err := le.Accept(ctx, first, batch.Head{Epoch: 1, Owner: "a", Total: 20, Workspace: "red"})
	require.NoError(t, err)
	vh, err := le.Accept(ctx, second, batch.Head{Epoch: 1, Owner: "b", Total: 20, Workspace: "blue"})
	require.True(t, errors.Is(err, batch.ErrSuperseded))
	require.Equal(t, "red", vh.Head.Workspace)
	require.False(t, vh.Head.MayAccess("blue"))
	body, err := le.Body(ctx, first.ID)
	require.NoError(t, err)
	require.Equal(t, first, body)
}

// The fields of a workspace take no bytes where there is none, and a job of an earlier
// release, without them, may be read by any workspace.
func TestWorkspaceFieldsAreOptional(t *testing.T) {
	he := batch.Head{Epoch: 1, Owner: "a"}
	jo := job(1, 1)
	plainHead, plainJob := len(batch.EncodeHead(he)), len(batch.EncodeJob(jo))
	require.True(t, he.MayAccess("red"))
	he.Workspace, jo.Workspace = "red", "red"
	require.Greater(t, len(batch.EncodeHead(he)), plainHead+len("red"))
	require.Greater(t, len(batch.EncodeJob(jo)), plainJob+len("red"))
	back, err := batch.DecodeHead(batch.EncodeHead(he))
	require.NoError(t, err)
	require.Equal(t, he, back)
}
