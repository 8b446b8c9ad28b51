package agent

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func newService() *standin.Service {
	return standin.NewService(standin.ServiceOptions{Name: "s", Services: []string{"pay"}, Slots: 16})
}

func call(id, key string) *wirepb.CallRequest {
	return &wirepb.CallRequest{
		RequestId: id, Organisation: "o", Rank: wirepb.Rank_RANK_URGENT, DeadlineMs: 2000, Service: "pay",
		Method: "POST", Path: "/orders?x=1", Body: []byte("one net"), IdempotencyKey: key, KeyCreatedUnixMs: 1,
	}
}

// Guards against a resend that executes again or receives another answer.
func TestCall_ResendReceivesRecordedAnswer(t *testing.T) {
	n := startServiceNode(t, "a", newFakeControl(), nil, newService())
	c := newClient(t)
	first, err := c.Call(context.Background(), n.agent.Address(), call("r1", "k"))
	assert.NilError(t, err)
	second, err := c.Call(context.Background(), n.agent.Address(), call("r2", "k"))
	assert.NilError(t, err)
	assert.Assert(t, second.Replayed)
	assert.DeepEqual(t, first.Body, second.Body)
	assert.Equal(t, n.service.Records().Calls, 1)
}
