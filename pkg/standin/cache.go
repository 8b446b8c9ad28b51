package standin

import (
	"container/list"
	"sync"

	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// cacheEntry is the KV state of all layers of the engine at the end of a prefix.
type cacheEntry struct {
	prefix uint64
	kv     []uint64
}

// prefixCache is an LRU cache of prefixes. It collects the events to report to the
// agent.
type prefixCache struct {
	mu       sync.Mutex
	capacity int // entries of upstreams.PrefixBlockTokens tokens each
	recency  *list.List
	entries  map[uint64]*list.Element
	events   []upstreams.CacheEvent
}

const maxPendingEvents = 1 << 14

func newPrefixCache(tokens uint64) *prefixCache {
	return &prefixCache{
		capacity: int(tokens / upstreams.PrefixBlockTokens),
		recency:  list.New(),
		entries:  make(map[uint64]*list.Element),
	}
}

// lookup returns the states of the longest cached sequence of prefixes that begins
// with the first one.
func (c *prefixCache) lookup(prefixes []uint64) [][]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var states [][]uint64
	for _, p := range prefixes {
		e, ok := c.entries[p]
		if !ok {
			return states
		}
		c.recency.MoveToFront(e)
		states = append(states, e.Value.(*cacheEntry).kv)
	}
	return states
}

// store adds a copy of kv unless the prefix is cached already, and evicts the least
// recently used entries.
func (c *prefixCache) store(prefix uint64, kv []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.entries[prefix]; ok || c.capacity == 0 {
		return
	}
	for len(c.entries) >= c.capacity {
		oldest := c.recency.Back()
		evicted := oldest.Value.(*cacheEntry).prefix
		c.recency.Remove(oldest)
		delete(c.entries, evicted)
		c.addEvent(upstreams.CacheEvicted, evicted)
	}
	c.entries[prefix] = c.recency.PushFront(&cacheEntry{prefix: prefix, kv: append([]uint64(nil), kv...)})
	c.addEvent(upstreams.CacheStored, prefix)
}

// addEvent drops the event if maxPendingEvents are waiting.
func (c *prefixCache) addEvent(action string, prefix uint64) {
	if len(c.events) < maxPendingEvents {
		c.events = append(c.events, upstreams.CacheEvent{Action: action, Prefix: prefix})
	}
}

// takeEvents returns the events since the previous call.
func (c *prefixCache) takeEvents() []upstreams.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.events
	c.events = nil
	return events
}
