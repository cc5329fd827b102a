package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"bilberryshelf/core"
	"bilberryshelf/wire"
)

func (en *Entry) helloLoop(ctx context.Context, re *remote) {
	for {
		en.hello(ctx, re)
		select {
		case <-ctx.Done():
			return
		case <-re.helloNow:
		case <-en.clock.After(en.helloDelay(re)):
		}
	}
}

// helloDelay returns the time until the next hello. After a missed hello the
// next one follows sooner, so that a lost guard is detected within a few seconds.
func (en *Entry) helloDelay(re *remote) time.Duration {
	delay := en.settings.Timing.HelloEvery.Std()
	en.loop.Do(func() {
		if re.misses > 0 && re.misses < maxMisses {
			delay = min(delay, missedHelloDelay)
		}
	})
	return delay
}

// hello sends a guard the current configuration, if the guard has an older one, and
// receives the guard's state.
func (en *Entry) hello(ctx context.Context, re *remote) {
	var req *wire.HelloRequest
	if !en.loop.Do(func() { req = en.helloRequest(re) }) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, en.settings.Timing.HelloTimeout.Std())
	defer cancel()
	inFlight := int(re.inFlight.Load())
	res, err := re.client.Hello(ctx, req)
	en.loop.Do(func() { en.handleHello(re, res, err, inFlight, req.Released) })
}

func (en *Entry) helloRequest(re *remote) *wire.HelloRequest {
	req := &wire.HelloRequest{
		Entry: en.settings.Name, EntryAddr: en.settings.InnerListen,
		Generation: en.book.Generation, Released: re.released,
	}
	re.released = nil
	if re.hello != nil && re.hello.Generation < en.book.Generation {
		req.Slice = en.encodeSlice(re.inst.Name)
	}
	return req
}

// encodeSlice encodes the part of the configuration that concerns one target. It
// runs on the loop.
func (en *Entry) encodeSlice(target string) []byte {
	raw, err := en.book.TargetSlice(target).Encode()
	if err != nil {
		level.Error(en.logger).Log("event", "slice-not-encoded", "target", target, "err", err)
		return nil
	}
	return raw
}

func (en *Entry) handleHello(re *remote, res *wire.HelloResponse, err error, inFlight int, released []string) {
	now := en.clock.Now()
	if err != nil {
		re.misses++
		re.released = append(re.released, released...)
		if re.misses >= maxMisses {
			re.cancelAttempts()
		}
		en.refresh(re)
		en.publish()
		return
	}
	behind := re.hello == nil && res.Generation < en.book.Generation
	re.misses, re.hello, re.helloAt, re.inFlightAtHello = 0, res, now, inFlight
	if core.State(res.State) == core.Down {
		re.cancelAttempts()
	}
	for _, de := range res.Deaths {
		en.recordDeath(now, de)
	}
	if behind {
		re.requestHello()
	}
	en.refresh(re)
	en.publish()
}

// cancelAttempts cancels the attempts in progress at a guard that does not answer
// or whose target is down.
func (re *remote) cancelAttempts() {
	re.cancelLost()
	re.lost, re.cancelLost = context.WithCancel(context.Background())
}

// requestHello makes helloLoop send the next hello immediately.
func (re *remote) requestHello() {
	select {
	case re.helloNow <- struct{}{}:
	default:
	}
}

// recordDeath records the death of a target and ignores repeated reports of it.
func (en *Entry) recordDeath(now time.Time, de *wire.Death) {
	id, err := core.ParseAttemptID(de.Id)
	if err != nil {
		return
	}
	if _, known := en.deaths[id]; known {
		return
	}
	en.deaths[id] = now
	for old, at := range en.deaths {
		if now.Sub(at) > en.settings.Timing.PoisonLapse.Std() {
			delete(en.deaths, old)
		}
	}
	en.poison.RecordDeath(now, de.Digests, de.Alone)
	go en.notifyPeers() // peers must know before the request is retried at another target
	en.meters.Count("target-deaths", "", 1)
	level.Warn(en.logger).Log("event", "target-death", "in-flight", len(de.Digests), "alone", de.Alone)
}
