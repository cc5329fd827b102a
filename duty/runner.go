package duty

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
	"bilberryshelf/meter"
	"bilberryshelf/table"
)

// Permission tells right before each call whether it may be sent, and with which token.
type Permission interface {
	Permit(now time.Time) (token uint64, ok bool)
}

// BootClock returns the time since the start of the machine, suspensions included.
type BootClock = fleet.BootClock

// SystemBootClock is the clock of the operating system.
type SystemBootClock struct{}

// SinceBoot returns the time of CLOCK_BOOTTIME, or zero if the system does not have it.
func (SystemBootClock) SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// bootIDFile holds a random id that the kernel chooses at each start of the machine.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// InstanceID identifies an instance: its node, its address and the start of the machine.
// The name alone is not enough, since two instances may be given the same one.
func InstanceID(node, addr string) string {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil { // a number that is new at each start makes each process another holder
		raw = strconv.AppendUint(nil, rand.Uint64(), 36)
	}
	return node + " " + addr + " " + strings.TrimSpace(string(raw))
}

// storeTimeout bounds a call to the store: half of what the holder has left after a renewal.
const storeTimeout = 700 * time.Millisecond

// Runner makes the calls of a Lease. Set the fields before Run. It is safe for concurrent
// use.
type Runner struct {
	// Lease must not be used by others.
	Lease Lease
	Store table.Client
	Clock core.Clock
	Boot  BootClock
	// Candidacy returns the place of this process among the candidates.
	Candidacy func(now time.Time) Candidacy
	Logger    log.Logger
	Meters    *meter.Set

	mutex sync.Mutex
	// shown is the token that the log and the gauge showed last, zero for none.
	shown uint64
}

func (ru *Runner) now() Instant { return Instant{At: ru.Clock.Now(), Boot: ru.Boot.SinceBoot()} }

// Permit implements Permission. It reads the clocks itself, since the caller may have been
// paused after it read now.
func (ru *Runner) Permit(now time.Time) (token uint64, ok bool) {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	in := ru.now()
	if now.After(in.At) {
		in.At = now
	}
	return ru.Lease.Permit(in)
}

// Called records the outcome of a call that was permitted.
func (ru *Runner) Called(succeeded bool) {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if ru.Lease.Called(ru.now(), succeeded) {
		logs.Warn(ru.Logger, "duties released since their calls fail", "holder", ru.Lease.Name)
	}
}

// Run acquires and renews the lease until the context ends.
func (ru *Runner) Run(ctx context.Context) {
	ru.Meters.Gauge("duty-token", "", 0)
	for ctx.Err() == nil {
		if wait := ru.step(ctx); wait > 0 {
			select {
			case <-ctx.Done():
			case <-ru.Clock.After(wait):
			}
		}
	}
}

// maxWait bounds the pause between two steps, so that a release starts soon.
const maxWait = 100 * time.Millisecond

// step makes the next step and returns how long to wait before the one after it.
func (ru *Runner) step(ctx context.Context) time.Duration {
	ca := ru.Candidacy(ru.Clock.Now())
	ru.mutex.Lock()
	now := ru.now()
	st := ru.Lease.Next(now, ca)
	ru.mutex.Unlock()
	switch st.Kind {
	case Read:
		ru.read(ctx, now.At)
	case Write:
		ru.write(ctx, st)
	default:
		return min(st.For, maxWait)
	}
	return 0
}

func (ru *Runner) read(ctx context.Context, sentAt time.Time) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := ru.Store.List(call, table.Range{Table: Table, From: rowKey, To: rowKey + "\x00", Limit: 1})
	var (
		ro      Row
		version uint64
	)
	if err == nil && len(page.Rows) > 0 {
		version = page.Rows[0].Version
		ro, err = DecodeRow(page.Rows[0].Value)
	}
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if err != nil {
		ru.failed(ctx, "cannot read the row of the duties", err)
		return
	}
	ru.Lease.RowRead(sentAt, ru.Clock.Now(), ro, version)
	ru.show()
}

func (ru *Runner) write(ctx context.Context, st Step) {
	raw, err := st.Row.Encode()
	var version uint64
	if err == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		version, err = ru.Store.Commit(call, table.Tx{
			Expect: []table.Expect{{ID: ID(), Version: st.Expect}}, Puts: []table.Put{{ID: ID(), Value: raw}},
		})
	}
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if err != nil {
		ru.failed(ctx, "cannot write the row of the duties", err)
		return
	}
	ru.Lease.Acknowledged(ru.Clock.Now(), version)
	ru.show()
}

func (ru *Runner) failed(ctx context.Context, text string, err error) {
	ru.Lease.Failed(ru.Clock.Now())
	if ctx.Err() == nil && !errors.Is(err, table.ErrConflict) {
		logs.Warn(ru.Logger, text, "err", err)
	}
}

// show logs a change of the holder and sets the gauge of the token.
func (ru *Runner) show() {
	token, holds := ru.Lease.Holds()
	if !holds {
		token = 0
	}
	if token == ru.shown {
		return
	}
	if holds {
		logs.Info(ru.Logger, "duties acquired", "holder", ru.Lease.Name, "token", token)
	} else {
		logs.Info(ru.Logger, "duties given up", "holder", ru.Lease.Name, "token", ru.shown)
	}
	ru.Meters.Gauge("duty-token", "", int64(token))
	ru.shown = token
}

// Release has the process stop its calls at once, and returns when Run has released the
// lease or the context ends. The lease is not acquired again.
func (ru *Runner) Release(ctx context.Context) {
	for ctx.Err() == nil {
		ru.mutex.Lock()
		ru.Lease.Release()
		_, holds := ru.Lease.Holds()
		ru.mutex.Unlock()
		if !holds {
			return
		}
		select {
		case <-ctx.Done():
		case <-ru.Clock.After(maxWait / 2):
		}
	}
}
