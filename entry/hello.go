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
		case <-re.kick:
		case <-en.clock.After(en.helloPause(re)):
		}
	}
}

// helloPause is the time to the next hello. A guard that missed one is asked
// again soon, so that it is known within a few seconds whether it is lost.
func (en *Entry) helloPause(re *remote) time.Duration {
	pause := en.settings.Timing.HelloEvery.Std()
	en.loop.Do(func() {
		if re.misses > 0 && re.misses < mostMisses {
			pause = min(pause, missedPause)
		}
	})
	return pause
}

// hello exchanges configuration for load with one guard.
func (en *Entry) hello(ctx context.Context, re *remote) {
	var req *wire.HelloRequest
	if !en.loop.Do(func() { req = en.helloRequest(re) }) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, en.settings.Timing.HelloTimeout.Std())
	defer cancel()
	then := int(re.mine.Load())
	res, err := re.client.Hello(ctx, req)
	en.loop.Do(func() { en.heardHello(re, res, err, then, req.Released) })
}

func (en *Entry) helloRequest(re *remote) *wire.HelloRequest {
	req := &wire.HelloRequest{
		Entry: en.settings.Name, EntryAddr: en.settings.InnerListen,
		Generation: en.book.Generation, Released: re.released,
	}
	re.released = nil
	if re.hello != nil && re.hello.Generation < en.book.Generation {
		req.Slice = en.slice(re.inst.Name)
	}
	return req
}

// slice encodes the configuration of one target. It runs on the loop.
func (en *Entry) slice(target string) []byte {
	raw, err := en.book.TargetSlice(target).Encode()
	if err != nil {
		level.Error(en.logger).Log("event", "slice-not-encoded", "target", target, "err", err)
		return nil
	}
	return raw
}

func (en *Entry) heardHello(re *remote, res *wire.HelloResponse, err error, then int, released []string) {
	now := en.clock.Now()
	if err != nil {
		re.misses++
		re.released = append(re.released, released...)
		if re.misses >= mostMisses {
			re.lose()
		}
		en.refresh(re)
		en.publish()
		return
	}
	behind := re.hello == nil && res.Generation < en.book.Generation
	re.misses, re.hello, re.heard, re.mineThen = 0, res, now, then
	if core.State(res.State) == core.Down {
		re.lose()
	}
	for _, de := range res.Deaths {
		en.noteDeath(now, de)
	}
	if behind {
		re.hurry()
	}
	en.refresh(re)
	en.publish()
}

// lose ends the attempts in progress at a guard that does not answer.
func (re *remote) lose() {
	re.loseNow()
	re.lost, re.loseNow = context.WithCancel(context.Background())
}

// hurry asks for a hello at once.
func (re *remote) hurry() {
	select {
	case re.kick <- struct{}{}:
	default:
	}
}

// noteDeath takes in the death of a target, once.
func (en *Entry) noteDeath(now time.Time, de *wire.Death) {
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
	go en.tellPeers() // before the request is sent again elsewhere
	en.meters.Count("target-deaths", "", 1)
	level.Warn(en.logger).Log("event", "target-death", "in-flight", len(de.Digests), "alone", de.Alone)
}
