package intake

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/relay"
	"bilberryshelf/table"
)

// peers returns the other live entries, which can relay calls to the store, in
// random order.
func (en *Entry) peers() []relay.Peer {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	var peers []relay.Peer
	for _, re := range en.members.Live(en.clock.Now()) {
		if re.Name == en.name || re.Addr == "" {
			continue
		}
		cl := en.peerClients[re.Addr]
		if cl == nil {
			cl = en.dial(re.Addr)
			en.peerClients[re.Addr] = cl
		}
		peers = append(peers, relay.Peer{Name: re.Name, Store: cl})
	}
	rand.Shuffle(len(peers), func(lhs, rhs int) { peers[lhs], peers[rhs] = peers[rhs], peers[lhs] })
	return peers
}

// renew writes the entry's row every member.RenewInterval until the context ends.
func (en *Entry) renew(ctx context.Context) {
	near := false
	for beat := uint64(1); ctx.Err() == nil; beat++ {
		re := member.Record{
			Name: en.name, Addr: en.settings.Inner, Heartbeat: beat, LowCapacity: en.settings.LowCapacity, Stopping: en.stopping.Load(), Region: en.settings.Region, Domain: en.settings.Domain, NearStore: near,
		}
		began := en.clock.Now()
		limits, err := en.permitIssuer.Announce(began)
		if err != nil {
			logs.Warn(en.logger, "limits of targets not announced", "err", err)
		}
		re.Limits, re.Offset, re.Load = cbor.ByteString(limits), en.clockOffset(), en.reportLoad(began)
		err = en.writeMember(ctx, re)
		if took := en.clock.Now().Sub(began); err == nil && took < maxNearWriteTime {
			near = true // never reset: a later slow write is not due to the distance
		}
		if err != nil && ctx.Err() == nil {
			logs.Warn(en.logger, "cannot renew the row of this entry", "beat", beat, "err", err)
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

// writeTimeout bounds a write of a small row: the next renewal is due then.
const writeTimeout = member.RenewInterval

// maxNearWriteTime is the longest write of a row by an entry near the store: 4 to
// 10 ms at the store and a round trip within the region. The network delay to
// another region alone is 60 ms.
const maxNearWriteTime = 40 * time.Millisecond
