package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/ctl"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/operators"
)

// orderWithLostAgent sends an order, waits for its claim, calls interrupt and then
// kills the agent of the service. It returns the claim, which has no outcome.
func orderWithLostAgent(ctx context.Context, t *testing.T, d *local.Deployment, c commandLine, key string, interrupt func()) operators.Claim {
	t.Helper()
	answered := make(chan orderAnswer, 1)
	go func() {
		a, _ := sendOrder(ctx, d, 0, key, orderTimeout)
		answered <- a
	}()
	var found operators.ClaimsReply
	assert.NilError(t, local.WaitUntil(ctx, "the claim", func() error {
		out, code := c.run("claims", "list", "--json", "--organisation", d.Plan.Organisations[0].Name, "--service", "orders")
		found = operators.ClaimsReply{}
		if code != ctl.ExitOK || json.Unmarshal([]byte(out), &found) != nil || len(found.Claims) != 1 {
			return fault.New(fault.Unavailable, "no pending claim: %s", out)
		}
		return nil
	}))
	interrupt()
	service := serviceUpstreams(d)[0]
	service.Agent.Kill()
	assert.Assert(t, (<-answered).Outcome != "answered")
	claim := found.Claims[0]
	assert.Equal(t, claim.Key, key)
	assert.Equal(t, claim.Host, service.Host)
	return claim
}

func settleArgs(claim operators.Claim, decision string) []string {
	return []string{"claims", "settle", "--organisation", claim.Organisation, "--service", claim.Service,
		"--key", claim.Key, "--attempt", claim.Attempt, decision, "--comment", "looked at the ledger"}
}

// answeredOrder sends an order until it is answered, and returns the answer.
func answeredOrder(ctx context.Context, t *testing.T, d *local.Deployment, key string) orderAnswer {
	t.Helper()
	history := &orderHistory{key: key}
	resendUntilAnswered(ctx, d, history, 0, time.Now().Add(resendTimeout))
	assert.Equal(t, history.last().Outcome, "answered", "%+v", history.answers)
	return history.last()
}

// Guards against a key that stays blocked after the loss of its agent, a key
// settled as not run whose call runs twice or never, and a key settled as run
// whose call runs again.
func TestClaims_SettledAfterLostAgent(t *testing.T) {
	d, ctx := launch(t, func(p *local.Plan) {
		p.ServiceReplicas = 1
		p.ServiceArgs = []string{"--latency", "2s"}
	})
	c := newCommandLine(t, d)
	service := serviceUpstreams(d)[0]

	// The suspended service is killed before it has read the call.
	assert.NilError(t, service.Standin.Signal(syscall.SIGSTOP))
	key := newKey(t)
	claim := orderWithLostAgent(ctx, t, d, c, key, func() {})
	service.Standin.Kill()
	assert.NilError(t, service.Standin.Start())
	assert.NilError(t, service.Agent.Start())
	_, code := c.run(settleArgs(claim, "--json")...)
	assert.Equal(t, code, ctl.ExitInvalid)
	other := claim
	other.Attempt = "another"
	_, code = c.run(settleArgs(other, "--not-run")...)
	assert.Equal(t, code, ctl.ExitConflict)
	_, code = c.run(settleArgs(claim, "--not-run")...)
	assert.Equal(t, code, ctl.ExitOK)
	first := answeredOrder(ctx, t, d, key)
	assert.Equal(t, first.Status, http.StatusOK)
	assert.DeepEqual(t, answeredOrder(ctx, t, d, key), first)
	assert.Equal(t, executions(t, d)[key], 1)
	_, code = c.run(settleArgs(claim, "--ran")...)
	assert.Equal(t, code, ctl.ExitConflict)

	key = newKey(t)
	claim = orderWithLostAgent(ctx, t, d, c, key, func() {
		ran := func() error {
			if executions(t, d)[key] == 0 {
				return fault.New(fault.Unavailable, "the service has not run the call")
			}
			return nil
		}
		assert.NilError(t, local.WaitUntil(ctx, "the execution", ran))
	})
	assert.NilError(t, service.Agent.Start())
	_, code = c.run(settleArgs(claim, "--ran")...)
	assert.Equal(t, code, ctl.ExitOK)
	lostAnswer := answeredOrder(ctx, t, d, key)
	assert.Equal(t, lostAnswer.Status, http.StatusGone)
	assert.Assert(t, strings.Contains(lostAnswer.Body, `"code":"answer_lost"`), lostAnswer.Body)
	assert.Equal(t, executions(t, d)[key], 1)

	out, code := c.run("audit", "--json")
	assert.Equal(t, code, ctl.ExitOK)
	assert.Equal(t, strings.Count(out, `"settle_claim"`), 4, out)
}
