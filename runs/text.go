package runs

import (
	"context"
	"sync/atomic"
	"time"

	"bilberryshelf/limit"
)

const (
	// eventCost is the most that an event takes in memory beside its text, in bytes: it is in
	// the list of its run, and in those of its item, which grow by copying.
	eventCost = 128
	// textChunk is the size of the pieces in which a text reserves memory, in bytes.
	textChunk = 4 << 10
	// yieldBackoff is how long an item waits after its text had to yield.
	yieldBackoff = 500 * time.Millisecond
)

// heldText counts the memory of an item's text, from its first event until its result is
// written. While the memory for texts is full, the largest text that is not complete yields.
// The engine of such a text may be faulty, or the texts may wait for the store.
type heldText struct {
	holder *limit.Holder
	// spare is what is reserved and not in use.
	spare int64
	// yielded is set when the text must be discarded.
	yielded atomic.Bool
	cancel  atomic.Pointer[context.CancelFunc]
}

// holdText counts a text of the given size.
func (ow *Owner) holdText(now time.Time, size int64) *heldText {
	ht := &heldText{}
	ht.holder = ow.Texts.Hold(now, size, ht.yield)
	return ht
}

// yield ends the run in progress. The loop then discards the text.
func (ht *heldText) yield() {
	ht.yielded.Store(true)
	if cancel := ht.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// setRun sets the run that brings the events. It ends at once if the text has yielded.
func (ht *heldText) setRun(cancel context.CancelFunc) {
	ht.cancel.Store(&cancel)
	if ht.yielded.Load() {
		cancel()
	}
}

// grow counts an event before it is kept. It returns false if the text must yield, and for all
// events after that, so that none is kept after one that is missing. It may wait for memory and
// must not be called by the loop.
func (ht *heldText) grow(ev Event) bool {
	if ht.yielded.Load() {
		return false
	}
	size := int64(len(ev.Data)) + eventCost
	if size > ht.spare {
		more := max(size-ht.spare, textChunk)
		if !ht.holder.Await(more, time.Sleep) {
			ht.yield()
			return false
		}
		ht.spare += more
	}
	ht.spare -= size
	return true
}

// release returns the memory. A nil text has none.
func (ht *heldText) release() {
	if ht != nil {
		ht.holder.End()
	}
}

// hasYielded reports whether the text must be discarded.
func (ht *heldText) hasYielded() bool { return ht != nil && ht.yielded.Load() }

// textCost returns what the text takes in memory without the run in progress.
func (it *item) textCost() int64 { return int64(it.textBytes() + eventCost*len(it.events)) }

// releaseText stops counting the text.
func (it *item) releaseText() {
	it.text.release()
	it.text = nil
}

// releaseTexts stops counting the texts of the first results.
func (jo *job) releaseTexts(count int) {
	for _, ht := range jo.heldTexts[:count] {
		ht.release()
	}
	jo.heldTexts = jo.heldTexts[count:]
}

// keepText protects a complete text from yielding: only its score and its write are missing.
func (ow *Owner) keepText(now time.Time, it *item) {
	if it.text == nil || !it.text.holder.Keep() {
		it.releaseText()
		it.text = &heldText{holder: ow.Texts.Hold(now, it.textCost(), nil)}
	}
}

// discardYielded discards the texts that had to yield while their items waited for an engine.
func (ow *Owner) discardYielded(now time.Time, jo *job) {
	for _, it := range jo.items {
		if it.state == waiting && it.text.hasYielded() {
			ow.yieldText(now, jo, it)
		}
	}
}

// yieldRun discards a text that had to yield while an engine generated it. The engine gets no
// items for a while: it may be faulty.
func (ow *Owner) yieldRun(now time.Time, jo *job, it *item, en *engine) {
	ow.yieldText(now, jo, it)
	it.avoid = en.target.ID
	en.backOffInterrupted(now)
}

// yieldText discards a text that had to yield. Its item begins anew later.
func (ow *Owner) yieldText(now time.Time, jo *job, it *item) {
	ow.Meters.Count("texts-yielded", jo.route.Name, 1)
	ow.dropText(jo, it, "the memory for texts is full")
	it.notBefore = now.Add(yieldBackoff)
}
