package fence

import (
	"container/heap"
	"time"

	"bilberryshelf/core"
)

// lapse is when an attempt or, if its name is set, a key is to be looked at
// for forgetting.
type lapse struct {
	at  time.Time
	id  core.AttemptID
	key string
}

// lapses is a queue by time. The zero value works.
type lapses struct {
	items lapseHeap
}

func (la *lapses) push(one lapse) { heap.Push(&la.items, one) }

// pop takes out the earliest one that is due.
func (la *lapses) pop(now time.Time) (lapse, bool) {
	if len(la.items) == 0 || !now.After(la.items[0].at) {
		return lapse{}, false
	}
	return heap.Pop(&la.items).(lapse), true
}

// lapseHeap is for container/heap.
type lapseHeap []lapse

func (lh lapseHeap) Len() int           { return len(lh) }
func (lh lapseHeap) Less(i, j int) bool { return lh[i].at.Before(lh[j].at) }
func (lh lapseHeap) Swap(i, j int)      { lh[i], lh[j] = lh[j], lh[i] }

// Push is for container/heap.
func (lh *lapseHeap) Push(one any) { *lh = append(*lh, one.(lapse)) }

// Pop is for container/heap.
func (lh *lapseHeap) Pop() any {
	old := *lh
	one := old[len(old)-1]
	*lh = old[:len(old)-1]
	return one
}
