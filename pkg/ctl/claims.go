package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/operators"
)

// Claims prints one page of claims.
func (a *App) Claims(ctx context.Context, q operators.ClaimsQuery) error {
	reply, err := a.Client.Claims(ctx, &q)
	if err != nil {
		return err
	}
	return a.printReply(reply, func(w io.Writer) {
		writeTable(w, "ORGANISATION\tSERVICE\tKEY\tATTEMPT\tHOST\tSTATE\tAGE", func(t io.Writer) {
			for _, c := range reply.Claims {
				age := (time.Duration(c.AgeMs) * time.Millisecond).Round(time.Second)
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Organisation, c.Service, c.Key, c.Attempt, c.Host, c.State, age)
			}
		})
		if reply.NextCursor != "" {
			fmt.Fprintf(w, "more with --after %s\n", reply.NextCursor)
		}
	})
}

// SettleClaim records the decision whether the call of a pending claim ran.
// Exactly one of ran and notRun must be set.
func (a *App) SettleClaim(ctx context.Context, req operators.SettleRequest, ran, notRun bool) error {
	if ran == notRun {
		return fault.New(fault.Invalid, "exactly one of --ran and --not-run is needed").WithField("ran").WithOutcome(fault.NotRun)
	}
	req.Ran = &ran
	reply, err := a.Client.SettleClaim(ctx, &req)
	if err != nil {
		return err
	}
	return a.printReply(reply, func(w io.Writer) {
		if reply.Ran {
			fmt.Fprintf(w, "attempt %s counts as run; its key answers answer_lost\n", reply.Attempt)
		} else {
			fmt.Fprintf(w, "attempt %s is released; the next call with the key runs\n", reply.Attempt)
		}
	})
}
