package operators

import "context"

// Service carries out what operators ask for. Errors are *fault.Error. An
// error of kind NotLeader carries the admin address of the leader.
type Service interface {
	Apply(ctx context.Context, operator string, req *ChangeRequest) (*ChangeReply, error)
	// RecordRefused puts a change that could not be decoded in the audit trail.
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
