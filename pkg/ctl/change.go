package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Drain orders the upstream on a host to finish its requests and accept no new
// ones.
func (a *App) Drain(ctx context.Context, host string) error {
	reply, err := a.Client.Drain(ctx, host, operators.DrainRequest{})
	if err != nil {
		return err
	}
	return a.printOrder(reply)
}

// Order sends an order to the upstream on a host and prints its ID and order
// epoch once it is carried out.
func (a *App) Order(ctx context.Context, host string, order *wirepb.Order) error {
	reply, err := a.Client.Order(ctx, &operators.OrderRequest{Host: host, Order: operators.Order{Value: order}})
	if err != nil {
		return err
	}
	return a.printOrder(reply)
}

func (a *App) printOrder(reply *operators.OrderReply) error {
	return a.printReply(reply, func(w io.Writer) {
		fmt.Fprintf(w, "order %s carried out with epoch %d\n", reply.ID, reply.OrderEpoch)
	})
}

// ChangeVoter adds, removes or replaces a voter and prints the resulting voters.
// old is the ID of the replica to remove in a replacement.
func (a *App) ChangeVoter(ctx context.Context, action string, voter *wirepb.Voter, old uint64) error {
	req := &operators.VoterRequest{Action: action, Voter: operators.Voter{Value: voter}, OldID: old}
	reply, err := a.Client.ChangeVoter(ctx, req)
	if err != nil {
		return err
	}
	return a.printVoters(reply)
}

// Snapshot makes the first control replica write a snapshot.
func (a *App) Snapshot(ctx context.Context) error {
	reply, err := a.Client.Snapshot(ctx)
	if err != nil {
		return err
	}
	return a.printReply(reply, func(w io.Writer) {
		fmt.Fprintf(w, "snapshot covers log index %d\n", reply.LogIndex)
	})
}
