package fence

import (
	"container/heap"
	"time"

	"bilberryshelf/core"
)

// expiry is when an attempt or, if its name is set, a key is to be looked at
// for forgetting.
type expiry struct {
	at  time.Time
	id  core.AttemptID
	key string
}

// expiryQueue is a queue by time. The zero value works.
type expiryQueue struct {
	items expiryHeap
}

func (la *expiryQueue) push(one expiry) { heap.Push(&la.items, one) }

// pop takes out the earliest one that is due.
func (la *expiryQueue) pop(now time.Time) (expiry, bool) {
	if len(la.items) == 0 || !now.After(la.items[0].at) {
		return expiry{}, false
	}
	return heap.Pop(&la.items).(expiry), true
}

// expiryHeap is for container/heap.
type expiryHeap []expiry

func (lh expiryHeap) Len() int           { return len(lh) }
func (lh expiryHeap) Less(i, j int) bool { return lh[i].at.Before(lh[j].at) }
func (lh expiryHeap) Swap(i, j int)      { lh[i], lh[j] = lh[j], lh[i] }

// Push is for container/heap.
func (lh *expiryHeap) Push(one any) { *lh = append(*lh, one.(expiry)) }

// Pop is for container/heap.
func (lh *expiryHeap) Pop() any {
	old := *lh
	one := old[len(old)-1]
	*lh = old[:len(old)-1]
	return one
}
