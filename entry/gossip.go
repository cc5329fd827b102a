package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/poison"
	"bilberryshelf/wire"
	"bilberryshelf/wire/wireconnect"
)

// peerTimeout limits one call to another entry.
const peerTimeout = 2 * time.Second

// maxSuspects limits the poison reports sent in one exchange.
const maxSuspects = 64

func (en *Entry) peer(addr string) wireconnect.PeerServiceClient {
	return wireconnect.NewPeerServiceClient(en.inner, "http://"+addr, en.clientOptions()...)
}

// addPeer adds another entry or updates its address. It runs on the loop. The map
// is shared with views, so it is replaced instead of modified.
func (en *Entry) addPeer(name, addr string) {
	if name == "" || name == en.settings.Name || en.peers[name] == addr {
		return
	}
	next := maps.Clone(en.peers)
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
	en.gossipNode.SetPeers(names)
}

// knownEntries returns the names of all known entries, including this one, sorted.
func (en *Entry) knownEntries() []string {
	names := append(slices.Clone(en.gossipNode.Peers()), en.settings.Name)
	slices.Sort(names)
	return names
}

// loadInitial reads the instances and the configuration from the platform. An
// entry without a configuration serves no requests; it may still receive one
// from another entry.
func (en *Entry) loadInitial(ctx context.Context) {
	en.readList(ctx)
	en.pollHead(ctx)
}

// gossipTick runs one round of the gossip with peers, polls the head row when that
// is due, and refreshes the view.
func (en *Entry) gossipTick(ctx context.Context) {
	var (
		peers []string
		poll  bool
	)
	en.loop.Do(func() { peers, poll = en.gossipNode.Tick(en.clock.Now()) })
	for _, na := range peers {
		en.exchange(ctx, na)
	}
	if poll {
		en.pollHead(ctx)
	}
	en.loop.Do(en.refreshEndpoints)
}

// pollHead reads the head row and adopts a newer book from the object store.
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

// adopt replaces the book by a newer one and sends it to guards and peers
// immediately.
func (en *Entry) adopt(ctx context.Context, raw []byte, from string) {
	bo, err := loan.DecodeBook(raw)
	if err != nil {
		level.Error(en.logger).Log("event", "book-damaged", "from", from, "err", err)
		return
	}
	var notify []string
	en.loop.Do(func() {
		peers, adopted := en.gossipNode.Adopt(bo.Generation)
		if !adopted {
			return
		}
		en.book, en.encodedBook = bo, raw
		for _, re := range en.remotes {
			re.requestHello()
		}
		en.publish()
		notify = peers
		level.Info(en.logger).Log("event", "configuration", "generation", bo.Generation, "from", from, "loans", len(bo.Loans))
	})
	for _, na := range notify {
		go en.exchange(ctx, na)
	}
}

// exchange sends this entry's generation and suspects to one peer. If the
// generations differ, the newer book is fetched or sent.
func (en *Entry) exchange(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var (
		req     *wire.SpreadRequest
		encoded []byte
	)
	addr := en.view.Load().peerAddrs[name]
	if !en.loop.Do(func() {
		req = &wire.SpreadRequest{
			Entry: en.settings.Name, Addr: en.settings.InnerListen, Generation: en.book.Generation,
			Suspects: en.suspects(),
		}
		encoded = en.encodedBook
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
		push := &wire.SpreadRequest{Entry: req.Entry, Addr: req.Addr, Generation: req.Generation, Book: encoded}
		if _, err := peer.Spread(ctx, push); err != nil {
			en.meters.Count("peer-errors", "spread", 1)
		}
	case res.Generation > req.Generation:
		en.fetchBookFrom(ctx, peer, name)
	}
}

func (en *Entry) fetchBookFrom(ctx context.Context, peer wireconnect.PeerServiceClient, name string) {
	res, err := peer.Book(ctx, &wire.BookRequest{Above: en.view.Load().book.Generation})
	if err != nil || len(res.Book) == 0 {
		return
	}
	en.adopt(ctx, res.Book, name)
}

// fetchRevision gets a newer book from peers or the platform after a guard has
// reported a newer revision. It runs on the loop.
func (en *Entry) fetchRevision(above uint64) {
	if en.book.Generation >= above {
		return
	}
	peers := en.gossipNode.RandomPeers()
	go func() {
		for _, na := range peers {
			en.exchange(en.ctx, na)
		}
		if en.view.Load().book.Generation < above {
			en.pollHead(en.ctx)
		}
	}()
}

// Spread serves an exchange started by another entry. It adopts the book and the
// suspects of the request, and returns this entry's generation and suspects.
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

// Book returns the current book, encoded, if it is newer than the requested
// generation.
func (en *Entry) Book(_ context.Context, req *wire.BookRequest) (*wire.BookResponse, error) {
	res := &wire.BookResponse{}
	en.loop.Do(func() {
		res.Generation = en.book.Generation
		if en.book.Generation > req.Above {
			res.Book = en.encodedBook
		}
	})
	return res, nil
}

func (en *Entry) suspects() []*wire.Suspect {
	var out []*wire.Suspect
	for _, re := range en.poison.Reports(en.clock.Now(), maxSuspects) {
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

// notifyPeers starts exchanges with a few peers, to send them new suspects.
func (en *Entry) notifyPeers() {
	var peers []string
	en.loop.Do(func() { peers = en.gossipNode.RandomPeers() })
	for _, na := range peers {
		go en.exchange(en.ctx, na)
	}
}

// commit has a change accepted by the platform and adopts the resulting book.
func (en *Entry) commit(ctx context.Context, operation, operator string, update func(bo loan.Book) (loan.Book, *core.Error)) (loan.Book, *core.Error) {
	bo, er := en.acceptor.Accept(ctx, operation, operator, update)
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
