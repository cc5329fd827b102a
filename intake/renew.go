package intake

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/table"
	"bilberryshelf/via"
)

// peers lists the live entries that may pass calls on.
func (en *Entry) peers() []via.Peer {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	var peers []via.Peer
	for _, re := range en.members.Live(en.clock.Now()) {
		if re.Name == en.name || re.Addr == "" {
			continue
		}
		ca := en.peerClients[re.Addr]
		if ca == nil {
			ca = en.dial(re.Addr)
			en.peerClients[re.Addr] = ca
		}
		peers = append(peers, via.Peer{Name: re.Name, Store: ca})
	}
	rand.Shuffle(len(peers), func(lhs, rhs int) { peers[lhs], peers[rhs] = peers[rhs], peers[lhs] })
	return peers
}

// renew keeps the entry's row.
func (en *Entry) renew(ctx context.Context) {
	near := false
	for beat := uint64(1); ctx.Err() == nil; beat++ {
		re := member.Record{
			Name: en.name, Addr: en.settings.Inner, Heartbeat: beat, LowCapacity: en.settings.Weak, Leaving: en.leaving.Load(), Region: en.settings.Region, Domain: en.settings.Domain, NearStore: near,
		}
		began := en.clock.Now()
		err := en.writeMember(ctx, re)
		if took := en.clock.Now().Sub(began); err == nil && took < maxNearWriteTime {
			near = true // a slow store later says nothing of the distance
		}
		if err != nil && ctx.Err() == nil {
			logs.Warn(en.logger, "row not renewed", "beat", beat, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-en.clock.After(member.RenewInterval):
		}
	}
}

func (en *Entry) writeMember(ctx context.Context, re member.Record) error {
	raw, err := re.Encode()
	if err != nil {
		return errors.Wrap(err, "encode the row of an entry")
	}
	return en.write(ctx, table.Tx{Puts: []table.Put{{ID: member.ID(en.settings.Node), Value: raw}}})
}

// writeTimeout bounds a write of a small row: by then the next renewal is due.
const writeTimeout = member.RenewInterval

// maxNearWriteTime is how fast an entry near the store writes a row: the store's 4 to 10 ms
// and a way within the region; the way to another region alone takes 60 ms.
const maxNearWriteTime = 40 * time.Millisecond
