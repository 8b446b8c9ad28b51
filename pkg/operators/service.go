package operators

import "context"

// Backend executes the requests of the admin API. Its errors are of type
// *fault.Error. An error of kind NotLeader holds the leader's admin address, if
// known.
type Backend interface {
	Apply(ctx context.Context, operator string, req *ChangeRequest) (*ChangeReply, error)
	// RecordRefused adds an audit record for a change or a claim decision that
	// could not be decoded or is invalid.
	RecordRefused(ctx context.Context, operator string, cause error)
	Catalogue(ctx context.Context, since *uint64) (*CatalogueReply, error)
	History(ctx context.Context, after uint64, limit int) (*HistoryReply, error)
	Audit(ctx context.Context, after uint64, limit int) (*AuditReply, error)
	Status(ctx context.Context) (*StatusReply, error)
	Voters(ctx context.Context) (*VotersReply, error)
	ChangeVoter(ctx context.Context, operator string, req *VoterRequest) (*VotersReply, error)
	Order(ctx context.Context, operator string, req *OrderRequest) (*OrderReply, error)
	Claims(ctx context.Context, q *ClaimsQuery) (*ClaimsReply, error)
	SettleClaim(ctx context.Context, operator string, req *SettleRequest) (*SettleReply, error)
	Snapshot(ctx context.Context) (*SnapshotReply, error)
}
