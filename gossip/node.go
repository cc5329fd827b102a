// Package gossip decides how a new configuration reaches every entry: whom to
// tell when, and when to ask the platform. It sends nothing itself.
//
//  1. A node that adopts a higher generation tells Fanout peers at once, and
//     again at each of the next Rounds ticks. A peer that is behind gets the
//     book with the offer's answer.
//  2. At every tick a node exchanges generations with one peer more, whichever
//     is ahead sends the book. So the rest hear of it by chance soon after.
//  3. Every Poll, spread by the node's own phase, it reads the head row of the
//     platform; when the platform is out, rules 1 and 2 carry on alone.
//  4. A generation is adopted only if it is higher than the one held.
package gossip

import (
	"math/rand/v2"
	"time"
)

// Node is the spreading state of one entry. It is not safe for concurrent
// use. The zero value, with Random set, spreads nothing but answers.
type Node struct {
	// Fanout is the number of peers told in a round of pushing.
	Fanout int
	// Rounds is the number of ticks for which an adopted generation is pushed.
	Rounds int
	// PollInterval is the time between two reads of the head row; zero for never.
	PollInterval time.Duration
	// Random draws peers and the phase of the poll.
	Random *rand.Rand

	peers      []string
	generation uint64
	pushesLeft int
	lastPoll   time.Time
}

// Generation is the highest generation adopted.
func (no *Node) Generation() uint64 { return no.generation }

// SetPeers replaces the peers; the node itself must not be among them.
func (no *Node) SetPeers(peers []string) { no.peers = peers }

// Peers lists the peers.
func (no *Node) Peers() []string { return no.peers }

// Adopt takes a generation if it is higher (rule 4). It returns the peers to
// tell at once (rule 1).
func (no *Node) Adopt(generation uint64) (told []string, adopted bool) {
	if generation <= no.generation {
		return nil, false
	}
	no.generation = generation
	no.pushesLeft = no.Rounds
	return no.choosePeers(no.Fanout), true
}

// Tick is called at a steady pace. It returns the peers to exchange
// generations with and whether to read the head row now.
func (no *Node) Tick(now time.Time) (peers []string, poll bool) {
	count := 1
	if no.pushesLeft > 0 {
		no.pushesLeft--
		count = max(no.Fanout, 1)
	}
	return no.choosePeers(count), no.pollDue(now)
}

// RandomPeers draws peers for news beside the steady pace. It uses up neither a round
// of pushing nor a poll that is due.
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

// choosePeers picks peers without repetition.
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
