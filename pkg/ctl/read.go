package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/plantainstair/plantainstair/pkg/catalogue"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Get prints catalogue entries as a catalogue file. Empty kind or name match
// everything.
func (a *App) Get(ctx context.Context, kind, name string) error {
	reply, err := a.Client.Catalogue(ctx, nil)
	if err != nil {
		return err
	}
	selected := make([]operators.Entry, 0, len(reply.Entries))
	for _, e := range reply.Entries {
		if (kind == "" || e.Value.Kind == kind) && (name == "" || e.Value.Name == name) {
			selected = append(selected, e)
		}
	}
	if name != "" && len(selected) == 0 {
		return fault.New(fault.NotFound, "no %s named %s", kind, name).WithField("name")
	}
	reply.Entries = selected
	return a.print(reply, func(w io.Writer) {
		fmt.Fprintf(w, "# revision %d\n", reply.Revision)
		io.WriteString(w, catalogue.Format(operators.UnwrapMessages(selected)))
	})
}

// History lists accepted changes.
func (a *App) History(ctx context.Context, after uint64, limit int) error {
	reply, err := a.Client.History(ctx, after, limit)
	if err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) {
		table(w, "REVISION\tTIME\tOPERATOR\tENTRIES\tCOMMENT", func(t io.Writer) {
			for _, c := range operators.UnwrapMessages(reply.Changes) {
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", c.Revision, stamp(c.TimeUnixMs), c.Operator, changed(c), c.Comment)
			}
		})
	})
}

// Audit lists accepted and refused changes.
func (a *App) Audit(ctx context.Context, after uint64, limit int) error {
	reply, err := a.Client.Audit(ctx, after, limit)
	if err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) {
		table(w, "SEQUENCE\tTIME\tOPERATOR\tACTION\tACCEPTED\tREVISION\tENTRIES\tREASON", func(t io.Writer) {
			for _, r := range operators.UnwrapMessages(reply.Records) {
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%t\t%d\t%s\t%s\n",
					r.Sequence, stamp(r.TimeUnixMs), r.Operator, r.Action, r.Accepted, r.Revision, names(r.Entries), r.Reason)
			}
		})
	})
}

// Status prints the replicas and the upstreams.
func (a *App) Status(ctx context.Context) error {
	reply, err := a.Client.Status(ctx)
	if err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) {
		fmt.Fprintf(w, "replica %d on %s: %s, term %d, leader %d, applied %d, revision %d, current %t\n",
			reply.ID, reply.Host, reply.Role, reply.Term, reply.Leader, reply.AppliedIndex, reply.Revision, reply.Current)
		fmt.Fprintf(w, "entries %d, claims %d\n", reply.LiveEntries, reply.Claims)
		table(w, "REPLICA\tADDRESS\tLEADER\tREPORTS\tREVISION\tWATCHERS\tLAGGING", func(t io.Writer) {
			for _, r := range reply.Replicas {
				fmt.Fprintf(t, "%d\t%s\t%t\t%t\t%d\t%d\t%d\n",
					r.ID, r.Voter.Value.GetPeerAddress(), r.Leader, r.Reporting, r.Revision, r.Watchers, r.LaggingWatchers)
			}
		})
		table(w, "UPSTREAM\tDATA CENTRE\tKIND\tSTATE\tHOLDS\tEPOCH\tDRAINED", func(t io.Writer) {
			for _, u := range reply.Upstreams {
				an := u.Announcement.Value
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%t\n",
					an.GetHost(), an.GetDataCentre(), an.GetKind(), u.State, holds(an), u.OrderEpoch, u.Drained)
			}
		})
		if len(reply.DrainedUnregistered) > 0 {
			fmt.Fprintf(w, "drained and not registered: %s\n", strings.Join(reply.DrainedUnregistered, " "))
		}
	})
}

// Voters lists voters and learners.
func (a *App) Voters(ctx context.Context) error {
	reply, err := a.Client.Voters(ctx)
	if err != nil {
		return err
	}
	return a.printVoters(reply)
}

func (a *App) printVoters(reply *operators.VotersReply) error {
	return a.print(reply, func(w io.Writer) {
		table(w, "REPLICA\tPEER ADDRESS\tADMIN ADDRESS\tLEARNER\tLEADER", func(t io.Writer) {
			for _, v := range operators.UnwrapMessages(reply.Voters) {
				fmt.Fprintf(t, "%d\t%s\t%s\t%t\t%t\n", v.Id, v.PeerAddress, v.AdminAddress, v.Learner, v.Id == reply.Leader)
			}
		})
	})
}

func table(w io.Writer, header string, rows func(io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, header)
	rows(t)
	_ = t.Flush()
}

func stamp(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func names(entries []*wirepb.EntryName) string {
	parts := make([]string, len(entries))
	for i, e := range entries {
		parts[i] = e.Kind + "/" + e.Name
	}
	return strings.Join(parts, " ")
}

func changed(c *wirepb.CatalogueChange) string {
	var parts []string
	for _, e := range c.Put {
		parts = append(parts, e.Kind+"/"+e.Name)
	}
	for _, e := range c.Remove {
		parts = append(parts, "-"+e.Kind+"/"+e.Name)
	}
	return strings.Join(parts, " ")
}

func holds(an *wirepb.Announcement) string {
	parts := append([]string(nil), an.GetServices()...)
	for _, m := range an.GetModels() {
		parts = append(parts, fmt.Sprintf("%s@%s[%d-%d]", m.Model, m.Version, m.FirstLayer, m.LastLayer))
	}
	return strings.Join(parts, " ")
}
