package quarantine

import lru "github.com/hashicorp/golang-lru/v2"

// maxAnsweredParts bounds the parts that AnsweredParts remembers.
const maxAnsweredParts = 4096

// AnsweredParts remembers the parts of answered requests. Those that were not asked for
// longest are forgotten first. It may be used by several goroutines.
type AnsweredParts struct{ cache *lru.Cache[string, struct{}] }

// NewAnsweredParts returns an empty AnsweredParts.
func NewAnsweredParts() AnsweredParts {
	cache, err := lru.New[string, struct{}](maxAnsweredParts)
	if err != nil {
		panic(err) // only a size that is not positive is refused
	}
	return AnsweredParts{cache}
}

// Add records the parts of an answered request.
func (a AnsweredParts) Add(p Parts) {
	for _, id := range p {
		a.cache.Add(id, struct{}{})
	}
}

// Contains reports whether a request with a part was answered.
func (a AnsweredParts) Contains(id string) bool { return a.cache.Contains(id) }
