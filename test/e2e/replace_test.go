package e2e

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a replica that lost its disk and votes under its old identity,
// and against data lost when a second host is lost right after the repair of
// the first: recorded answers, accepted changes and the audit trail must stay.
func TestControl_SecondHostLostAfterRepair(t *testing.T) {
	d, ctx := launch(t, nil)
	keys := []string{newKey(t), newKey(t), newKey(t)}
	first := make([]answer, len(keys))
	for i, key := range keys {
		a, err := order(ctx, d, 0, key, orderWait)
		assert.NilError(t, err)
		assert.Equal(t, a.Outcome, "answered")
		first[i] = a
	}
	revision, err := change(ctx, d, "kept", 5)
	assert.NilError(t, err)

	lost := d.Controls[2]
	lost.Kill()
	assert.NilError(t, os.RemoveAll(lost.Dir))
	assert.NilError(t, os.MkdirAll(lost.Dir, 0o755))
	assert.NilError(t, lost.Start())
	time.Sleep(time.Second) // several election time-outs, in which it must not vote or lead
	assert.Equal(t, applied(ctx, t, lost), uint64(0), "a replica with a lost disk serves state under its old identity")
	lost.Kill()

	fresh, err := d.JoinControl()
	assert.NilError(t, err)
	_, err = d.Admin().ChangeVoter(ctx, &operators.VoterRequest{
		Action: operators.ReplaceVoter, OldID: uint64(lost.ID),
		Voter: operators.Voter{Value: &wirepb.Voter{
			Id: uint64(fresh.ID), PeerAddress: fresh.PeerAddress, AdminAddress: fresh.AdminAddress, Host: fresh.Name,
		}},
	})
	assert.NilError(t, err)
	d.Controls[0].Kill() // right after the repair

	current, err := d.Admin().Catalogue(ctx, nil)
	assert.NilError(t, err)
	assert.Assert(t, current.Revision >= revision)
	for i, key := range keys {
		a, err := order(ctx, d, 1, key, orderWait)
		assert.NilError(t, err)
		assert.DeepEqual(t, a, first[i])
	}
	counts := executions(t, d)
	for _, key := range keys {
		assert.Equal(t, counts[key], 1)
	}
	_, err = change(ctx, d, "after", 1)
	assert.NilError(t, err)
}

// applied returns the highest log index that a replica serves, zero when it
// serves none.
func applied(ctx context.Context, t *testing.T, c *local.Control) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	one := &operators.Client{Addresses: []string{c.AdminAddress}, Token: local.AdminToken}
	status, err := one.Status(ctx)
	if err != nil {
		return 0
	}
	return status.AppliedIndex
}
