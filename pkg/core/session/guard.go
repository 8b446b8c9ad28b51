// Package session keeps the order of a generation: position checks at each
// stage, the assembly of the answer at the entry, and the decision how to
// repair a stream. It is pure and not safe for concurrent use.
package session

import (
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// PositionGuard checks that each position of a session runs exactly once and in order.
// The zero value has seen no epoch.
type PositionGuard struct {
	epoch uint64
	next  uint32
}

// Open begins an epoch at position next. An epoch that is not higher than
// every earlier one is stale: its sender was replaced, or it is a resend.
func (g *PositionGuard) Open(epoch uint64, next uint32) error {
	if epoch <= g.epoch {
		return stale(epoch, g.epoch)
	}
	g.epoch = epoch
	g.next = next
	return nil
}

// Step accepts count positions that begin at position.
func (g *PositionGuard) Step(epoch uint64, position, count uint32) error {
	if epoch != g.epoch {
		return g.wrongEpoch(epoch)
	}
	if position != g.next {
		return outOfOrder(position, g.next)
	}
	if g.next+count < g.next {
		return fault.New(fault.Invalid, "position overflow").WithField("position")
	}
	g.next += count
	return nil
}

// Epoch returns the highest epoch seen.
func (g *PositionGuard) Epoch() uint64 { return g.epoch }

// NextPosition returns the next position.
func (g *PositionGuard) NextPosition() uint32 { return g.next }

func (g *PositionGuard) wrongEpoch(epoch uint64) error {
	if epoch < g.epoch {
		return stale(epoch, g.epoch)
	}
	e := fault.New(fault.OutOfOrder, "epoch %d was not opened, current is %d", epoch, g.epoch)
	e.Position = g.next
	return e.WithField("epoch")
}

func stale(epoch, current uint64) error {
	return fault.New(fault.StaleEpoch, "epoch %d, current is %d", epoch, current).
		WithField("epoch").
		WithOutcome(fault.NotRun)
}

func outOfOrder(position, next uint32) error {
	word := "gap"
	if position < next {
		word = "repeat"
	}
	e := fault.New(fault.OutOfOrder, "%s: position %d, next is %d", word, position, next)
	e.Position = next
	return e.WithField("position")
}
