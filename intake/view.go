package intake

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bilberryshelf/conf"
	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/table"
	"bilberryshelf/wire"
)

// ConfigPeer tells another entry the operator's rows.
type ConfigPeer interface {
	Find(ctx context.Context, req *wire.FindConfigRequest) (*wire.FindConfigResponse, error)
}

const (
	// configWait is how long a watch of the operator's rows waits. With the way to another
	// region it is below conf.StaleViewAge, so that peers are not asked while all is well.
	configWait = 500 * time.Millisecond
	// configTimeout bounds a question to a peer, below conf.AskInterval.
	configTimeout = 300 * time.Millisecond
	// configAsked is the number of peers asked at a time.
	configAsked = 2
)

// operatorView is the view of the operator's rows. It is safe for concurrent use.
type operatorView struct {
	// applying is held while rows are decoded and put in force, so that an older
	// configuration never replaces a newer one.
	applying sync.Mutex

	mutex sync.Mutex
	view  conf.View
	// askedAt is when each peer was last asked, by its address; helper is the address of the
	// last peer whose answer was of use.
	askedAt map[string]time.Time
	helper  string
}

func (ov *operatorView) put(rows []table.Row) []table.Row {
	ov.mutex.Lock()
	defer ov.mutex.Unlock()
	return ov.view.Put(rows)
}

// confirmConfig records that the store confirmed the operator's rows as complete at the
// given time, directly or through a peer that relays calls.
func (en *Entry) confirmConfig(at time.Time) {
	en.operator.mutex.Lock()
	defer en.operator.mutex.Unlock()
	en.operator.view.Confirm(at)
}

// configAge returns how long ago the view of the operator's rows was last known to be
// complete; known is false if it never was.
func (en *Entry) configAge(now time.Time) (age time.Duration, known bool) {
	en.operator.mutex.Lock()
	defer en.operator.mutex.Unlock()
	return en.operator.view.Age(now)
}

// askForConfig asks peers for the operator's rows while the store does not confirm them.
func (en *Entry) askForConfig(ctx context.Context) {
	var staleSince time.Time
	for ctx.Err() == nil {
		now := en.clock.Now()
		en.operator.mutex.Lock()
		wait := en.operator.view.AskIn(now)
		age, known := en.operator.view.Age(now)
		version := en.operator.view.Version()
		en.operator.mutex.Unlock()
		if known {
			en.meters.Gauge("config-age", "", age.Milliseconds())
		}
		switch {
		case wait == 0 && staleSince.IsZero():
			staleSince = now
			logs.Warn(en.logger, "view of the configuration is stale, asking peers", "row", version, "age", age, "known", known)
		case wait > 0 && !staleSince.IsZero():
			logs.Info(en.logger, "view of the configuration is confirmed again", "row", version, "after", now.Sub(staleSince))
			staleSince = time.Time{}
		}
		if wait == 0 {
			en.askPeers(ctx, now)
			wait = conf.AskInterval - en.clock.Now().Sub(now)
		}
		select {
		case <-ctx.Done():
		case <-en.clock.After(min(wait, conf.AskInterval)):
		}
	}
}

// askPeers asks some peers at once and returns when all have answered or timed out.
func (en *Entry) askPeers(ctx context.Context, now time.Time) {
	if en.configPeer == nil {
		return
	}
	var group sync.WaitGroup
	for _, re := range en.nextConfigPeers(now) {
		group.Go(func() {
			if err := en.askPeer(ctx, re); err != nil && ctx.Err() == nil {
				en.meters.Count("config-peer-failed", "", 1)
				logs.Debug(en.logger, "peer does not tell its view of the configuration", "entry", re.Name, "err", err)
			}
		})
	}
	group.Wait()
}

// nextConfigPeers returns the peers to ask now: the one that last helped, then those not
// asked for the longest time. Peers that may be dead are among them, since this entry may be
// the one that is cut off.
func (en *Entry) nextConfigPeers(now time.Time) []member.Record {
	en.mutex.Lock()
	known := en.members.Known()
	en.mutex.Unlock()
	known = slices.DeleteFunc(known, func(re member.Record) bool {
		return re.Name == en.name || re.Addr == "" || re.Addr == en.settings.Inner
	})
	rand.Shuffle(len(known), func(lhs, rhs int) { known[lhs], known[rhs] = known[rhs], known[lhs] })
	ov := &en.operator
	ov.mutex.Lock()
	defer ov.mutex.Unlock()
	rank := func(re member.Record) time.Time {
		if re.Addr == ov.helper {
			return time.Time{}
		}
		return ov.askedAt[re.Addr]
	}
	slices.SortStableFunc(known, func(lhs, rhs member.Record) int { return rank(lhs).Compare(rank(rhs)) })
	known = known[:min(len(known), configAsked)]
	if ov.askedAt == nil {
		ov.askedAt = map[string]time.Time{}
	}
	for _, re := range known {
		ov.askedAt[re.Addr] = now
	}
	return known
}

// askPeer asks a peer for the operator's rows and takes them over if they are of use.
func (en *Entry) askPeer(ctx context.Context, re member.Record) error {
	call, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	ov := &en.operator
	ov.mutex.Lock()
	version := ov.view.Version()
	ov.mutex.Unlock()
	askedAt := en.clock.Now()
	res, err := en.configPeer(re.Addr).Find(call, &wire.FindConfigRequest{RowVersion: version})
	if err != nil {
		ov.setHelper(re.Addr, false)
		return err
	}
	an := conf.Answer{Confirmed: res.GetConfirmed(), Age: time.Duration(res.GetAgeNanos()), Version: res.GetRowVersion()}
	for _, ro := range res.GetRows() {
		id := ro.GetId()
		an.Rows = append(an.Rows, table.Row{
			ID:    table.ID{Table: id.GetTable(), Part: id.GetPart(), Key: id.GetKey()},
			Value: ro.GetValue(), Version: ro.GetVersion(), Deleted: ro.GetDeleted(),
		})
	}
	ov.mutex.Lock()
	at, use := ov.view.Judge(askedAt, an)
	useful := use && (len(an.Rows) > 0 || at.After(ov.view.ConfirmedAt()))
	ov.mutex.Unlock()
	ov.setHelper(re.Addr, useful)
	if !useful {
		return nil
	}
	en.applyOperator(an.Rows)
	ov.mutex.Lock()
	ov.view.ConfirmThrough(at) // after the rows are in force
	ov.mutex.Unlock()
	en.meters.Count("config-from-peer", "", 1)
	return nil
}

func (ov *operatorView) setHelper(addr string, useful bool) {
	ov.mutex.Lock()
	defer ov.mutex.Unlock()
	switch {
	case useful:
		ov.helper = addr
	case ov.helper == addr:
		ov.helper = ""
	}
}

// ConfigPeer returns the service that tells peers this entry's view of the operator's rows.
func (en *Entry) ConfigPeer() ConfigPeer { return configService{en} }

type configService struct{ entry *Entry }

// Find tells a peer the operator's rows that it lacks.
func (cs configService) Find(_ context.Context, req *wire.FindConfigRequest) (*wire.FindConfigResponse, error) {
	ov := &cs.entry.operator
	ov.mutex.Lock()
	an := ov.view.Answer(cs.entry.clock.Now(), req.GetRowVersion())
	ov.mutex.Unlock()
	res := &wire.FindConfigResponse{Confirmed: an.Confirmed, AgeNanos: int64(an.Age), RowVersion: an.Version}
	for _, ro := range an.Rows {
		res.Rows = append(res.Rows, &wire.TableRow{
			Id:    &wire.RowID{Table: ro.ID.Table, Part: ro.ID.Part, Key: ro.ID.Key},
			Value: ro.Value, Version: ro.Version, Deleted: ro.Deleted,
		})
	}
	return res, nil
}
