package soak_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSoakMemory is the memory of a process in MiB, that of the smallest machine in use.
	crowdSoakMemory = 112
	// crowdsAtOnce is the most crowds that run at a time.
	crowdsAtOnce = 3
)

// TestCrowdSoak runs the soak beside crowds of clients that ignore the limits. All promises must
// hold, no process may end by itself, and each must stay within its memory.
func TestCrowdSoak(t *testing.T) {
	if !*runCrowds {
		t.Skip("run apart from other load: go test ./soak -run TestCrowd -args -crowd")
	}
	soakBeside(t, crowdSoakMemory, 20, (*cluster).sendCrowds)
}

// sendCrowds runs random crowds against random entries until ctx ends.
func (cl *cluster) sendCrowds(ctx context.Context, rng *rand.Rand) {
	kinds := slices.Sorted(maps.Keys(crowds))
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { cl.watchMemory(ctx) })
	places := make(chan struct{}, crowdsAtOnce)
	for ctx.Err() == nil {
		kind, addrs := kinds[rng.IntN(len(kinds))], cl.addrs[rng.IntN(entryCount)]
		addr := addrs[0]
		if rng.IntN(4) == 0 {
			addr = addrs[rng.IntN(len(addrs))]
		}
		cr, span := crowds[kind], time.Duration(500+rng.IntN(2500))*time.Millisecond
		cr.connections = 1 + rng.IntN(cr.connections)
		cl.t.Logf("crowd of %d %s at %s for %v", cr.connections, kind, addr, span)
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			cr.run(addr, span)
		})
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
	}
}

// watchMemory records a violation for each process that exceeds its memory.
func (cl *cluster) watchMemory(ctx context.Context) {
	exceeded := map[int64]bool{}
	for ctx.Err() == nil {
		for _, pr := range append(slices.Clone(cl.entries), cl.guards...) {
			pid := pr.pid.Load()
			peak, err := pr.peakMemory()
			if err != nil || exceeded[pid] || peak <= cl.memory<<20 {
				continue // a process that is being restarted has no memory
			}
			exceeded[pid] = true
			cl.recordViolation("%s took %d MiB of %d", pr.name, peak>>20, cl.memory)
		}
		time.Sleep(200 * time.Millisecond)
	}
}
