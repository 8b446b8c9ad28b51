// Package intake decides which request bodies a process receives and holds. It addresses
// callers that send many large bodies at once, most of which stop just short of their end and
// stay open, or more bytes than the limit.
//
// It reads no clock and no connection: callers pass times, and abort the bodies that it evicts.
package intake

import "time"

// StallTimeout is the time without progress after which a body may be evicted. Callers on
// sound connections make progress within a round trip, and a retransmission takes 200 to 400 ms.
const StallTimeout = 500 * time.Millisecond

// Cause tells why a body was evicted.
type Cause int

// Causes of an eviction.
const (
	NotEvicted Cause = iota
	OutOfMemory
	OutOfConnections
	Overdue
	Stopping
)

// String returns the name of the cause for metrics and logs.
func (c Cause) String() string {
	return [...]string{"none", "memory", "connections", "deadline", "stop"}[c]
}

// Body is the state of one body in a Budget.
type Body struct {
	// Owner is not used by the Budget: the caller finds its own state of a victim there.
	Owner any

	deadline   time.Time
	progressAt time.Time
	held       int64 // bytes that are charged
	cause      Cause
	receiving  bool // in the list of the budget
	prev, next *Body
}

// Cause returns why the body was evicted, NotEvicted if it was not.
func (b *Body) Cause() Cause { return b.cause }

// Held returns the bytes that are charged for the body.
func (b *Body) Held() int64 { return b.held }

// Budget divides a number of bytes between the bodies of a process. It is not safe for
// concurrent use.
type Budget struct {
	limit   int64
	held    int64
	evicted int64 // part of held that evicted bodies have not yet released
	// list is the sentinel of the ring of bodies that are being received. The one that made
	// progress last comes last.
	list      Body
	receiving int
}

// NewBudget returns a budget of this number of bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{limit: limit}
	b.list.prev, b.list.next = &b.list, &b.list
	return b
}

// Held returns the bytes that are charged for all bodies.
func (b *Budget) Held() int64 { return b.held }

// Receiving returns the number of bodies that are being received.
func (b *Budget) Receiving() int { return b.receiving }

// Begin adds a body that is about to be received and has to arrive by the deadline, if that is
// not zero.
func (b *Budget) Begin(body *Body, now, deadline time.Time) {
	*body = Body{Owner: body.Owner, deadline: deadline}
	b.append(body, now)
}

// Progress records that bytes of the body have arrived.
func (b *Budget) Progress(body *Body, now time.Time) {
	if body.receiving {
		b.remove(body)
		b.append(body, now)
	}
}

// Decision is the reply to a charge.
type Decision int

// Decisions about a charge.
const (
	Granted Decision = iota
	// Refused means that the body itself has to be given up.
	Refused
	// Wait means that evicted bodies will release the bytes. The charge is to be repeated then.
	Wait
)

// Charge charges bytes for a body that is being received. If they are not free, it evicts the
// bodies that have made no progress for longest, if that is at least StallTimeout, and returns
// them: their reads must be aborted. The bytes of an evicted body stay charged until Release.
func (b *Budget) Charge(body *Body, bytes int64, now time.Time) (Decision, []*Body) {
	if body.cause != NotEvicted {
		return Refused, nil
	}
	if b.held+bytes <= b.limit {
		b.held += bytes
		body.held += bytes
		return Granted, nil
	}
	short := b.held + bytes - b.limit - b.evicted
	var victims []*Body
	for v := b.list.next; short > 0 && v != &b.list && v.stalled(now); v = v.next {
		if v != body && v.held > 0 {
			victims = append(victims, v)
			short -= v.held
		}
	}
	if short > 0 {
		return Refused, nil // evicting a part of them would not help this body
	}
	for _, v := range victims {
		b.evict(v, OutOfMemory)
	}
	return Wait, victims
}

// EvictStalled evicts the body that has made no progress for longest, if that is at least
// StallTimeout. It returns nil if there is none.
func (b *Budget) EvictStalled(now time.Time) *Body {
	v := b.list.next
	if v == &b.list || !v.stalled(now) {
		return nil
	}
	b.evict(v, OutOfConnections)
	return v
}

// EvictOverdue evicts and returns the bodies that have not arrived by their deadline.
func (b *Budget) EvictOverdue(now time.Time) []*Body {
	return b.evictIf(Overdue, func(v *Body) bool { return !v.deadline.IsZero() && !now.Before(v.deadline) })
}

// EvictAll evicts and returns all bodies that are being received.
func (b *Budget) EvictAll() []*Body {
	return b.evictIf(Stopping, func(*Body) bool { return true })
}

// Complete records that the body has arrived, and reports whether it was not evicted before.
// Its bytes stay charged until Release.
func (b *Budget) Complete(body *Body) bool {
	if body.receiving {
		b.remove(body)
	}
	return body.cause == NotEvicted
}

// Release returns the bytes of a body to the budget, and forgets it. A second call has no
// effect.
func (b *Budget) Release(body *Body) {
	if body.receiving {
		b.remove(body)
	}
	b.held -= body.held
	if body.cause != NotEvicted {
		b.evicted -= body.held
	}
	body.held = 0
}

func (b *Budget) evictIf(cause Cause, matches func(*Body) bool) []*Body {
	var victims []*Body
	for v := b.list.next; v != &b.list; {
		next := v.next
		if matches(v) {
			b.evict(v, cause)
			victims = append(victims, v)
		}
		v = next
	}
	return victims
}

func (b *Budget) evict(v *Body, cause Cause) {
	b.remove(v)
	v.cause = cause
	b.evicted += v.held
}

func (b *Budget) append(v *Body, now time.Time) {
	v.progressAt = now
	last := b.list.prev
	v.prev, v.next = last, &b.list
	last.next, b.list.prev = v, v
	v.receiving = true
	b.receiving++
}

func (b *Budget) remove(v *Body) {
	v.prev.next, v.next.prev = v.next, v.prev
	v.prev, v.next = nil, nil
	v.receiving = false
	b.receiving--
}

func (v *Body) stalled(now time.Time) bool { return now.Sub(v.progressAt) >= StallTimeout }
