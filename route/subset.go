package route

import (
	"math/rand/v2"
	"slices"
)

// Subset deals the targets out to the entries: each entry gets size of them,
// and each target the same number of entries within one. Entries are dealt in
// rounds. In a round, every target goes to exactly one entry, in an order
// shuffled by the round's number. Both lists must be sorted and the same at
// all entries; while they differ, the deal differs in the places concerned.
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
	place := at % perRound
	order := slices.Clone(targets)
	random := rand.New(rand.NewPCG(uint64(round), subsetSeed))
	random.Shuffle(len(order), func(lhs, rhs int) { order[lhs], order[rhs] = order[rhs], order[lhs] })
	first := place * len(order) / perRound
	last := (place + 1) * len(order) / perRound
	chosen := order[first:last]
	slices.Sort(chosen)
	return chosen
}

// subsetSeed is the second half of the seed of a round's shuffle.
const subsetSeed = 0x62696c6265727279
