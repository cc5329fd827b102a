package intake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
	"bilberryshelf/origin"
	"bilberryshelf/table"
)

const (
	// recordRetryDelay is the pause after a write of places that failed.
	recordRetryDelay = 200 * time.Millisecond
	// storeInterval is the time between two batches of origins: what is lost if an entry
	// dies, against the calls to the store.
	storeInterval = 250 * time.Millisecond
	// cleanInterval is the time between two searches for expired rows.
	cleanInterval = 30 * time.Second
)

// places is what this entry knows about the places of streams. It is safe for concurrent
// use.
type places struct {
	mutex  sync.Mutex
	known  origin.Places
	routes []conf.Route
	// targets are the listed targets, also those that take no work.
	targets []fleet.Target
	// since is nil until the rows were listed; listed is closed then.
	since  *origin.Since
	listed chan struct{}
	// dirty is set while the store may have rows that expire. rows are those that the last
	// search found.
	dirty bool
	rows  map[table.ID]foundRow
	// changed and unstored wake the goroutines that write places and origins.
	changed, unstored chan struct{}
}

// foundRow is a version of a row and when a search found it first.
type foundRow struct {
	version uint64
	at      time.Time
}

// unchanged returns the rows that have not been written for Retention, with their versions.
func (pl *places) unchanged(now time.Time, rows []table.Row) map[table.ID]uint64 {
	found, old := make(map[table.ID]foundRow, len(rows)), map[table.ID]uint64{}
	for _, ro := range rows {
		fr := pl.rows[ro.ID]
		if fr.version != ro.Version {
			fr = foundRow{version: ro.Version, at: now}
		}
		found[ro.ID] = fr
		if now.Sub(fr.at) >= origin.Retention {
			old[ro.ID] = ro.Version
		}
	}
	pl.rows = found
	return old
}

func newPlaces() *places {
	return &places{dirty: true, listed: make(chan struct{}), changed: make(chan struct{}, 1), unstored: make(chan struct{}, 1)}
}

// wake sends to a channel of capacity one, unless it is full.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (pl *places) setRoutes(now time.Time, routes []conf.Route) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.routes = routes
	pl.update(now)
}

func (pl *places) setTargets(now time.Time, targets []fleet.Target) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.targets = targets
	pl.update(now)
}

func (pl *places) update(now time.Time) {
	pl.known.Update(now, pl.routes, pl.targets)
	if pl.since == nil || len(pl.known.Missing()) > 0 {
		wake(pl.changed)
	}
}

func (pl *places) has(pa origin.Place) bool {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	return pl.known.Has(pa)
}

func (pl *places) several(route string) bool {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	return pl.known.Several(route)
}

// recorded adds places that have rows.
func (pl *places) recorded(now time.Time, all ...origin.Place) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.known.Recorded(now, all...)
	wake(pl.unstored)
}

// missing returns the places that need rows, and whether the rows were listed.
func (pl *places) missing() ([]origin.Place, bool) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	return pl.known.Missing(), pl.since != nil
}

// recordPlaces writes a row for each place before streams begin there (origin rule 1).
func (en *Entry) recordPlaces(ctx context.Context) {
	wake(en.places.changed)
	for {
		select {
		case <-ctx.Done():
			return
		case <-en.places.changed:
		}
		if err := en.writePlaces(ctx); err != nil && ctx.Err() == nil {
			logs.Warn(en.logger, "places of streams not recorded", "err", err)
			en.meters.Count("places-not-recorded", "", 1)
			wake(en.places.changed)
			select {
			case <-ctx.Done():
			case <-en.clock.After(recordRetryDelay):
			}
		}
	}
}

func (en *Entry) writePlaces(ctx context.Context) error {
	if _, listed := en.places.missing(); !listed {
		if err := en.listPlaces(ctx); err != nil {
			return err
		}
	}
	missing, _ := en.places.missing()
	for from := 0; from < len(missing); from += table.MaxTxRows {
		part := missing[from:min(from+table.MaxTxRows, len(missing))]
		var tx table.Tx
		for _, pa := range part {
			pu, err := pa.Put()
			if err != nil {
				return err
			}
			tx.Puts = append(tx.Puts, pu)
		}
		if err := en.write(ctx, tx); err != nil {
			return errors.Wrapf(err, "write %d places", len(part))
		}
		en.places.recorded(en.clock.Now(), part...)
		for _, pa := range part {
			logs.Info(en.logger, "place of streams recorded", "route", pa.Route, "service", pa.Service, "software", pa.Software)
		}
	}
	return nil
}

// listPlaces reads the rows of all places, and writes since when they are recorded if no
// entry has.
func (en *Entry) listPlaces(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	page, err := table.ListAll(call, en.store, table.Range{Table: origin.PlaceTable})
	if err != nil {
		return errors.Wrap(err, "list the places of streams")
	}
	var since *origin.Since
	for _, ro := range page.Rows {
		if si, ok, err := origin.DecodeSince(ro); err != nil {
			return err
		} else if ok {
			since = &si
		}
	}
	if since == nil {
		since = &origin.Since{Always: en.settings.FirstStart, At: page.Now}
		pu, err := since.Put()
		if err != nil {
			return err
		}
		tx := table.Tx{Expect: []table.Expect{{ID: pu.ID}}, Puts: []table.Put{pu}}
		if err := en.write(ctx, tx); err != nil {
			return errors.Wrap(err, "write since when places are recorded")
		}
	}
	all := en.decodePlaces(page.Rows)
	en.places.recorded(en.clock.Now(), all...)
	en.places.mutex.Lock()
	defer en.places.mutex.Unlock()
	en.places.since = since
	close(en.places.listed)
	logs.Info(en.logger, "places of streams listed", "places", len(all), "always", since.Always, "since", since.At)
	return nil
}

func (en *Entry) decodePlaces(rows []table.Row) []origin.Place {
	var all []origin.Place
	for _, ro := range rows {
		pa, ok, err := origin.DecodePlace(ro)
		if err != nil {
			logs.Warn(en.logger, "cannot decode the place of streams", "row", ro.Version, "err", err)
		} else if ok {
			all = append(all, pa)
		}
	}
	return all
}

// readOrigin reads what the store has about a stream: the places of its route, and its own
// origin if there are several.
func (en *Entry) readOrigin(ctx context.Context, ro conf.Route, id string) origin.Evidence {
	var ev origin.Evidence
	page, err := table.ListAll(ctx, en.store, origin.PlaceRange(ro.Name))
	if err != nil {
		logs.Warn(en.logger, "places of a route not read", "route", ro.Name, "id", id, "err", err)
		return ev
	}
	select {
	case <-en.places.listed:
	case <-ctx.Done():
		return ev
	}
	ev.Read = true
	ev.Places, ev.Complete = en.places.merge(ro.Name, en.decodePlaces(page.Rows), page.Now)
	if len(ev.Places) < 2 {
		return ev
	}
	if !origin.Storable(id) {
		ev.OriginRead = true // it is not stored
		return ev
	}
	row := origin.ID(ro.Name, id)
	page, err = table.ListAll(ctx, en.store, table.Range{Table: row.Table, Part: row.Part, From: row.Key, To: row.Key + "\x00"})
	if err != nil {
		logs.Warn(en.logger, "origin of a stream not read", "route", ro.Name, "id", id, "err", err)
		return ev
	}
	ev.OriginRead = true
	for _, row := range page.Rows {
		if st, err := origin.DecodeStored(row); err != nil {
			logs.Warn(en.logger, "cannot decode the origin of a stream", "id", id, "err", err)
		} else if st.Place.Route == ro.Name {
			ev.Remembered = &st.Place
		}
	}
	return ev
}

// merge returns the places of a route from rows and those that this entry uses, and for how
// long they have been recorded. It must not be called before the rows were listed.
func (pl *places) merge(route string, rows []origin.Place, storeNow time.Duration) ([]origin.Place, time.Duration) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	set := map[origin.Place]bool{}
	for _, pa := range append(rows, pl.known.Missing()...) {
		if pa.Route == route {
			set[pa] = true
		}
	}
	var all []origin.Place
	for pa := range set {
		all = append(all, pa)
	}
	return all, pl.since.For(storeNow)
}

// storeOrigins writes the origins of streams in batches while their routes have several
// places (origin rule 2).
func (en *Entry) storeOrigins(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-en.places.unstored:
		}
		if en.storeBatch(ctx) {
			wake(en.places.unstored)
		}
		select {
		case <-ctx.Done():
		case <-en.clock.After(storeInterval):
		}
	}
}

// storeBatch writes one transaction and reports whether another is due.
func (en *Entry) storeBatch(ctx context.Context) bool {
	part := "" // a transaction has rows of one part
	taken := en.origins.takeUnstored(table.MaxTxRows, func(pa origin.Place) bool {
		own := origin.ID(pa.Route, "").Part
		if !en.places.several(pa.Route) || (part != "" && own != part) {
			return false
		}
		part = own
		return true
	})
	if len(taken) == 0 {
		return false
	}
	var tx table.Tx
	for id, kept := range taken {
		pu, err := origin.Stored{Place: kept.Place, Expires: kept.at.Add(origin.Retention).UnixMilli()}.Put(id)
		if err != nil {
			logs.Error(en.logger, "origin of a stream not encoded", "id", id, "err", err)
			continue
		}
		tx.Puts = append(tx.Puts, pu)
	}
	if err := en.write(ctx, tx); err != nil && ctx.Err() == nil {
		logs.Warn(en.logger, "origins of streams not stored", "count", len(tx.Puts), "err", err)
		en.meters.Count("origins-not-stored", "", int64(len(tx.Puts)))
		en.origins.putBack(taken)
	}
	return true
}

// cleanTimeout bounds one search for expired places and origins.
const cleanTimeout = 4 * time.Second

// cleanOrigins deletes expired places and origins from the store. Only one entry does: the
// owner of the table's name as if it were a route.
func (en *Entry) cleanOrigins(ctx context.Context) {
	now, pl := en.clock.Now(), en.places
	owner := en.routeOwner(origin.PlaceTable).Name == en.name
	if !pl.startCleaning(now, owner) {
		return
	}
	call, cancel := context.WithTimeout(ctx, cleanTimeout)
	defer cancel()
	left, err := en.deletePlaces(call, now)
	if err == nil {
		var origins bool
		origins, err = en.deleteStoredOrigins(call, now)
		left = left || origins
	}
	if err != nil {
		logs.Warn(en.logger, "expired origins of streams not deleted", "err", err)
		return
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.dirty = left
}

// startCleaning reports whether a search for expired rows is due. An entry that does not
// search forgets expired places.
func (pl *places) startCleaning(now time.Time, owner bool) bool {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.dirty = pl.dirty || pl.known.Unused()
	if !owner {
		pl.known.Expired(now)
		return false
	}
	return pl.dirty && pl.since != nil
}

// deletePlaces deletes expired places and reports whether others will expire.
func (en *Entry) deletePlaces(ctx context.Context, now time.Time) (left bool, err error) {
	page, err := table.ListAll(ctx, en.store, table.Range{Table: origin.PlaceTable})
	if err != nil {
		return false, errors.Wrap(err, "list the places of streams")
	}
	en.places.recorded(now, en.decodePlaces(page.Rows)...)
	en.places.mutex.Lock()
	// An entry that uses a place again writes its row again. This one may not list the
	// targets of the place yet.
	versions := en.places.unchanged(now, page.Rows)
	expired := en.places.known.Expired(now)
	left = en.places.known.Unused()
	en.places.mutex.Unlock()
	for _, pa := range expired {
		id := pa.ID()
		version, old := versions[id]
		if !old {
			left = true
			continue
		}
		err := en.write(ctx, table.Tx{Expect: []table.Expect{{ID: id, Version: version}}, Drops: []table.ID{id}})
		logs.Info(en.logger, "place of streams expired", "route", pa.Route, "service", pa.Service, "software", pa.Software, "err", err)
		if err != nil && !errors.Is(err, table.ErrConflict) {
			return true, errors.Wrap(err, "delete a place")
		}
	}
	return left, nil
}

// deleteStoredOrigins deletes expired origins and reports whether others are left.
func (en *Entry) deleteStoredOrigins(ctx context.Context, now time.Time) (left bool, err error) {
	for _, part := range batch.Parts() {
		page, err := table.ListAll(ctx, en.store, table.Range{Table: origin.OriginTable, Part: part})
		if err != nil {
			return false, errors.Wrap(err, "list the origins of streams")
		}
		var expired []table.ID
		for _, ro := range page.Rows {
			st, err := origin.DecodeStored(ro)
			if err != nil {
				logs.Warn(en.logger, "origin of a stream dropped", "row", ro.Version, "err", err)
			}
			if err != nil || now.UnixMilli() > st.Expires {
				expired = append(expired, ro.ID)
			}
		}
		left = left || len(expired) < len(page.Rows)
		if err := en.ledger.DeleteRows(ctx, expired); err != nil {
			return false, err
		}
	}
	return left, nil
}
