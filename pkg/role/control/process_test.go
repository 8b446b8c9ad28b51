package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/config"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const adminToken = "secret-token"

func openListeners(t *testing.T) listeners {
	t.Helper()
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listeners{peer, admin}
}

func voterText(id int, l listeners) string {
	return fmt.Sprintf("%d=%s/%s/c%d", id, l.peer.Addr(), l.admin.Addr(), id)
}

// startTestProcess starts a process from a settings file.
func startTestProcess(t *testing.T, id int, l listeners, voters []string, join bool) *process {
	t.Helper()
	sum := sha256.Sum256([]byte(adminToken))
	text := fmt.Sprintf(`
[process]
host = c%d
data_centre = d1
[security]
key_id = k1
key = 000102030405060708090a0b0c0d0e0f
[replica]
id = %d
data_dir = %s
peer_address = %s
voters = %s
join = %t
[admin]
address = %s
operators = ann:%s
`, id, id, t.TempDir(), l.peer.Addr(), strings.Join(voters, ","), join, l.admin.Addr(), hex.EncodeToString(sum[:]))
	settings := &Settings{}
	assert.NilError(t, config.Parse("control.ini", []byte(text), settings))
	p, err := startProcess(settings, l, logs.Nop())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, p.stop(nil)) })
	return p
}

// Guards against an admin API that works only on the leader, and against a
// cluster that cannot replace a voter.
func TestProcess_FollowerServesAdminAPIAndReplacesVoter(t *testing.T) {
	var all []listeners
	var voters []string
	for i := range 4 {
		all = append(all, openListeners(t))
		if i < 3 {
			voters = append(voters, voterText(i+1, all[i]))
		}
	}
	var processes []*process
	for i := range 3 {
		processes = append(processes, startTestProcess(t, i+1, all[i], voters, false))
	}
	startTestProcess(t, 4, all[3], voters, true)
	follower := 0
	waitUntil(t, "all replicas ready", func() bool {
		for _, p := range processes {
			if p.control.Ready() != nil {
				return false
			}
		}
		return true
	})
	if s := processes[0].control.node.Status(); s.Leader == s.ID {
		follower = 1
	}
	ctx := background(t)
	c := &operators.Client{Addresses: []string{all[follower].admin.Addr().String()}, Token: adminToken}
	reply, err := c.Apply(ctx, &operators.ChangeRequest{Put: []operators.Entry{serviceEntry("pay", "o")}, Wait: true})
	assert.NilError(t, err)
	assert.Assert(t, reply.Confirmation.Confirmed)
	_, err = c.Drain(ctx, "nowhere", operators.DrainRequest{})
	assert.Equal(t, fault.KindOf(err), fault.NotFound, "%v", err)

	const old = 3 // a follower or the leader, but not the replica that serves the request
	joiner, _ := parseVoter(voterText(4, all[3]))
	change := &operators.VoterRequest{Action: operators.ReplaceVoter, Voter: operators.Voter{Value: joiner}, OldID: old}
	_, err = c.ChangeVoter(ctx, change)
	assert.NilError(t, err)
	got, err := c.Voters(ctx)
	assert.NilError(t, err)
	ids := make(map[uint64]*wirepb.Voter)
	for _, v := range got.Voters {
		ids[v.Value.Id] = v.Value
	}
	assert.Equal(t, len(ids), 3)
	assert.Assert(t, ids[old] == nil && ids[4] != nil && !ids[4].Learner, "%v", ids)

	joined := &operators.Client{Addresses: []string{all[3].admin.Addr().String()}, Token: adminToken}
	catalogue, err := joined.Catalogue(ctx, nil)
	assert.NilError(t, err)
	assert.Equal(t, catalogue.Revision, uint64(1))
	audit, err := joined.Audit(ctx, 0, 10)
	assert.NilError(t, err)
	assert.Equal(t, audit.Records[0].Value.Operator, "ann")
	assert.Equal(t, audit.Records[len(audit.Records)-1].Value.Action, "remove_voter")
	metrics := httpGet(t, all[3].admin.Addr().String(), "/metrics")
	assert.Assert(t, strings.Contains(metrics, "plantain_control_revision 1"), metrics)
}

func httpGet(t *testing.T, addr, path string) string {
	t.Helper()
	res, err := http.Get("http://" + addr + path)
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return string(body)
}
