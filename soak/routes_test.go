package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRouteSoak runs the soak while the route of the jobs changes again and again. Guards against
// accepted jobs that nobody runs on after their route was changed or removed and their owner ended.
func TestRouteSoak(t *testing.T) {
	for at := range *seeds {
		seed := *fromSeed + uint64(at)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			cl := newCluster(t, binary, usualMemory)
			violations := runScenarioBeside(t, cl, seed, faultKindCount, func(ctx context.Context) {
				cl.changeRoutes(ctx, rand.New(rand.NewPCG(seed, 30)))
			})
			require.Empty(t, violations)
		})
	}
}

// changeRoutes changes the route of the jobs until ctx ends, and then restores it.
func (cl *cluster) changeRoutes(ctx context.Context, rng *rand.Rand) {
	defer cl.setTrainRoute(trainRoute{})
	for ctx.Err() == nil {
		time.Sleep(time.Duration(300+rng.IntN(1700)) * time.Millisecond)
		tr := []trainRoute{{}, {prefix: "/train-2/"}, {name: "learn"}, {name: "learn", prefix: "/train-2/"}, {removed: true}}[rng.IntN(5)]
		cl.t.Logf("route of the jobs: %+v", tr)
		cl.setTrainRoute(tr)
	}
}
