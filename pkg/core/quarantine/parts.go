// Package quarantine decides which prompt parts crash the engines that start to answer
// requests with them, so that such requests are refused. A crash interrupts all requests
// of an engine, so that the crash of one engine says little; what several crashes have in
// common, and no answered request has, is held to be the cause. The package reads no
// clock: callers pass the time.
package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Parts is a set of identifiers of prompt parts, sorted.
type Parts []string

// maxParts bounds the parts of one request that are looked at.
const maxParts = 16

// NewParts returns the set of the first ids of a list, at most maxParts.
func NewParts(ids []string) Parts {
	p := slices.Clone(ids[:min(len(ids), maxParts)])
	slices.Sort(p)
	return slices.Compact(p)
}

// Contains reports whether p has all parts of q.
func (p Parts) Contains(q Parts) bool {
	for _, id := range q {
		if !p.has(id) {
			return false
		}
	}
	return true
}

func (p Parts) has(id string) bool {
	_, found := slices.BinarySearch(p, id)
	return found
}

// filter returns the parts that keep accepts.
func (p Parts) filter(keep func(id string) bool) Parts {
	return slices.DeleteFunc(slices.Clone(p), func(id string) bool { return !keep(id) })
}

// String returns the parts separated by commas.
func (p Parts) String() string { return strings.Join(p, ",") }

// Quarantine stops the requests that have all of its parts, until a time. It is kept
// after its end: a crash then imposes it again for longer.
type Quarantine struct {
	Parts Parts
	Until time.Time
	// Terms is the number of times that it was imposed.
	Terms int
}

func (q Quarantine) inForce(now time.Time) bool { return now.Before(q.Until) }

// List is a set of quarantines. It is not modified once it is in use.
type List []Quarantine

// Match returns a quarantine that is in force and stops requests with these parts.
func (l List) Match(now time.Time, p Parts) (Quarantine, bool) {
	for _, q := range l {
		if q.inForce(now) && len(q.Parts) > 0 && p.Contains(q.Parts) {
			return q, true
		}
	}
	return Quarantine{}, false
}
