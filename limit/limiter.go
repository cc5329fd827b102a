package limit

import (
	"container/heap"
	"time"

	"bilberryshelf/core"
)

// Item is a request for admission.
type Item struct {
	ID       uint64
	Tenant   string
	Priority core.Priority
	Deadline time.Time
	// Requeued marks an item that was admitted but found no target with capacity. It is
	// queued again even if the queue is full or its deadline is close, since it was
	// not refused on arrival.
	Requeued bool
}

// Action is what happens to an offered item.
type Action string

// The actions.
const (
	Admit   Action = "admit"
	Enqueue Action = "wait"
	Refuse  Action = "no"
)

// Decision is an action with its details. Error is set if the action is Refuse. Evicted
// is set if a waiting item was removed to make room; it must be refused with
// EvictedError.
type Decision struct {
	Action       Action
	Error        *core.Error
	Evicted      *Item
	EvictedError *core.Error
}

// Outcome is the result of an admitted item.
type Outcome string

// The outcomes.
const (
	// Served means that a target responded.
	Served Outcome = "served"
	// Failed means any other result.
	Failed Outcome = "failed"
	// Overloaded means that the targets refused because they were full.
	Overloaded Outcome = "crowded"
)

const (
	priorities = 3
	// windowDecrease is the factor by which an Overloaded outcome reduces the window.
	windowDecrease = 0.9
	// minRetryAfter and maxRetryAfter bound the retry-after time of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// decreaseInterval is the shortest time between two decreases of the window.
	decreaseInterval = 100 * time.Millisecond
)

// Limiter admits requests to one service with an adaptive concurrency window and a
// bounded priority queue.
//
//  1. At most Window items are in flight. The window starts at MaxWindow, shrinks when
//     targets refuse because they are full, and grows by one for each window of served
//     items while it is fully used. It stays between MinWindow and MaxWindow.
//  2. Items leave the queue by priority, within a priority from the tenant with the
//     fewest items in flight, within a tenant by earliest deadline.
//  3. An item is refused on arrival if the time to its deadline is less than Margin
//     times the expected wait at the current completion rate plus the service time. The
//     margin allows for later items of higher priority. Queued items are therefore
//     usually served, and most refusals happen on arrival. An item that leaves the
//     queue too late to be served in time is refused then.
//  4. A full queue refuses the new item, unless an item of lower priority waits, which
//     is refused instead.
//  5. The retry-after time is the time to drain the queue at the completion rate, plus
//     jitter, so that refused callers do not all retry at the same time.
//
// A Limiter is not safe for concurrent use. The zero value admits one item at a time and
// has no queue.
type Limiter struct {
	// MinWindow and MaxWindow bound the window, in items.
	MinWindow, MaxWindow float64
	// Depth is the maximum number of queued items.
	Depth int
	// Margin is the multiple of the expected wait that must fit before the deadline
	// (rule 3); values below 1 count as 1.
	Margin float64
	// Jitter returns a random number in [0,1); nil means no jitter.
	Jitter func() float64

	window      float64
	inFlight    int
	inFlightOf  map[string]int
	queues      [priorities]map[string]*queue
	queued      [priorities]int
	completions Rate
	decreased   time.Time
	serviceTime time.Duration
}

// Released holds the ids of the items that left the queue when an item was released:
// those admitted, and those refused because their deadline is too close.
type Released struct {
	Admitted []uint64
	Late     []uint64
}

// serviceTimeWeight is the weight of a new sample in the moving average.
const serviceTimeWeight = 0.05

// Window returns the number of items currently allowed in flight.
func (li *Limiter) Window() float64 {
	if li.window == 0 {
		li.window = max(li.MinWindow, li.MaxWindow, 1)
	}
	return li.window
}

// InFlight returns the number of admitted items that are not yet released.
func (li *Limiter) InFlight() int { return li.inFlight }

// Queued returns the number of waiting items.
func (li *Limiter) Queued() int {
	total := 0
	for _, nu := range li.queued {
		total += nu
	}
	return total
}

// Offer admits, enqueues or refuses an item.
func (li *Limiter) Offer(now time.Time, it Item) Decision {
	if float64(li.inFlight) < li.Window() && li.queuedAhead(it.Priority.Rank()) == 0 {
		li.admit(it.Tenant)
		return Decision{Action: Admit}
	}
	if er := li.checkDeadline(now, it); er != nil && !it.Requeued { // rule 3
		return Decision{Action: Refuse, Error: er}
	}
	if li.Queued() < li.Depth || it.Requeued {
		li.push(it)
		return Decision{Action: Enqueue}
	}
	victim, found := li.evict(it.Priority.Rank()) // rule 4
	if !found {
		return Decision{Action: Refuse, Error: li.queueFull(now)}
	}
	li.push(it)
	return Decision{Action: Enqueue, Evicted: &victim, EvictedError: li.queueFull(now)}
}

// queuedAhead counts the waiting items with the given priority rank or a higher priority.
func (li *Limiter) queuedAhead(rank int) int {
	total := 0
	for at := 0; at <= rank; at++ {
		total += li.queued[at]
	}
	return total
}

// checkDeadline returns an error if an item would wait too long (rule 3).
func (li *Limiter) checkDeadline(now time.Time, it Item) *core.Error {
	if it.Deadline.IsZero() {
		return nil
	}
	rate := li.completions.PerSecond(now)
	if rate <= 0 {
		return nil
	}
	wait := seconds(float64(li.queuedAhead(it.Priority.Rank())+1) / rate)
	if now.Add(seconds(max(li.Margin, 1)*wait.Seconds()) + li.serviceTime).Before(it.Deadline) {
		return nil
	}
	return core.Refuse(core.CodeQueueWait, "the expected wait of %s exceeds the deadline", wait.Round(time.Millisecond)).
		WithRetryAfter(li.RetryAfter(now))
}

func (li *Limiter) queueFull(now time.Time) *core.Error {
	return core.Refuse(core.CodeFull, "the queue is full").WithRetryAfter(li.RetryAfter(now))
}

// RetryAfter estimates when a refused caller can be admitted (rule 5).
func (li *Limiter) RetryAfter(now time.Time) time.Duration {
	rate := li.completions.PerSecond(now)
	wait := minRetryAfter
	if rate > 0 {
		wait = max(wait, seconds(float64(li.Queued()+1)/rate))
	}
	if li.Jitter != nil {
		wait += time.Duration(li.Jitter() * float64(wait))
	}
	return min(wait, maxRetryAfter)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

func (li *Limiter) admit(tenant string) {
	if li.inFlightOf == nil {
		li.inFlightOf = map[string]int{}
	}
	li.inFlightOf[tenant]++
	li.inFlight++
}

// Release ends an admitted item with its outcome and service time, and returns the items
// that leave the queue.
func (li *Limiter) Release(now time.Time, tenant string, ou Outcome, took time.Duration) Released {
	full := float64(li.inFlight) >= li.Window()
	li.inFlight--
	if li.inFlightOf[tenant]--; li.inFlightOf[tenant] <= 0 {
		delete(li.inFlightOf, tenant)
	}
	switch ou { // rule 1
	case Served:
		li.completions.Add(now)
		li.serviceTime += time.Duration(serviceTimeWeight * float64(took-li.serviceTime))
		if full {
			li.window = min(li.Window()+1/li.Window(), max(li.MaxWindow, 1))
		}
	case Overloaded:
		if now.Sub(li.decreased) >= decreaseInterval {
			li.decreased = now
			li.window = max(li.Window()*windowDecrease, li.MinWindow, 1)
		}
	}
	var rl Released
	for float64(li.inFlight) < li.Window() {
		it, found := li.pop()
		if !found {
			break
		}
		if !it.Deadline.IsZero() && !now.Add(li.serviceTime).Before(it.Deadline) { // rule 3
			rl.Late = append(rl.Late, it.ID)
			continue
		}
		li.admit(it.Tenant)
		rl.Admitted = append(rl.Admitted, it.ID)
	}
	return rl
}

// Cancel removes a waiting item and reports whether it was still waiting.
func (li *Limiter) Cancel(it Item) bool {
	rank := it.Priority.Rank()
	qu := li.queues[rank][it.Tenant]
	if qu == nil {
		return false
	}
	for at := range *qu {
		if (*qu)[at].ID == it.ID {
			heap.Remove(qu, at)
			li.removed(rank, it.Tenant)
			return true
		}
	}
	return false
}

func (li *Limiter) push(it Item) {
	rank := it.Priority.Rank()
	if li.queues[rank] == nil {
		li.queues[rank] = map[string]*queue{}
	}
	qu := li.queues[rank][it.Tenant]
	if qu == nil {
		qu = &queue{}
		li.queues[rank][it.Tenant] = qu
	}
	heap.Push(qu, it)
	li.queued[rank]++
}

// pop removes and returns the next item (rule 2).
func (li *Limiter) pop() (Item, bool) {
	for rank := range li.queues {
		var (
			best   string
			chosen *queue
		)
		for tenant, qu := range li.queues[rank] {
			if chosen == nil || li.before(tenant, qu, best, chosen) {
				best, chosen = tenant, qu
			}
		}
		if chosen != nil {
			it := heap.Pop(chosen).(Item)
			li.removed(rank, best)
			return it, true
		}
	}
	return Item{}, false
}

func (li *Limiter) before(tenant string, qu *queue, other string, than *queue) bool {
	if li.inFlightOf[tenant] != li.inFlightOf[other] {
		return li.inFlightOf[tenant] < li.inFlightOf[other]
	}
	if !(*qu)[0].Deadline.Equal((*than)[0].Deadline) {
		return (*qu)[0].Deadline.Before((*than)[0].Deadline)
	}
	return (*qu)[0].ID < (*than)[0].ID
}

// removed updates the counts after an item of a tenant was removed from its queue.
func (li *Limiter) removed(rank int, tenant string) {
	li.queued[rank]--
	if li.queues[rank][tenant].Len() == 0 {
		delete(li.queues[rank], tenant)
	}
}

// evict removes and returns the item with the latest deadline among those of the lowest
// priority, which must be below the given rank.
func (li *Limiter) evict(rank int) (Item, bool) {
	for low := priorities - 1; low > rank; low-- {
		var (
			victim Item
			found  bool
		)
		for _, qu := range li.queues[low] {
			for _, it := range *qu {
				if !found || it.Deadline.After(victim.Deadline) {
					victim, found = it, true
				}
			}
		}
		if found {
			li.Cancel(victim)
			return victim, true
		}
	}
	return Item{}, false
}

// queue is a heap of items by deadline; items without a deadline come last.
type queue []Item

func (qu queue) Len() int { return len(qu) }

func (qu queue) Less(lhs, rhs int) bool {
	first, second := qu[lhs], qu[rhs]
	if first.Deadline.IsZero() != second.Deadline.IsZero() {
		return second.Deadline.IsZero()
	}
	if first.Deadline.Equal(second.Deadline) {
		return first.ID < second.ID
	}
	return first.Deadline.Before(second.Deadline)
}

func (qu queue) Swap(lhs, rhs int) { qu[lhs], qu[rhs] = qu[rhs], qu[lhs] }

// Push implements heap.Interface.
func (qu *queue) Push(item any) { *qu = append(*qu, item.(Item)) }

// Pop implements heap.Interface.
func (qu *queue) Pop() any {
	old := *qu
	it := old[len(old)-1]
	*qu = old[:len(old)-1]
	return it
}
