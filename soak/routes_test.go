package soak_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRouteSoak runs the soak while the route of the jobs changes again and again. Guards against
// accepted jobs that nobody runs on after their route was changed or removed and their owner ended.
func TestRouteSoak(t *testing.T) {
	soakBeside(t, usualMemory, 30, (*cluster).changeRoutes)
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
