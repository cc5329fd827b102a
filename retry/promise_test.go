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
	search = flag.Bool("search", false, "search for seeds that detect the mutants")
)

const (
	modelSteps = 150
	// maxSeeds bounds the search for a seed that detects a mutant.
	maxSeeds = 20000
)

func seeded(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(_ string, below int) int { return random.IntN(below) }
}

// P4, P5 and P6 hold for any order of messages, losses and crashes.
func TestPromisesHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string, below int) int { return rapid.IntRange(0, below-1).Draw(rt, label) }
		if violation := simulate(mutant{}, modelSteps, draw); violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
}

// P4, P5 and P6 hold at fixed seeds, of which -long adds more.
func TestPromisesHoldOverSeeds(t *testing.T) {
	for seed := range uint64(3000 + *long) {
		require.Empty(t, simulate(mutant{}, modelSteps, seeded(seed)), "seed %d", seed)
	}
}

// Each rule of the design is needed: without it the model violates a promise at the
// recorded seed, and with all rules it does not.
func TestMutantsAreDetected(t *testing.T) {
	for _, tc := range []struct {
		name      string
		mutant    mutant
		seed      uint64
		violation string
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
			require.Equal(t, tc.violation, simulate(tc.mutant, modelSteps, seeded(tc.seed)))
			require.Empty(t, simulate(mutant{}, modelSteps, seeded(tc.seed)))
		})
	}
}

// TestSearchMutants finds the first seed that detects each mutant. Run it with
// -search after a change of the model.
func TestSearchMutants(t *testing.T) {
	if !*search {
		t.Skip("-search is not set")
	}
	for name, mu := range map[string]mutant{
		"no-settle": {noSettle: true}, "no-tombstone": {noTombstone: true}, "no-deadline": {noDeadline: true},
		"no-keys": {noKeys: true}, "no-quarantine": {noQuarantine: true}, "no-commit-check": {noCommit: true}, "late-settle": {lateSettle: true},
	} {
		for seed := range uint64(maxSeeds) {
			if violation := simulate(mu, modelSteps, seeded(seed)); violation != "" {
				t.Logf("%s: seed %d: %s", name, seed, violation)
				break
			}
		}
	}
}
