// Package session keeps the tokens of a generation in order across retries. It
// holds the position checks that each pipeline stage makes, and the assembly of
// the token stream at the entry, the process that serves the callers. It does no
// I/O, reads no clock, and is not safe for concurrent use.
package session

import (
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// PositionGuard checks that each token position of a session runs exactly once
// and in order. An epoch numbers one attempt of the session. The zero value has
// seen no epoch.
type PositionGuard struct {
	epoch uint64
	next  uint32
}

// Open begins an epoch whose first position is next. It fails with
// fault.StaleEpoch if the epoch is not above every earlier one: a newer attempt
// has replaced the sender, or the message is a duplicate.
func (g *PositionGuard) Open(epoch uint64, next uint32) error {
	if epoch <= g.epoch {
		return staleEpoch(epoch, g.epoch)
	}
	g.epoch = epoch
	g.next = next
	return nil
}

// Step accepts count positions starting at position. It fails with
// fault.StaleEpoch for an earlier epoch, with fault.OutOfOrder for an epoch that
// has not been opened, a gap or a repeated position, and with fault.Invalid if the
// position overflows.
func (g *PositionGuard) Step(epoch uint64, position, count uint32) error {
	if epoch != g.epoch {
		return g.epochMismatch(epoch)
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

// Epoch returns the current epoch, or 0 before the first one.
func (g *PositionGuard) Epoch() uint64 { return g.epoch }

// NextPosition returns the position that the next step must start at.
func (g *PositionGuard) NextPosition() uint32 { return g.next }

func (g *PositionGuard) epochMismatch(epoch uint64) error {
	if epoch < g.epoch {
		return staleEpoch(epoch, g.epoch)
	}
	e := fault.New(fault.OutOfOrder, "epoch %d has not been opened; the current epoch is %d", epoch, g.epoch)
	e.Position = g.next
	return e.WithField("epoch")
}

func staleEpoch(epoch, current uint64) error {
	return fault.New(fault.StaleEpoch, "epoch %d is stale; the current epoch is %d", epoch, current).
		WithField("epoch").
		WithOutcome(fault.NotRun)
}

func outOfOrder(position, next uint32) error {
	word := "gap"
	if position < next {
		word = "repeat"
	}
	e := fault.New(fault.OutOfOrder, "%s: position %d; the next position is %d", word, position, next)
	e.Position = next
	return e.WithField("position")
}
