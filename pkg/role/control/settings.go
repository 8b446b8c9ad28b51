package control

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/config"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Settings are the settings of the control process.
type Settings struct {
	config.Process
	config.Security
	ID                uint64        `ini:"replica.id" required:"true" min:"1" help:"Number of the replica, never used again after its disk is lost."`
	Dir               string        `ini:"replica.data_dir" required:"true" format:"path" help:"Folder of the log and the snapshots."`
	PeerAddress       string        `ini:"replica.peer_address" required:"true" format:"address" help:"Address for entries, agents and other replicas."`
	Voters            []string      `ini:"replica.voters" help:"First voters as id=peer_address/admin_address/host; a joining replica lists the present ones."`
	Join              bool          `ini:"replica.join" default:"false" help:"Wait with an empty folder until the replica is added to an existing cluster."`
	ElectionTimeout   time.Duration `ini:"replica.election_timeout" default:"200ms" min:"50ms" max:"10s" help:"Least time without a leader before an election; the actual time is up to twice that, and doubles up to four times while elections have no result."`
	HeartbeatInterval time.Duration `ini:"replica.heartbeat" default:"40ms" min:"10ms" max:"2s" help:"Interval of the heartbeats of the leader."`
	SnapshotEntries   int           `ini:"replica.snapshot_entries" default:"50000" min:"100" max:"10000000" help:"Log entries between two snapshots."`
	AdminAddress      string        `ini:"admin.address" required:"true" format:"address" help:"Address of the admin API, health, readiness and metrics."`
	Operators         []string      `ini:"admin.operators" required:"true" help:"Operators as name:sha256, with the hexadecimal SHA-256 of the admin token."`
	MaxLoadDuration   time.Duration `ini:"orders.load_time" default:"40s" min:"1s" max:"2h" help:"Time for which a new leader counts the loads that earlier leaders ordered as in progress; above engine.order_timeout of the agents."`
	DrainTimeout      time.Duration `ini:"process.drain_timeout" default:"10s" min:"1s" max:"10m" help:"Time for admin requests in progress at shutdown."`
}

// voterParts is the number of slash-separated fields after the id of a voter.
const voterParts = 3

// InitialVoters returns the voters parsed from the settings.
func (s *Settings) InitialVoters() ([]*wirepb.Voter, error) {
	var voters []*wirepb.Voter
	seen := make(map[uint64]bool)
	for i, text := range s.Voters {
		v, err := parseVoter(text)
		if err != nil {
			return nil, err.WithField(fmt.Sprintf("replica.voters[%d]", i))
		}
		if seen[v.Id] {
			return nil, fault.New(fault.Invalid, "voter %d is listed twice", v.Id).WithField(fmt.Sprintf("replica.voters[%d]", i))
		}
		seen[v.Id] = true
		voters = append(voters, v)
	}
	return voters, nil
}

func parseVoter(text string) (*wirepb.Voter, *fault.Error) {
	number, rest, ok := strings.Cut(strings.TrimSpace(text), "=")
	parts := strings.Split(rest, "/")
	id, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || id == 0 || len(parts) != voterParts {
		return nil, fault.New(fault.Invalid, "%q is not id=peer_address/admin_address/host", text)
	}
	for _, address := range parts[:2] {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fault.New(fault.Invalid, "%q is not an IP address and port", address)
		}
	}
	return &wirepb.Voter{Id: id, PeerAddress: parts[0], AdminAddress: parts[1], Host: parts[2]}, nil
}

// OperatorTokens returns the names of the operators by the SHA-256 digest of
// their tokens.
func (s *Settings) OperatorTokens() (map[string]string, error) {
	out := make(map[string]string, len(s.Operators))
	for i, text := range s.Operators {
		name, digest, ok := strings.Cut(strings.TrimSpace(text), ":")
		raw, err := hex.DecodeString(digest)
		if !ok || name == "" || err != nil || len(raw) != 32 {
			return nil, fault.New(fault.Invalid, "not name:sha256").WithField(fmt.Sprintf("admin.operators[%d]", i))
		}
		out[strings.ToLower(digest)] = name
	}
	return out, nil
}
