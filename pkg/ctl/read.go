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

// Get prints catalogue entries in the format of a catalogue file. An empty kind
// or name matches every entry.
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
	return a.printReply(reply, func(w io.Writer) {
		fmt.Fprintf(w, "# revision %d\n", reply.Revision)
		io.WriteString(w, catalogue.Format(operators.UnwrapMessages(selected)))
	})
}

// History prints up to limit accepted changes after a revision.
func (a *App) History(ctx context.Context, after uint64, limit int) error {
	reply, err := a.Client.History(ctx, after, limit)
	if err != nil {
		return err
	}
	return a.printReply(reply, func(w io.Writer) {
		writeTable(w, "REVISION\tTIME\tOPERATOR\tENTRIES\tCOMMENT", func(t io.Writer) {
			for _, c := range operators.UnwrapMessages(reply.Changes) {
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", c.Revision, formatTime(c.TimeUnixMs), c.Operator, changedNames(c), c.Comment)
			}
		})
	})
}

// Audit prints up to limit audit records of accepted and refused changes after a
// sequence number.
func (a *App) Audit(ctx context.Context, after uint64, limit int) error {
	reply, err := a.Client.Audit(ctx, after, limit)
	if err != nil {
		return err
	}
	return a.printReply(reply, func(w io.Writer) {
		writeTable(w, "SEQUENCE\tTIME\tOPERATOR\tACTION\tACCEPTED\tREVISION\tENTRIES\tREASON", func(t io.Writer) {
			for _, r := range operators.UnwrapMessages(reply.Records) {
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%t\t%d\t%s\t%s\n",
					r.Sequence, formatTime(r.TimeUnixMs), r.Operator, r.Action, r.Accepted, r.Revision, joinNames(r.Entries), r.Reason)
			}
		})
	})
}

// Status prints the status of the responding replica and its view of the other
// replicas and the upstreams.
func (a *App) Status(ctx context.Context) error {
	reply, err := a.Client.Status(ctx)
	if err != nil {
		return err
	}
	return a.printReply(reply, func(w io.Writer) {
		fmt.Fprintf(w, "replica %d on %s: %s, term %d, leader %d, applied %d, revision %d, current %t\n",
			reply.ID, reply.Host, reply.Role, reply.Term, reply.Leader, reply.AppliedIndex, reply.Revision, reply.Current)
		fmt.Fprintf(w, "entries %d, claims %d\n", reply.LiveEntryProcesses, reply.Claims)
		writeTable(w, "REPLICA\tADDRESS\tLEADER\tREPORTS\tREVISION\tWATCHERS\tLAGGING", func(t io.Writer) {
			for _, r := range reply.Replicas {
				fmt.Fprintf(t, "%d\t%s\t%t\t%t\t%d\t%d\t%d\n",
					r.ID, r.Voter.Value.GetPeerAddress(), r.Leader, r.Reporting, r.Revision, r.Watchers, r.LaggingWatchers)
			}
		})
		writeTable(w, "UPSTREAM\tDATA CENTRE\tKIND\tSTATE\tHOLDS\tEPOCH\tDRAINED", func(t io.Writer) {
			for _, u := range reply.Upstreams {
				announcement := u.Announcement.Value
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%t\n",
					announcement.GetHost(), announcement.GetDataCentre(), announcement.GetKind(), u.State, servicesAndModels(announcement), u.OrderEpoch, u.Drained)
			}
		})
		if len(reply.DrainedUnregistered) > 0 {
			fmt.Fprintf(w, "drained and not registered: %s\n", strings.Join(reply.DrainedUnregistered, " "))
		}
	})
}

// Voters prints the voters and learners.
func (a *App) Voters(ctx context.Context) error {
	reply, err := a.Client.Voters(ctx)
	if err != nil {
		return err
	}
	return a.printVoters(reply)
}

func (a *App) printVoters(reply *operators.VotersReply) error {
	return a.printReply(reply, func(w io.Writer) {
		writeTable(w, "REPLICA\tPEER ADDRESS\tADMIN ADDRESS\tLEARNER\tLEADER", func(t io.Writer) {
			for _, v := range operators.UnwrapMessages(reply.Voters) {
				fmt.Fprintf(t, "%d\t%s\t%s\t%t\t%t\n", v.Id, v.PeerAddress, v.AdminAddress, v.Learner, v.Id == reply.Leader)
			}
		})
	})
}

func writeTable(w io.Writer, header string, rows func(io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, header)
	rows(t)
	_ = t.Flush()
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func joinNames(entries []*wirepb.EntryName) string {
	parts := make([]string, len(entries))
	for i, e := range entries {
		parts[i] = e.Kind + "/" + e.Name
	}
	return strings.Join(parts, " ")
}

func changedNames(c *wirepb.CatalogueChange) string {
	var parts []string
	for _, e := range c.Put {
		parts = append(parts, e.Kind+"/"+e.Name)
	}
	for _, e := range c.Remove {
		parts = append(parts, "-"+e.Kind+"/"+e.Name)
	}
	return strings.Join(parts, " ")
}

func servicesAndModels(announcement *wirepb.Announcement) string {
	parts := append([]string(nil), announcement.GetServices()...)
	for _, m := range announcement.GetModels() {
		parts = append(parts, fmt.Sprintf("%s@%s[%d-%d]", m.Model, m.Version, m.FirstLayer, m.LastLayer))
	}
	return strings.Join(parts, " ")
}
