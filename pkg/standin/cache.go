package standin

import (
	"container/list"
	"sync"

	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// cacheEntry is the KV state of all layers of the engine after one prefix.
type cacheEntry struct {
	prefix uint64
	kv     []uint64
}

// prefixCache keeps the most recently used prefixes in limited memory and
// collects events for the agent.
type prefixCache struct {
	mu       sync.Mutex
	capacity int // entries of upstreams.PrefixBlock tokens each
	order    *list.List
	entries  map[uint64]*list.Element
	events   []upstreams.CacheEvent
}

const maxPendingEvents = 1 << 14

func newPrefixCache(tokens uint64) *prefixCache {
	return &prefixCache{
		capacity: int(tokens / upstreams.PrefixBlockTokens),
		order:    list.New(),
		entries:  make(map[uint64]*list.Element),
	}
}

// lookup returns the states of the longest run of cached prefixes from the
// first one on.
func (c *prefixCache) lookup(prefixes []uint64) [][]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var states [][]uint64
	for _, p := range prefixes {
		e, ok := c.entries[p]
		if !ok {
			return states
		}
		c.order.MoveToFront(e)
		states = append(states, e.Value.(*cacheEntry).kv)
	}
	return states
}

func (c *prefixCache) store(prefix uint64, kv []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.entries[prefix]; ok || c.capacity == 0 {
		return
	}
	for len(c.entries) >= c.capacity {
		oldest := c.order.Back()
		evicted := oldest.Value.(*cacheEntry).prefix
		c.order.Remove(oldest)
		delete(c.entries, evicted)
		c.record(upstreams.CacheEvicted, evicted)
	}
	c.entries[prefix] = c.order.PushFront(&cacheEntry{prefix: prefix, kv: append([]uint64(nil), kv...)})
	c.record(upstreams.CacheStored, prefix)
}

func (c *prefixCache) record(action string, prefix uint64) {
	if len(c.events) < maxPendingEvents {
		c.events = append(c.events, upstreams.CacheEvent{Action: action, Prefix: prefix})
	}
}

// takeEvents returns the events since the last call.
func (c *prefixCache) takeEvents() []upstreams.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.events
	c.events = nil
	return events
}
