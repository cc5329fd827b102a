// Package gossip decides how a new configuration reaches every entry: which peers to
// contact and when, and when to poll the platform. It sends nothing itself.
//
//  1. A node that adopts a higher generation contacts Fanout random peers at once, and
//     Fanout peers at each of the next Rounds ticks. The two exchange generations,
//     and the one with the higher generation sends its book (the whole configuration)
//     to the other.
//  2. At a tick without a push round a node exchanges generations with one random peer.
//     This reaches the nodes that rule 1 has missed.
//  3. A node reads the platform's head row, which names the latest generation, every
//     PollInterval, with a random phase. During an outage of the platform only rules 1
//     and 2 apply.
//  4. A generation is adopted only if it is higher than the one held.
package gossip

import (
	"math/rand/v2"
	"time"
)

// Node is the gossip state of one entry. It is not safe for concurrent use. The zero
// value with Random set pushes nothing and never polls; at every tick it contacts one
// peer.
type Node struct {
	// Fanout is the number of peers contacted in each push round.
	Fanout int
	// Rounds is the number of ticks for which an adopted generation is pushed.
	Rounds int
	// PollInterval is the time between two reads of the head row; zero means never.
	PollInterval time.Duration
	// Random chooses the peers and the phase of the poll.
	Random *rand.Rand

	peers      []string
	generation uint64
	pushesLeft int
	lastPoll   time.Time
}

// Generation returns the highest generation adopted.
func (no *Node) Generation() uint64 { return no.generation }

// SetPeers replaces the peers; the node itself must not be among them.
func (no *Node) SetPeers(peers []string) { no.peers = peers }

// Peers returns the peers.
func (no *Node) Peers() []string { return no.peers }

// Adopt adopts a generation if it is higher (rule 4). It returns the peers to contact at
// once (rule 1).
func (no *Node) Adopt(generation uint64) (peers []string, adopted bool) {
	if generation <= no.generation {
		return nil, false
	}
	no.generation = generation
	no.pushesLeft = no.Rounds
	return no.choosePeers(no.Fanout), true
}

// Tick must be called at regular intervals. It returns the peers to exchange generations
// with and whether to read the head row now.
func (no *Node) Tick(now time.Time) (peers []string, poll bool) {
	count := 1
	if no.pushesLeft > 0 {
		no.pushesLeft--
		count = max(no.Fanout, 1)
	}
	return no.choosePeers(count), no.pollDue(now)
}

// RandomPeers returns up to Fanout peers, at least one, for exchanges outside the
// regular ticks. It uses up neither a push round nor a poll that is due.
func (no *Node) RandomPeers() []string { return no.choosePeers(max(no.Fanout, 1)) }

func (no *Node) pollDue(now time.Time) bool {
	if no.PollInterval <= 0 {
		return false
	}
	if no.lastPoll.IsZero() {
		no.lastPoll = now.Add(-time.Duration(no.Random.Int64N(int64(no.PollInterval))))
	}
	if now.Sub(no.lastPoll) < no.PollInterval {
		return false
	}
	no.lastPoll = now
	return true
}

// choosePeers returns random peers without repetition.
func (no *Node) choosePeers(count int) []string {
	count = min(count, len(no.peers))
	if count <= 0 {
		return nil
	}
	chosen := make([]string, 0, count)
	taken := make(map[int]bool, count)
	for len(chosen) < count {
		at := no.Random.IntN(len(no.peers))
		if taken[at] {
			continue
		}
		taken[at] = true
		chosen = append(chosen, no.peers[at])
	}
	return chosen
}
