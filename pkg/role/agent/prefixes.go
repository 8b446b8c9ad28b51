package agent

import (
	"container/list"
	"slices"

	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// maxReportedPrefixes limits the prefixes in one load report, which is sent to
// each entry ten times a second.
const maxReportedPrefixes = 64

// prefixSet tracks the prefixes in the engine's cache from its cache events. It
// may be wrong, which costs only a prefill.
type prefixSet struct {
	nextSequence uint64 // sequence number of the next event
	cached       *lruSet
	// recentlyUsed holds prefixes of recent prompts. A prefix that many prompts
	// share is stored only once, so it would soon be the oldest one in cached.
	recentlyUsed *lruSet
}

func newPrefixSet(max int) prefixSet {
	return prefixSet{cached: newLRUSet(max), recentlyUsed: newLRUSet(maxReportedPrefixes)}
}

// noteUsed records the prefix hashes of a prompt. It keeps those of 1, 2, 4 and
// so on blocks and of the whole prompt, so that a long prompt does not fill the
// set.
func (p *prefixSet) noteUsed(hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	p.recentlyUsed.add(hashes[len(hashes)-1])
	for blocks := 1; blocks <= len(hashes); blocks *= 2 {
		p.recentlyUsed.add(hashes[blocks-1])
	}
}

// report returns at most n cached prefixes, those of recent prompts first.
func (p *prefixSet) report(n int) []uint64 {
	var out []uint64
	for e := p.recentlyUsed.order.Front(); e != nil && len(out) < n; e = e.Next() {
		if prefix := e.Value.(uint64); p.cached.has(prefix) {
			out = append(out, prefix)
		}
	}
	for e := p.cached.order.Front(); e != nil && len(out) < n; e = e.Next() {
		if prefix := e.Value.(uint64); !slices.Contains(out, prefix) {
			out = append(out, prefix)
		}
	}
	return out
}

// apply applies events in the order of their sequence numbers and skips those
// already applied. After a gap an eviction may have been missed; the set keeps
// its entries, because one wrong entry costs less than the loss of all.
func (p *prefixSet) apply(c *upstreams.CacheEvents) {
	for i, e := range c.Events {
		sequence := c.Sequence + uint64(i)
		if sequence < p.nextSequence {
			continue
		}
		p.nextSequence = sequence + 1
		p.applyEvent(e)
	}
}

func (p *prefixSet) applyEvent(e upstreams.CacheEvent) {
	switch e.Action {
	case upstreams.CacheStored:
		p.cached.add(e.Prefix)
	case upstreams.CacheEvicted:
		p.cached.remove(e.Prefix)
	case upstreams.CacheCleared:
		p.cached.clear()
	}
}

// lruSet is a bounded set that drops its least recently added member. Adding a
// member again makes it the newest.
type lruSet struct {
	max     int
	order   *list.List // newest first
	entries map[uint64]*list.Element
}

func newLRUSet(max int) *lruSet {
	return &lruSet{max: max, order: list.New(), entries: make(map[uint64]*list.Element)}
}

func (s *lruSet) has(v uint64) bool {
	_, ok := s.entries[v]
	return ok
}

func (s *lruSet) add(v uint64) {
	if element, ok := s.entries[v]; ok {
		s.order.MoveToFront(element)
		return
	}
	if len(s.entries) >= s.max {
		s.remove(s.order.Back().Value.(uint64))
	}
	s.entries[v] = s.order.PushFront(v)
}

func (s *lruSet) remove(v uint64) {
	if element, ok := s.entries[v]; ok {
		s.order.Remove(element)
		delete(s.entries, v)
	}
}

func (s *lruSet) clear() {
	s.order.Init()
	clear(s.entries)
}
