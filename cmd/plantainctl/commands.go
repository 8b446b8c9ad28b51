package main

import (
	"context"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/core/explain"
	"github.com/plantainstair/plantainstair/pkg/ctl"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

type command struct {
	sub *flaggy.Subcommand
	run func() error
}

// commands holds the values of the global flags and the subcommands.
type commands struct {
	settings string
	json     bool
	list     []command
}

func newCommands() *commands {
	c := &commands{settings: "plantainctl.ini"}
	c.addApply()
	c.addGet()
	c.addDiff()
	c.addHistory()
	c.addAudit()
	c.addStatus()
	c.addDrain()
	c.addOrder()
	c.addVoters()
	c.addClaims()
	c.addSnapshot()
	c.addExplain()
	c.addCheckConfig()
	c.addSettings()
	return c
}

// add registers a subcommand that sends requests to the control replicas.
func (c *commands) add(sub *flaggy.Subcommand, run func(ctx context.Context, app *ctl.App) error) {
	c.list = append(c.list, command{sub: sub, run: func() error {
		settings, err := ctl.LoadSettings(c.settings)
		if err != nil {
			return err
		}
		ctx, cancel := settings.Context()
		defer cancel()
		return run(ctx, ctl.New(settings, os.Stdout, c.json))
	}})
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

func (c *commands) addApply() {
	opts := ctl.ApplyOptions{WaitTimeout: 5 * time.Second}
	sub := newSubcommand("apply", "Applies a catalogue file as one change.")
	sub.String(&opts.File, "f", "file", "Catalogue file with the entries to add or change.")
	sub.StringSlice(&opts.Remove, "r", "remove", "Entry to remove, as kind/name; may be repeated.")
	sub.UInt64(&opts.BaseRevision, "b", "base", "Revision that the change was made on; 0 takes the current one.")
	sub.String(&opts.RequestID, "", "request-id", "Id of an earlier attempt whose answer was lost.")
	sub.String(&opts.Comment, "m", "comment", "Comment for the audit trail.")
	sub.Bool(&opts.Wait, "w", "wait", "Wait until the change is in force everywhere.")
	sub.Duration(&opts.WaitTimeout, "", "wait-time", "Longest wait with --wait.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error { return app.Apply(ctx, opts) })
}

func (c *commands) addGet() {
	var kind, name string
	sub := newSubcommand("get", "Prints catalogue entries as a catalogue file.")
	sub.AddPositionalValue(&kind, "kind", 1, false, "organisation, model, service or policy.")
	sub.AddPositionalValue(&name, "name", 2, false, "Name of one entry.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error { return app.Get(ctx, kind, name) })
}

func (c *commands) addDiff() {
	var file string
	sub := newSubcommand("diff", "Shows what a catalogue file would change.")
	sub.String(&file, "f", "file", "Catalogue file.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error { return app.Diff(ctx, file) })
}

func (c *commands) addHistory() {
	var after uint64
	limit := 100
	sub := newSubcommand("history", "Lists accepted changes.")
	addPageFlags(sub, &after, &limit, "Revision to start after.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error { return app.History(ctx, after, limit) })
}

func (c *commands) addAudit() {
	var after uint64
	limit := 100
	sub := newSubcommand("audit", "Lists accepted and refused changes.")
	addPageFlags(sub, &after, &limit, "Sequence number to start after.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error { return app.Audit(ctx, after, limit) })
}

func addPageFlags(sub *flaggy.Subcommand, after *uint64, limit *int, help string) {
	sub.UInt64(after, "a", "after", help)
	sub.Int(limit, "n", "limit", "Largest number of rows.")
}

func (c *commands) addStatus() {
	sub := newSubcommand("status", "Shows replicas and upstreams.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error { return app.Status(ctx) })
}

func (c *commands) addDrain() {
	var host string
	sub := newSubcommand("drain", "Lets an upstream finish its work and take no more.")
	sub.AddPositionalValue(&host, "host", 1, true, "Host of the upstream.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error { return app.Drain(ctx, host) })
}

func (c *commands) addOrder() {
	var host string
	order := &wirepb.Order{}
	sub := newSubcommand("order", "Gives an order to an upstream.")
	sub.AddPositionalValue(&host, "host", 1, true, "Host of the upstream.")
	sub.AddPositionalValue(&order.Action, "action", 2, true, "load_model, unload_model, load_adapter, set_role, drain or resume.")
	sub.String(&order.Model, "", "model", "Model.")
	sub.String(&order.Version, "", "version", "Version of the model.")
	sub.String(&order.Adapter, "", "adapter", "Adapter.")
	sub.String(&order.Role, "", "role", "Role for set_role.")
	sub.UInt32(&order.FirstLayer, "", "first-layer", "First layer to hold.")
	sub.UInt32(&order.LastLayer, "", "last-layer", "Last layer to hold.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error { return app.Order(ctx, host, order) })
}

func (c *commands) addVoters() {
	var action string
	var old uint64
	voter := &wirepb.Voter{}
	sub := newSubcommand("voters", "Lists or changes the control replicas.")
	sub.AddPositionalValue(&action, "action", 1, false, "list, add, remove or replace.")
	sub.UInt64(&voter.Id, "i", "id", "Id of the replica to add or remove.")
	sub.String(&voter.PeerAddress, "p", "peer-address", "Peer address of the replica to add.")
	sub.String(&voter.AdminAddress, "a", "admin-address", "Admin address of the replica to add.")
	sub.String(&voter.Host, "", "host", "Host of the replica to add.")
	sub.UInt64(&old, "o", "old", "Id of the replica to replace.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error {
		switch action {
		case "", "list":
			return app.Voters(ctx)
		case operators.AddVoter, operators.RemoveVoter, operators.ReplaceVoter:
			return app.ChangeVoter(ctx, action, voter, old)
		}
		return fault.New(fault.Invalid, "%q is not list, add, remove or replace", action).WithField("action").WithOutcome(fault.NotRun)
	})
}

func (c *commands) addClaims() {
	var action string
	var ran, notRun bool
	var q operators.ClaimsQuery
	var req operators.SettleRequest
	q.Limit = 100
	sub := newSubcommand("claims", "Lists claims on calls, or settles one without an outcome.")
	sub.AddPositionalValue(&action, "action", 1, false, "list or settle.")
	sub.String(&req.Organisation, "o", "organisation", "Organisation of the claim, or of the claims to list.")
	sub.String(&req.Service, "s", "service", "Service of the claim, or of the claims to list.")
	sub.String(&q.State, "", "state", "State to list: pending (default), answered, settled or any.")
	sub.String(&q.After, "a", "after", "Place to continue the list at.")
	sub.Int(&q.Limit, "n", "limit", "Largest number of rows.")
	sub.String(&req.Key, "k", "key", "Idempotency key of the claim to settle.")
	sub.String(&req.Attempt, "", "attempt", "Attempt that holds the claim, as listed.")
	sub.Bool(&ran, "", "ran", "The call ran: a resend is told so and does not run.")
	sub.Bool(&notRun, "", "not-run", "The call did not run and cannot run any more: a resend runs.")
	sub.String(&req.Comment, "m", "comment", "Comment for the audit trail.")
	sub.String(&req.RequestID, "", "request-id", "Id of an earlier attempt whose answer was lost.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error {
		switch action {
		case "", "list":
			q.Organisation, q.Service = req.Organisation, req.Service
			return app.Claims(ctx, q)
		case "settle":
			return app.SettleClaim(ctx, req, ran, notRun)
		}
		return fault.New(fault.Invalid, "%q is not list or settle", action).WithField("action").WithOutcome(fault.NotRun)
	})
}

func (c *commands) addSnapshot() {
	sub := newSubcommand("snapshot", "Makes the first control replica write a snapshot.")
	c.add(sub, func(ctx context.Context, app *ctl.App) error { return app.Snapshot(ctx) })
}

// addExplain adds the command that asks a gateway. It needs no settings file, because it
// does not use the admin API.
func (c *commands) addExplain() {
	var gateway string
	var q explain.Query
	sub := newSubcommand("explain", "Explains how a gateway would route a request now, without sending it.")
	sub.String(&gateway, "g", "gateway", "Metrics address of the gateway.")
	sub.String(&q.Host, "", "host", "Host of the request.")
	sub.String(&q.Path, "p", "path", "Path of the request.")
	sub.Int(&q.PromptTokens, "", "prompt-tokens", "Tokens of the prompt; 0 takes the typical number of the model.")
	sub.Int(&q.OutputTokens, "", "output-tokens", "Expected tokens of the output; 0 takes the typical number of the model.")
	c.list = append(c.list, command{sub: sub, run: func() error {
		ctx, cancel := context.WithTimeout(context.Background(), ctl.ExplainTimeout)
		defer cancel()
		app := &ctl.App{Out: os.Stdout, JSON: c.json}
		return app.Explain(ctx, gateway, q)
	}})
}
