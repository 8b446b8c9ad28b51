// Package state implements the replicated state machine of the control process
// (pkg/role/control). It is deterministic: equal sequences of commands give equal
// states and equal results on every replica.
package state

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// DefaultClaimHorizon is how long claims and request IDs are kept if the policy
	// does not set it.
	DefaultClaimHorizon = 24 * time.Hour
	// MaxKeyClockSkew limits how far the creation time of a key may be ahead of
	// the log time, to allow for clock differences between hosts.
	MaxKeyClockSkew = 5 * time.Minute
	// DefaultConcurrentLoads limits the load orders in progress if the policy does
	// not set it.
	DefaultConcurrentLoads = 4
)

// Store is the whole replicated state. It is not safe for concurrent use.
type Store struct {
	applied uint64
	now     int64 // highest proposal time in the log, in Unix milliseconds
	// expiredBefore is the creation time before which keys are expired. It never
	// decreases: a longer horizon must not revive keys whose claims were dropped.
	expiredBefore int64

	catalogue catalogue
	claims    claimTable
	orders    map[string]OrderState
	audit     auditTrail
	dedup     dedupTable
}

// New returns an empty state.
func New() *Store {
	return &Store{
		catalogue: newCatalogue(),
		claims:    newClaimTable(),
		orders:    make(map[string]OrderState),
		dedup:     newDedupTable(),
	}
}

// Apply executes the command at the given log index.
func (s *Store) Apply(index uint64, cmd *wirepb.Command) *wirepb.CommandResult {
	if index <= s.applied {
		return s.errorResult(fault.New(fault.Internal, "log index %d is not above the applied index %d", index, s.applied))
	}
	s.applied = index
	s.advanceTime(cmd.GetTimeUnixMs())
	result := s.dispatch(cmd)
	if result.Index == 0 {
		result.Index = index // the recorded outcome of a repeated request keeps its index
	}
	return result
}

// advanceTime advances the log time and drops the claims and request IDs that are
// past the horizon.
func (s *Store) advanceTime(proposed int64) {
	s.now = max(s.now, proposed)
	horizon := s.ClaimHorizon().Milliseconds()
	s.expiredBefore = max(s.expiredBefore, s.now-horizon)
	s.claims.purge(s.expiredBefore)
	s.dedup.purge(s.expiredBefore)
}

func (s *Store) dispatch(cmd *wirepb.Command) *wirepb.CommandResult {
	switch body := cmd.GetBody().(type) {
	case *wirepb.Command_Claim:
		return s.claimResult(s.claim(body.Claim))
	case *wirepb.Command_Resolve:
		return s.claimResult(s.resolve(body.Resolve))
	case *wirepb.Command_Release:
		return s.claimResult(s.release(body.Release.GetClaim()))
	case *wirepb.Command_Change, *wirepb.Command_Order, *wirepb.Command_Refused, *wirepb.Command_Voter, *wirepb.Command_Settle:
		return s.executeOnce(cmd)
	default:
		return s.errorResult(fault.New(fault.Invalid, "command has no known body").WithField("body"))
	}
}

// executeOnce executes an operator's command, or returns the recorded outcome if
// the request was executed before.
func (s *Store) executeOnce(cmd *wirepb.Command) *wirepb.CommandResult {
	if cmd.GetRequestId() == "" {
		return s.errorResult(fault.New(fault.Invalid, "request id is missing").WithField("request_id"))
	}
	if len(cmd.GetRequestId()) > maxRequestLength || len(cmd.GetOperator()) > maxRequestLength {
		return s.errorResult(fault.New(fault.Invalid, "request id or operator is over %d bytes", maxRequestLength).WithField("request_id"))
	}
	if body := cmd.GetRefused(); body != nil {
		// A repeat only adds another audit record, and invalid requests must not
		// fill the table of request IDs.
		return s.recordRefusedChange(cmd, body)
	}
	first, err := s.dedup.find(cmd)
	if err != nil {
		return s.errorResult(err)
	}
	if first != nil {
		return cloneResult(first)
	}
	if s.dedup.full() {
		return s.errorResult(fault.New(fault.Overloaded, "table of request ids is full").WithRetryAfter(time.Minute))
	}
	result := s.execute(cmd)
	result.Index = s.applied
	s.dedup.record(cmd, s.now, cloneResult(result))
	return result
}

func (s *Store) execute(cmd *wirepb.Command) *wirepb.CommandResult {
	switch body := cmd.GetBody().(type) {
	case *wirepb.Command_Change:
		return s.change(cmd, body.Change)
	case *wirepb.Command_Order:
		return s.order(cmd, body.Order)
	case *wirepb.Command_Voter:
		return s.recordVoterChange(cmd, body.Voter)
	case *wirepb.Command_Settle:
		return s.settle(cmd, body.Settle)
	}
	return s.errorResult(fault.New(fault.Invalid, "command has no known body").WithField("body"))
}

// errorResult returns the result of a command that was refused.
func (s *Store) errorResult(err *fault.Error) *wirepb.CommandResult {
	return &wirepb.CommandResult{
		Revision: s.catalogue.revision,
		Error:    fault.ToWire(err.WithOutcome(fault.NotRun)),
	}
}

func (s *Store) claimResult(reply *wirepb.ClaimReply, err *fault.Error) *wirepb.CommandResult {
	if err != nil {
		return s.errorResult(err)
	}
	return &wirepb.CommandResult{Revision: s.catalogue.revision, Claim: reply}
}

// AppliedIndex returns the log index of the last applied command.
func (s *Store) AppliedIndex() uint64 { return s.applied }

// LogTime returns the highest proposal time in the log, in Unix milliseconds.
func (s *Store) LogTime() int64 { return s.now }

// ClaimHorizon returns how long claims are kept after the creation of the key.
func (s *Store) ClaimHorizon() time.Duration {
	if seconds := s.catalogue.policy().GetClaimHorizonSeconds(); seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	return DefaultClaimHorizon
}

// ConcurrentLoads returns how many load orders may be in progress.
func (s *Store) ConcurrentLoads() int {
	if n := s.catalogue.policy().GetConcurrentLoads(); n > 0 {
		return int(n)
	}
	return DefaultConcurrentLoads
}

// Counts holds the sizes of the tables: their numbers of records, and the bytes of
// the recorded responses.
type Counts struct {
	CatalogueEntries, Claims, Released, Orders, Audit, RequestIDs int
	ResponseBytes                                                 int64
}

// Counts returns the current sizes of the tables.
func (s *Store) Counts() Counts {
	return Counts{
		CatalogueEntries: len(s.catalogue.entries),
		Claims:           len(s.claims.claims),
		Released:         len(s.claims.released),
		Orders:           len(s.orders),
		Audit:            s.audit.len(),
		RequestIDs:       len(s.dedup.records),
		ResponseBytes:    s.claims.responseBytes,
	}
}
