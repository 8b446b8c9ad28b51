// Package operators implements the admin HTTP API of the control process and
// its client. Bodies are JSON; protobuf messages in them use the protobuf JSON
// mapping with the field names of the .proto file.
package operators

import (
	"encoding/json"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Message wraps a protobuf message so that encoding/json uses the protobuf JSON
// mapping.
type Message[T any, P interface {
	*T
	proto.Message
}] struct{ Value P }

// MarshalJSON implements json.Marshaler. A nil message is encoded as null.
func (m Message[T, P]) MarshalJSON() ([]byte, error) {
	if m.Value == nil {
		return []byte("null"), nil
	}
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(m.Value)
}

// UnmarshalJSON implements json.Unmarshaler. Unknown fields are an error.
func (m *Message[T, P]) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		m.Value = nil
		return nil
	}
	value := P(new(T))
	if err := protojson.Unmarshal(data, value); err != nil {
		return err
	}
	m.Value = value
	return nil
}

// Protobuf messages in the bodies of the API.
type (
	Entry        = Message[wirepb.Entry, *wirepb.Entry]
	EntryName    = Message[wirepb.EntryName, *wirepb.EntryName]
	Order        = Message[wirepb.Order, *wirepb.Order]
	Voter        = Message[wirepb.Voter, *wirepb.Voter]
	Announcement = Message[wirepb.Announcement, *wirepb.Announcement]
	AuditRecord  = Message[wirepb.AuditRecord, *wirepb.AuditRecord]
	Change       = Message[wirepb.CatalogueChange, *wirepb.CatalogueChange]
)

// WrapMessages returns the messages wrapped for encoding/json.
func WrapMessages[T any, P interface {
	*T
	proto.Message
}](in []P) []Message[T, P] {
	out := make([]Message[T, P], len(in))
	for i, v := range in {
		out[i].Value = v
	}
	return out
}

// UnwrapMessages returns the protobuf messages that WrapMessages wrapped.
func UnwrapMessages[T any, P interface {
	*T
	proto.Message
}](in []Message[T, P]) []P {
	out := make([]P, len(in))
	for i, m := range in {
		out[i] = m.Value
	}
	return out
}

var _ json.Unmarshaler = (*Entry)(nil)

// ChangeRequest is a set of catalogue edits based on one revision.
type ChangeRequest struct {
	BaseRevision uint64      `json:"base_revision"`
	RequestID    string      `json:"request_id"`
	Put          []Entry     `json:"put,omitempty"`
	Remove       []EntryName `json:"remove,omitempty"`
	Comment      string      `json:"comment,omitempty"`
	// Wait delays the response until every watcher has confirmed the revision or
	// WaitMs has passed.
	Wait   bool   `json:"wait,omitempty"`
	WaitMs uint32 `json:"wait_ms,omitempty"`
}

// ChangeReply reports an accepted change.
type ChangeReply struct {
	Revision     uint64        `json:"revision"`
	LogIndex     uint64        `json:"index"`
	Confirmation *Confirmation `json:"confirmation,omitempty"`
}

// Confirmation reports whether all watchers have confirmed a revision. A watcher is
// a process that receives catalogue changes from a control replica.
type Confirmation struct {
	Confirmed bool   `json:"confirmed"`
	ElapsedMs uint64 `json:"elapsed_ms"`
	Watchers  int    `json:"watchers"`
	// LaggingHosts lists some of the hosts that have not confirmed; LaggingTotal
	// counts all of them.
	LaggingHosts []string `json:"lagging,omitempty"`
	LaggingTotal int      `json:"lagging_total"`
	// SilentReplicas lists the replicas without a recent report; their watchers
	// are not counted.
	SilentReplicas []uint64 `json:"silent_replicas,omitempty"`
}

// CatalogueReply holds the whole catalogue if Full is set, otherwise the changes
// after the requested revision.
type CatalogueReply struct {
	Revision uint64      `json:"revision"`
	Full     bool        `json:"full"`
	Entries  []Entry     `json:"entries"`
	Removed  []EntryName `json:"removed,omitempty"`
}

// HistoryReply lists accepted catalogue changes, oldest first.
type HistoryReply struct {
	Revision uint64   `json:"revision"`
	Changes  []Change `json:"changes"`
}

// AuditReply lists audit records, oldest first. NewestSequence is the sequence
// number of the newest record in the audit trail.
type AuditReply struct {
	NewestSequence uint64        `json:"newest"`
	Records        []AuditRecord `json:"records"`
}

// ReplicaStatus describes one replica as seen by the responding replica.
// Reporting is set if a recent status report has arrived from it.
type ReplicaStatus struct {
	ID              uint64 `json:"id"`
	Voter           Voter  `json:"voter"`
	Leader          bool   `json:"leader"`
	Self            bool   `json:"self"`
	Reporting       bool   `json:"reports"`
	Revision        uint64 `json:"revision"`
	Watchers        int    `json:"watchers"`
	LaggingWatchers int    `json:"lagging"`
}

// UpstreamStatus describes one registered upstream.
type UpstreamStatus struct {
	Announcement Announcement `json:"announcement"`
	State        string       `json:"state"`
	OrderEpoch   uint64       `json:"order_epoch"`
	// Drained reports whether the newest drain or resume order was a drain. State
	// is the state that the agent announces.
	Drained bool `json:"drained"`
}

// StatusReply describes the responding replica and its view of the others.
// Current reports whether the replica has recently confirmed that its state is
// up to date.
type StatusReply struct {
	ID                 uint64           `json:"id"`
	Host               string           `json:"host"`
	Role               string           `json:"role"`
	Term               uint64           `json:"term"`
	Leader             uint64           `json:"leader"`
	CommitIndex        uint64           `json:"commit_index"`
	AppliedIndex       uint64           `json:"applied_index"`
	Revision           uint64           `json:"revision"`
	Current            bool             `json:"current"`
	LiveEntryProcesses int              `json:"live_entries"`
	Claims             int              `json:"claims"`
	Replicas           []ReplicaStatus  `json:"replicas"`
	Upstreams          []UpstreamStatus `json:"upstreams"`
	// DrainedUnregistered lists the drained hosts without a registered upstream.
	DrainedUnregistered []string `json:"drained_absent,omitempty"`
}

// VotersReply lists the voters and learners.
type VotersReply struct {
	Leader uint64  `json:"leader"`
	Voters []Voter `json:"voters"`
}

// Actions of a VoterRequest.
const (
	AddVoter     = "add"
	RemoveVoter  = "remove"
	ReplaceVoter = "replace"
)

// VoterRequest changes the set of Raft voters. A replacement exchanges OldID for Voter
// in one change.
type VoterRequest struct {
	RequestID string `json:"request_id"`
	Action    string `json:"action"`
	Voter     Voter  `json:"voter"`
	OldID     uint64 `json:"old,omitempty"`
}

// OrderRequest sends an order to one upstream.
type OrderRequest struct {
	RequestID string `json:"request_id"`
	Host      string `json:"host"`
	Order     Order  `json:"order"`
	TimeoutMs uint32 `json:"timeout_ms,omitempty"`
}

// DrainRequest is the body of a drain request.
type DrainRequest struct {
	RequestID string `json:"request_id"`
	TimeoutMs uint32 `json:"timeout_ms,omitempty"`
}

// OrderReply reports an order that the upstream has carried out.
type OrderReply struct {
	ID         string `json:"id"`
	OrderEpoch uint64 `json:"epoch"`
}

// SnapshotReply holds the last log index that the snapshot covers.
type SnapshotReply struct {
	LogIndex uint64 `json:"index"`
}

// ErrorReply is the body of every error response.
type ErrorReply struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody is the JSON form of a fault.Error.
type ErrorBody struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	Field        string `json:"field,omitempty"`
	Outcome      string `json:"outcome"`
	RetryAfterMs uint64 `json:"retry_after_ms,omitempty"`
	Revision     uint64 `json:"revision,omitempty"`
}
