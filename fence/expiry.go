package fence

import (
	"container/heap"
	"time"

	"bilberryshelf/core"
)

// expiry is when to check an attempt, or a key if it is not empty, for removal.
type expiry struct {
	at  time.Time
	id  core.AttemptID
	key string
}

// expiryQueue is a priority queue by time. The zero value is ready to use.
type expiryQueue struct {
	items expiryHeap
}

func (eq *expiryQueue) push(ex expiry) { heap.Push(&eq.items, ex) }

// pop removes and returns the earliest expiry if it is due.
func (eq *expiryQueue) pop(now time.Time) (expiry, bool) {
	if len(eq.items) == 0 || !now.After(eq.items[0].at) {
		return expiry{}, false
	}
	return heap.Pop(&eq.items).(expiry), true
}

// expiryHeap implements heap.Interface.
type expiryHeap []expiry

func (eh expiryHeap) Len() int           { return len(eh) }
func (eh expiryHeap) Less(i, j int) bool { return eh[i].at.Before(eh[j].at) }
func (eh expiryHeap) Swap(i, j int)      { eh[i], eh[j] = eh[j], eh[i] }

// Push implements heap.Interface.
func (eh *expiryHeap) Push(ex any) { *eh = append(*eh, ex.(expiry)) }

// Pop implements heap.Interface.
func (eh *expiryHeap) Pop() any {
	old := *eh
	ex := old[len(old)-1]
	*eh = old[:len(old)-1]
	return ex
}
