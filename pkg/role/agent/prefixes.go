package agent

import (
	"container/list"

	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// reportedPrefixes bounds the prefixes in one load report, which is sent ten
// times a second to each entry.
const reportedPrefixes = 32

// prefixSet remembers which prefixes the engine has cached, as far as its
// events told. It may be wrong: a wrong guess costs only a prefill.
type prefixSet struct {
	max     int
	next    uint64 // sequence of the next event
	order   *list.List
	entries map[uint64]*list.Element
}

func newPrefixSet(max int) prefixSet {
	return prefixSet{max: max, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// apply takes events in the order of their sequence. Events that were applied
// before are skipped. After a gap, an eviction may have been missed; the set
// keeps its entries, because a false entry costs less than all lost ones.
func (p *prefixSet) apply(c *upstreams.CacheEvents) {
	for i, e := range c.Events {
		sequence := c.Sequence + uint64(i)
		if sequence < p.next {
			continue
		}
		p.next = sequence + 1
		p.applyOne(e)
	}
}

func (p *prefixSet) applyOne(e upstreams.CacheEvent) {
	switch e.Action {
	case upstreams.CacheStored:
		p.add(e.Prefix)
	case upstreams.CacheEvicted:
		p.remove(e.Prefix)
	case upstreams.CacheCleared:
		p.order.Init()
		clear(p.entries)
	}
}

func (p *prefixSet) add(prefix uint64) {
	if known, ok := p.entries[prefix]; ok {
		p.order.MoveToFront(known)
		return
	}
	if len(p.entries) >= p.max {
		p.remove(p.order.Back().Value.(uint64))
	}
	p.entries[prefix] = p.order.PushFront(prefix)
}

func (p *prefixSet) remove(prefix uint64) {
	if known, ok := p.entries[prefix]; ok {
		p.order.Remove(known)
		delete(p.entries, prefix)
	}
}

func (p *prefixSet) newest(n int) []uint64 {
	var out []uint64
	for e := p.order.Front(); e != nil && len(out) < n; e = e.Next() {
		out = append(out, e.Value.(uint64))
	}
	return out
}
