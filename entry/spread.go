package entry

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/poison"
	"bilberryshelf/wire"
	"bilberryshelf/wire/wireconnect"
)

// spreadTimeout bounds one exchange with another entry.
const spreadTimeout = 2 * time.Second

// mostSuspects bounds the bad requests told in one exchange.
const mostSuspects = 64

func (en *Entry) peer(addr string) wireconnect.PeerServiceClient {
	return wireconnect.NewPeerServiceClient(en.inner, "http://"+addr, en.clientOptions()...)
}

// addPeer remembers another entry. It runs on the loop. The map is shared with
// views, so it is replaced, not changed.
func (en *Entry) addPeer(name, addr string) {
	if name == "" || name == en.settings.Name || en.peers[name] == addr {
		return
	}
	next := make(map[string]string, len(en.peers)+1)
	for na, ad := range en.peers {
		next[na] = ad
	}
	next[name] = addr
	en.peers = next
	en.setPeers()
}

func (en *Entry) setPeers() {
	names := make([]string, 0, len(en.peers))
	for na := range en.peers {
		names = append(names, na)
	}
	slices.Sort(names)
	en.node.SetPeers(names)
}

// liveEntries lists all known entries, this one included, sorted.
func (en *Entry) liveEntries() []string {
	names := append(slices.Clone(en.node.Peers()), en.settings.Name)
	slices.Sort(names)
	return names
}

// loadFirst gets a configuration from the platform or from any entry. An
// entry that has none serves nothing.
func (en *Entry) loadFirst(ctx context.Context) {
	en.readList(ctx)
	en.pollHead(ctx)
}

// spreadTick is the steady pace of the gossip.
func (en *Entry) spreadTick(ctx context.Context) {
	var (
		peers []string
		poll  bool
	)
	en.loop.Do(func() { peers, poll = en.node.Tick(en.clock.Now()) })
	for _, na := range peers {
		en.exchange(ctx, na)
	}
	if poll {
		en.pollHead(ctx)
	}
	en.loop.Do(en.refreshAll)
}

// pollHead reads the head row and takes a newer book from the object store.
func (en *Entry) pollHead(ctx context.Context) {
	generation, object, err := en.acceptor.Head(ctx)
	if err != nil {
		en.meters.Count("platform-errors", "head", 1)
		level.Warn(en.logger).Log("event", "head-not-read", "err", err)
		return
	}
	if generation <= en.view.Load().book.Generation {
		return
	}
	raw, err := en.acceptor.Objects.Read(ctx, object)
	if err != nil {
		en.meters.Count("platform-errors", "book", 1)
		level.Warn(en.logger).Log("event", "book-not-read", "object", object, "err", err)
		return
	}
	en.adopt(ctx, raw, "platform")
}

// adopt takes a book if it is newer, tells peers of it, and brings it to the
// guards at once.
func (en *Entry) adopt(ctx context.Context, raw []byte, from string) {
	bo, err := loan.DecodeBook(raw)
	if err != nil {
		level.Error(en.logger).Log("event", "book-damaged", "from", from, "err", err)
		return
	}
	var told []string
	en.loop.Do(func() {
		peers, adopted := en.node.Adopt(bo.Generation)
		if !adopted {
			return
		}
		en.book, en.encoded = bo, raw
		for _, re := range en.remotes {
			re.hurry()
		}
		en.publish()
		told = peers
		level.Info(en.logger).Log("event", "configuration", "generation", bo.Generation, "from", from, "loans", len(bo.Loans))
	})
	for _, na := range told {
		go en.exchange(ctx, na)
	}
}

// exchange tells one peer this entry's generation and takes or brings the
// newer book.
func (en *Entry) exchange(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var (
		req     *wire.SpreadRequest
		encoded []byte
	)
	addr := en.view.Load().addrs[name]
	if !en.loop.Do(func() {
		req = &wire.SpreadRequest{
			Entry: en.settings.Name, Addr: en.settings.InnerListen, Generation: en.book.Generation,
			Suspects: en.suspects(),
		}
		encoded = en.encoded
		if addr == "" {
			addr = en.peers[name]
		}
	}) || addr == "" {
		return
	}
	peer := en.peer(addr)
	res, err := peer.Spread(ctx, req)
	if err != nil {
		en.meters.Count("peer-errors", "spread", 1)
		return
	}
	en.loop.Do(func() { en.mergeSuspects(res.Suspects) })
	switch {
	case res.Generation < req.Generation:
		again := &wire.SpreadRequest{Entry: req.Entry, Addr: req.Addr, Generation: req.Generation, Book: encoded}
		if _, err := peer.Spread(ctx, again); err != nil {
			en.meters.Count("peer-errors", "spread", 1)
		}
	case res.Generation > req.Generation:
		en.takeFrom(ctx, peer, name)
	}
}

func (en *Entry) takeFrom(ctx context.Context, peer wireconnect.PeerServiceClient, name string) {
	res, err := peer.Book(ctx, &wire.BookRequest{Above: en.view.Load().book.Generation})
	if err != nil || len(res.Book) == 0 {
		return
	}
	en.adopt(ctx, res.Book, name)
}

// fetch looks for a newer book, since a guard has a newer revision than this
// entry knew. It runs on the loop.
func (en *Entry) fetch(above uint64) {
	if en.book.Generation >= above {
		return
	}
	peers := en.node.Some()
	go func() {
		for _, na := range peers {
			en.exchange(en.ctx, na)
		}
		if en.view.Load().book.Generation < above {
			en.pollHead(en.ctx)
		}
	}()
}

// Spread answers another entry's exchange.
func (en *Entry) Spread(ctx context.Context, req *wire.SpreadRequest) (*wire.SpreadResponse, error) {
	if len(req.Book) > 0 {
		en.adopt(context.WithoutCancel(ctx), req.Book, req.Entry)
	}
	res := &wire.SpreadResponse{}
	en.loop.Do(func() {
		en.addPeer(req.Entry, req.Addr)
		en.mergeSuspects(req.Suspects)
		res.Generation = en.book.Generation
		res.Suspects = en.suspects()
	})
	return res, nil
}

// Book answers with the configuration held, if it is newer than the asker's.
func (en *Entry) Book(_ context.Context, req *wire.BookRequest) (*wire.BookResponse, error) {
	res := &wire.BookResponse{}
	en.loop.Do(func() {
		res.Generation = en.book.Generation
		if en.book.Generation > req.Above {
			res.Book = en.encoded
		}
	})
	return res, nil
}

func (en *Entry) suspects() []*wire.Suspect {
	var out []*wire.Suspect
	for _, re := range en.poison.Reports(en.clock.Now(), mostSuspects) {
		out = append(out, &wire.Suspect{Digest: re.Digest, State: string(re.State), UntilNanos: re.Expires.UnixNano()})
	}
	return out
}

func (en *Entry) mergeSuspects(suspects []*wire.Suspect) {
	reports := make([]poison.Report, 0, len(suspects))
	for _, su := range suspects {
		reports = append(reports, poison.Report{
			Digest: su.Digest, State: poison.State(su.State), Expires: time.Unix(0, su.UntilNanos),
		})
	}
	if en.poison.Merge(en.clock.Now(), reports) > 0 {
		en.publish()
	}
}

// tellPeers brings what was just learnt of a bad request to a few peers.
func (en *Entry) tellPeers() {
	var peers []string
	en.loop.Do(func() { peers = en.node.Some() })
	for _, na := range peers {
		go en.exchange(en.ctx, na)
	}
}

// commit gets a change accepted and spreads it from here.
func (en *Entry) commit(ctx context.Context, operation, operator string, amend func(bo loan.Book) (loan.Book, *core.Error)) (loan.Book, *core.Error) {
	bo, er := en.acceptor.Accept(ctx, operation, operator, amend)
	if er != nil {
		return bo, er
	}
	if bo.Loans != nil || bo.Versions != nil {
		if raw, err := bo.Encode(); err == nil {
			en.adopt(en.ctx, raw, "operator")
		}
	}
	level.Info(en.logger).Log("event", "accepted", "operation", operation, "operator", operator, "generation", bo.Generation)
	return bo, nil
}
