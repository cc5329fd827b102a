package route

import (
	"math/rand/v2"
	"slices"
)

// Subset returns the targets that an entry uses (deterministic subsetting): about size
// of them, so that the numbers of entries per target differ by at most one. Entries are
// assigned in rounds. In each round every target is assigned to exactly one entry, in an
// order shuffled with the round's number as seed. Both lists must be sorted and the same
// at all entries; while they differ, so do the subsets that depend on the difference.
func Subset(targets, entries []string, entry string, size int) []string {
	if size <= 0 || size >= len(targets) {
		return targets
	}
	at, found := slices.BinarySearch(entries, entry)
	if !found {
		at = 0
	}
	perRound := max(len(targets)/size, 1)
	round := at / perRound
	slot := at % perRound
	order := slices.Clone(targets)
	random := rand.New(rand.NewPCG(uint64(round), subsetSeed))
	random.Shuffle(len(order), func(lhs, rhs int) { order[lhs], order[rhs] = order[rhs], order[lhs] })
	first := slot * len(order) / perRound
	last := (slot + 1) * len(order) / perRound
	chosen := order[first:last]
	slices.Sort(chosen)
	return chosen
}

// subsetSeed is the second half of the seed of the shuffles; the first is the round.
const subsetSeed = 0x62696c6265727279
