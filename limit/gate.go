package limit

import (
	"container/heap"
	"time"

	"bilberryshelf/core"
)

// Item is a request that asks to be let in.
type Item struct {
	ID       uint64
	Tenant   string
	Priority core.Priority
	Deadline time.Time
	// Requeued marks an item that had its turn and found no room. It waits again
	// whatever the queue is like, since it was not refused when it came.
	Requeued bool
}

// Action says what happens to an offered item.
type Action string

// The answers.
const (
	Admit   Action = "admit"
	Enqueue Action = "wait"
	Refuse  Action = "no"
)

// Decision is an answer with its details. Evicted is set when a waiting item
// had to make room; it is refused at once with EvictedError.
type Decision struct {
	Action       Action
	Error        *core.Error
	Evicted      *Item
	EvictedError *core.Error
}

// Outcome says how an admitted item left.
type Outcome string

// The ends.
const (
	// Served means that a target answered.
	Served Outcome = "served"
	// Failed means anything else but a refusal for lack of room.
	Failed Outcome = "failed"
	// Overloaded means that the targets refused for lack of room.
	Overloaded Outcome = "crowded"
)

const (
	priorities = 3
	// windowDecrease is what a Crowded end leaves of the window.
	windowDecrease = 0.9
	// minRetryAfter is the shortest time to come back.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest.
	maxRetryAfter = time.Minute
	// decreaseInterval is the shortest time between two cuts of the window.
	decreaseInterval = 100 * time.Millisecond
)

// Limiter admits requests to one service.
//
//  1. At most Window items are in flight. The window starts at Most, shrinks
//     when targets refuse for lack of room, and grows by one for each window of
//     served items while it is full. It stays between Least and Most.
//  2. Waiting items leave the queue by priority; inside a priority the tenant
//     with the fewest items in flight goes first; inside a tenant the
//     earliest deadline.
//  3. An item is refused at once if its deadline leaves less than Margin times
//     the wait at the present drain rate, and the time of its service. The
//     margin allows for items of higher priority that come after it. So what
//     waits is served, as a rule, and what is refused is refused on arrival. An
//     item whose turn comes too late for its service is refused then.
//  4. A full queue refuses the newcomer, unless an item of lower priority
//     waits, which is refused in its place.
//  5. The time to come back is what the queue ahead takes at the drain rate,
//     spread by jitter so that refused callers do not return together.
//
// A Gate is not safe for concurrent use. The zero value admits nothing but
// one item at a time and queues none.
type Limiter struct {
	// MinWindow and Most bound the window.
	MinWindow, MaxWindow float64
	// Depth bounds the queue.
	Depth int
	// Margin is how many times the expected wait must fit before a deadline;
	// less than 1 counts as 1.
	Margin float64
	// Jitter draws from [0,1); nil means no jitter.
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

// Released is what comes of a place that is given back: the items that come in for
// it, and those whose turn came too late.
type Released struct {
	Admitted []uint64
	Late     []uint64
}

// serviceTimeWeight is the weight of a new service time in the mean.
const serviceTimeWeight = 0.05

// Window is the number of items allowed in flight at present.
func (ga *Limiter) Window() float64 {
	if ga.window == 0 {
		ga.window = max(ga.MinWindow, ga.MaxWindow, 1)
	}
	return ga.window
}

// InFlight is the number of admitted items that have not left.
func (ga *Limiter) InFlight() int { return ga.inFlight }

// Queued is the number of waiting items.
func (ga *Limiter) Queued() int {
	total := 0
	for _, nu := range ga.queued {
		total += nu
	}
	return total
}

// Offer decides on a new item.
func (ga *Limiter) Offer(now time.Time, it Item) Decision {
	if float64(ga.inFlight) < ga.Window() && ga.queuedAhead(it.Priority.Rank()) == 0 {
		ga.admit(it.Tenant)
		return Decision{Action: Admit}
	}
	if er := ga.checkDeadline(now, it); er != nil && !it.Requeued { // rule 3
		return Decision{Action: Refuse, Error: er}
	}
	if ga.Queued() < ga.Depth || it.Requeued {
		ga.push(it)
		return Decision{Action: Enqueue}
	}
	victim, found := ga.evict(it.Priority.Rank()) // rule 4
	if !found {
		return Decision{Action: Refuse, Error: ga.queueFull(now)}
	}
	ga.push(it)
	return Decision{Action: Enqueue, Evicted: &victim, EvictedError: ga.queueFull(now)}
}

// queuedAhead counts the waiting items that go before a newcomer of the rank.
func (ga *Limiter) queuedAhead(rank int) int {
	total := 0
	for at := 0; at <= rank; at++ {
		total += ga.queued[at]
	}
	return total
}

func (ga *Limiter) checkDeadline(now time.Time, it Item) *core.Error {
	if it.Deadline.IsZero() {
		return nil
	}
	rate := ga.completions.PerSecond(now)
	if rate <= 0 {
		return nil
	}
	wait := seconds(float64(ga.queuedAhead(it.Priority.Rank())+1) / rate)
	if now.Add(seconds(max(ga.Margin, 1)*wait.Seconds()) + ga.serviceTime).Before(it.Deadline) {
		return nil
	}
	return core.Refuse(core.CodeQueueWait, "the wait of %s would outlast the deadline", wait.Round(time.Millisecond)).
		WithRetryAfter(ga.RetryAfter(now))
}

func (ga *Limiter) queueFull(now time.Time) *core.Error {
	return core.Refuse(core.CodeFull, "the queue is full").WithRetryAfter(ga.RetryAfter(now))
}

// RetryAfter is when a refused caller may expect room (rule 5).
func (ga *Limiter) RetryAfter(now time.Time) time.Duration {
	rate := ga.completions.PerSecond(now)
	wait := minRetryAfter
	if rate > 0 {
		wait = max(wait, seconds(float64(ga.Queued()+1)/rate))
	}
	if ga.Jitter != nil {
		wait += time.Duration(ga.Jitter() * float64(wait))
	}
	return min(wait, maxRetryAfter)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

func (ga *Limiter) admit(tenant string) {
	if ga.inFlightOf == nil {
		ga.inFlightOf = map[string]int{}
	}
	ga.inFlightOf[tenant]++
	ga.inFlight++
}

// Release takes an admitted item out, whose service took a time, and returns the
// waiting items whose turn it is.
func (ga *Limiter) Release(now time.Time, tenant string, en Outcome, took time.Duration) Released {
	full := float64(ga.inFlight) >= ga.Window()
	ga.inFlight--
	if ga.inFlightOf[tenant]--; ga.inFlightOf[tenant] <= 0 {
		delete(ga.inFlightOf, tenant)
	}
	switch en { // rule 1
	case Served:
		ga.completions.Add(now)
		ga.serviceTime += time.Duration(serviceTimeWeight * float64(took-ga.serviceTime))
		if full {
			ga.window = min(ga.Window()+1/ga.Window(), max(ga.MaxWindow, 1))
		}
	case Overloaded:
		if now.Sub(ga.decreased) >= decreaseInterval {
			ga.decreased = now
			ga.window = max(ga.Window()*windowDecrease, ga.MinWindow, 1)
		}
	}
	var tu Released
	for float64(ga.inFlight) < ga.Window() {
		it, found := ga.pop()
		if !found {
			break
		}
		if !it.Deadline.IsZero() && !now.Add(ga.serviceTime).Before(it.Deadline) { // rule 3
			tu.Late = append(tu.Late, it.ID)
			continue
		}
		ga.admit(it.Tenant)
		tu.Admitted = append(tu.Admitted, it.ID)
	}
	return tu
}

// Cancel takes a waiting item out; it reports whether it was still waiting.
func (ga *Limiter) Cancel(it Item) bool {
	rank := it.Priority.Rank()
	qu := ga.queues[rank][it.Tenant]
	if qu == nil {
		return false
	}
	for at := range *qu {
		if (*qu)[at].ID == it.ID {
			heap.Remove(qu, at)
			ga.removed(rank, it.Tenant)
			return true
		}
	}
	return false
}

func (ga *Limiter) push(it Item) {
	rank := it.Priority.Rank()
	if ga.queues[rank] == nil {
		ga.queues[rank] = map[string]*queue{}
	}
	qu := ga.queues[rank][it.Tenant]
	if qu == nil {
		qu = &queue{}
		ga.queues[rank][it.Tenant] = qu
	}
	heap.Push(qu, it)
	ga.queued[rank]++
}

// pop takes out the next item (rule 2).
func (ga *Limiter) pop() (Item, bool) {
	for rank := range ga.queues {
		var (
			best   string
			chosen *queue
		)
		for tenant, qu := range ga.queues[rank] {
			if chosen == nil || ga.before(tenant, qu, best, chosen) {
				best, chosen = tenant, qu
			}
		}
		if chosen != nil {
			it := heap.Pop(chosen).(Item)
			ga.removed(rank, best)
			return it, true
		}
	}
	return Item{}, false
}

func (ga *Limiter) before(tenant string, qu *queue, other string, than *queue) bool {
	if ga.inFlightOf[tenant] != ga.inFlightOf[other] {
		return ga.inFlightOf[tenant] < ga.inFlightOf[other]
	}
	if !(*qu)[0].Deadline.Equal((*than)[0].Deadline) {
		return (*qu)[0].Deadline.Before((*than)[0].Deadline)
	}
	return (*qu)[0].ID < (*than)[0].ID
}

func (ga *Limiter) removed(rank int, tenant string) {
	ga.queued[rank]--
	if ga.queues[rank][tenant].Len() == 0 {
		delete(ga.queues[rank], tenant)
	}
}

// evict takes out the item with the lowest priority below the rank and the
// latest deadline.
func (ga *Limiter) evict(rank int) (Item, bool) {
	for low := priorities - 1; low > rank; low-- {
		var (
			victim Item
			found  bool
		)
		for _, qu := range ga.queues[low] {
			for _, it := range *qu {
				if !found || it.Deadline.After(victim.Deadline) {
					victim, found = it, true
				}
			}
		}
		if found {
			ga.Cancel(victim)
			return victim, true
		}
	}
	return Item{}, false
}

// queue is a heap of items by deadline; items without one come last.
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

// Push is for container/heap.
func (qu *queue) Push(item any) { *qu = append(*qu, item.(Item)) }

// Pop is for container/heap.
func (qu *queue) Pop() any {
	old := *qu
	it := old[len(old)-1]
	*qu = old[:len(old)-1]
	return it
}
