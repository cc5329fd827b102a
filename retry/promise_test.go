package retry_test

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	long   = flag.Int("long", 0, "number of further seeds for the model")
	search = flag.Bool("search", false, "search for seeds that show the mutants")
)

const (
	modelSteps = 150
	// maxSeeds bounds the search for a seed that shows a mutant.
	maxSeeds = 20000
)

func seeded(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(_ string, below int) int { return random.IntN(below) }
}

// P4, P5 and P6 hold whatever arrives, is lost, or dies.
func TestPromisesHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string, below int) int { return rapid.IntRange(0, below-1).Draw(rt, label) }
		if fault := simulate(mutant{}, modelSteps, draw); fault != "" {
			rt.Fatalf("%s", fault)
		}
	})
}

// The same over fixed seeds, of which -long adds more.
func TestPromisesHoldOverSeeds(t *testing.T) {
	for seed := range uint64(3000 + *long) {
		require.Empty(t, simulate(mutant{}, modelSteps, seeded(seed)), "seed %d", seed)
	}
}

// Each part of the design is needed: without it the recorded seed breaks a
// promise, which the whole design keeps at the same seed.
func TestMutantsAreDetected(t *testing.T) {
	for _, tc := range []struct {
		name   string
		mutant mutant
		seed   uint64
		fault  string
	}{
		{"no-settle", mutant{noSettle: true}, 0, "call 1 was refused as not run and ran"},
		{"no-tombstone", mutant{noTombstone: true}, 518, "call 0 ran 2 times"},
		{"no-deadline", mutant{noDeadline: true}, 34, "call 2 was refused as not run and ran"},
		{"no-keys", mutant{noKeys: true}, 3, "call 1 ran 2 times"},
		{"no-quarantine", mutant{noQuarantine: true}, 103, "call 3 ran 2 times"},
		{"no-commit-check", mutant{noCommit: true}, 0, "call 1 started after its deadline"},
		{"late-settle", mutant{lateSettle: true}, 3278, "call 2 was refused as not run and ran"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.fault, simulate(tc.mutant, modelSteps, seeded(tc.seed)))
			require.Empty(t, simulate(mutant{}, modelSteps, seeded(tc.seed)))
		})
	}
}

// TestSearchMutants finds the first seed that shows each mutant; it is asked
// for with -search after a change of the model.
func TestSearchMutants(t *testing.T) {
	if !*search {
		t.Skip("not asked for")
	}
	for name, mu := range map[string]mutant{
		"no-settle": {noSettle: true}, "no-tombstone": {noTombstone: true}, "no-deadline": {noDeadline: true},
		"no-keys": {noKeys: true}, "no-quarantine": {noQuarantine: true}, "no-commit-check": {noCommit: true}, "late-settle": {lateSettle: true},
	} {
		for seed := range uint64(maxSeeds) {
			if fault := simulate(mu, modelSteps, seeded(seed)); fault != "" {
				t.Logf("%s: seed %d: %s", name, seed, fault)
				break
			}
		}
	}
}
