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

// Guards against a replica that still votes under its old identity after it lost its
// disk, and against the loss of recorded answers or accepted changes when a second
// host is lost immediately after the first one was replaced.
func TestControl_SecondHostLostAfterRepair(t *testing.T) {
	d, ctx := launch(t, nil)
	keys := []string{newKey(t), newKey(t), newKey(t)}
	first := make([]orderAnswer, len(keys))
	for i, key := range keys {
		a, err := sendOrder(ctx, d, 0, key, orderTimeout)
		assert.NilError(t, err)
		assert.Equal(t, a.Outcome, "answered")
		first[i] = a
	}
	revision, err := applyChange(ctx, d, "kept", 5)
	assert.NilError(t, err)

	lost := d.Controls[2]
	lost.Kill()
	assert.NilError(t, os.RemoveAll(lost.Dir))
	assert.NilError(t, os.MkdirAll(lost.Dir, 0o755))
	assert.NilError(t, lost.Start())
	time.Sleep(time.Second) // several election timeouts, during which it must not vote or lead
	assert.Equal(t, appliedIndex(ctx, t, lost), uint64(0), "a replica with a lost disk serves state under its old identity")
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
	d.Controls[0].Kill() // immediately after the replacement

	current, err := d.Admin().Catalogue(ctx, nil)
	assert.NilError(t, err)
	assert.Assert(t, current.Revision >= revision)
	for i, key := range keys {
		a, err := sendOrder(ctx, d, 1, key, orderTimeout)
		assert.NilError(t, err)
		assert.DeepEqual(t, a, first[i])
	}
	counts := executions(t, d)
	for _, key := range keys {
		assert.Equal(t, counts[key], 1)
	}
	_, err = applyChange(ctx, d, "after", 1)
	assert.NilError(t, err)
}

// appliedIndex returns the applied log index that a replica reports, or zero if it
// does not answer.
func appliedIndex(ctx context.Context, t *testing.T, c *local.Control) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client := &operators.Client{Addresses: []string{c.AdminAddress}, Token: local.AdminToken}
	status, err := client.Status(ctx)
	if err != nil {
		return 0
	}
	return status.AppliedIndex
}
