package aggregator

import "github.com/cespare/xxhash/v2"

const (
	// maxLoadsPerRound bounds the loads in one message, which must fit into a
	// datagram. The others follow in the next rounds.
	maxLoadsPerRound = 800
	// idleRepeats is the number of times that an upstream is still sent after its
	// load has become zero. If all of them were lost, the receiver would count the
	// load until the aggregator changes.
	idleRepeats = 8
)

// changeSet holds the upstreams whose loads are to be sent.
type changeSet struct {
	changed map[string]bool
	// sent holds the upstreams that are sent from time to time without a change, with
	// the number of times for which they may be idle until they are dropped.
	sent map[string]int
	// chosen lists the upstreams that are sent in this round.
	chosen []string
}

func newChangeSet() changeSet {
	return changeSet{changed: make(map[string]bool), sent: make(map[string]int)}
}

func (c *changeSet) add(upstream string) { c.changed[upstream] = true }

// choose chooses the changed upstreams, and those whose turn it is.
func (c *changeSet) choose(round, rounds int) {
	c.chosen = c.chosen[:0]
	for upstream := range c.sent {
		if xxhash.Sum64String(upstream)%uint64(rounds) == uint64(round%rounds) {
			c.changed[upstream] = true
		}
	}
	for upstream := range c.changed {
		if len(c.chosen) == maxLoadsPerRound {
			return
		}
		c.chosen = append(c.chosen, upstream)
	}
}

// forgetChosen removes the chosen upstreams from the changed ones. Those with a load
// are sent again later.
func (c *changeSet) forgetChosen(hasLoad func(upstream string) bool) {
	for _, upstream := range c.chosen {
		delete(c.changed, upstream)
		switch left := c.sent[upstream]; {
		case hasLoad(upstream):
			c.sent[upstream] = idleRepeats
		case left > 1:
			c.sent[upstream] = left - 1
		default:
			delete(c.sent, upstream)
		}
	}
	c.chosen = c.chosen[:0]
}
