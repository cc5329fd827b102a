package batch_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
)

// Guards against a value of a route that is lost when a job is stored or handed over.
func TestTerms(t *testing.T) {
	route := conf.Route{
		Name: "train", Host: "h", Prefix: "/train/", Kind: conf.Rollout, Shares: []conf.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}},
		Timeout: time.Second, TargetLatency: 2 * time.Second, Deadline: 3 * time.Second, ItemTTL: 4 * time.Second, Attempts: 5, Priority: 6,
		SingleVersion: true, Public: true,
	}
	terms := batch.NewTerms(route)
	jo := &batch.Job{ID: "j", Host: "h", Path: "/train/x", Items: []batch.Item{{ID: "i", Path: "/i"}}, Terms: &terms, Scorers: []batch.Terms{
		{Host: "h", Prefix: "/score/", Shares: []batch.Share{{Service: "a"}}},
		{Host: "h", Prefix: "/score/long/", Shares: []batch.Share{{Service: "b"}}},
	}}
	got, err := batch.DecodeJob(batch.EncodeJob(jo))
	require.NoError(t, err)
	require.Equal(t, route, got.Terms.Route())
	require.Equal(t, jo, got)
	for path, service := range map[string]string{"/score/x": "a", "/score/long/x": "b", "/other/x": ""} {
		te, found := got.ScorerTerms(batch.Scorer{Host: "h", Path: path})
		require.Equal(t, service != "", found, path)
		if found {
			require.Equal(t, service, te.Shares[0].Service)
		}
	}
}

// Guards against a job or a head of the release before that cannot be read during a rolling
// upgrade, and against the release before being unable to read those of this one.
func TestJobOfEarlierRelease(t *testing.T) {
	type job struct {
		ID    string       `cbor:"1,keyasint"`
		Host  string       `cbor:"2,keyasint"`
		Path  string       `cbor:"3,keyasint"`
		Items []batch.Item `cbor:"8,keyasint"`
	}
	type head struct {
		Epoch uint64 `cbor:"1,keyasint"`
		Route string `cbor:"10,keyasint"`
	}
	earlier := job{ID: "j", Host: "h", Path: "/train/x", Items: []batch.Item{{ID: "i", Path: "/i"}}}
	raw, err := cbor.Marshal(earlier)
	require.NoError(t, err)
	jo, err := batch.DecodeJob(raw)
	require.NoError(t, err)
	require.Nil(t, jo.Terms)
	require.False(t, jo.Terms.Valid())
	terms := batch.NewTerms(conf.Route{Name: "train"})
	jo.Terms, jo.Scorers = &terms, []batch.Terms{terms}
	var back job
	require.NoError(t, cbor.Unmarshal(batch.EncodeJob(jo), &back))
	require.Equal(t, earlier, back)

	raw, err = cbor.Marshal(head{Epoch: 3, Route: "train"})
	require.NoError(t, err)
	he, err := batch.DecodeHead(raw)
	require.NoError(t, err)
	require.Equal(t, batch.Head{Epoch: 3, Route: "train"}, he)
	he.Public, he.SubmittedTo = true, batch.SubmittedTo("h", "/train/x")
	var headBack head
	require.NoError(t, cbor.Unmarshal(batch.EncodeHead(he), &headBack))
	require.Equal(t, head{Epoch: 3, Route: "train"}, headBack)
}
