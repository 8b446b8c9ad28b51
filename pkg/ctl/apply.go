package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/catalogue"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/operators"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// ApplyOptions holds the flags of the apply command.
type ApplyOptions struct {
	File         string
	Remove       []string // entries as kind/name
	BaseRevision uint64   // zero means the current revision
	RequestID    string   // set to resend a change whose response was lost
	Comment      string
	Wait         bool
	WaitTimeout  time.Duration
}

// Apply makes one change to the catalogue. It returns an *UnconfirmedError if
// Wait is set and the change is not confirmed in time.
func (a *App) Apply(ctx context.Context, opts ApplyOptions) error {
	req, err := a.changeRequest(ctx, opts)
	if err != nil {
		return err
	}
	reply, err := a.Client.Apply(ctx, req)
	if err != nil {
		return err
	}
	err = a.printReply(reply, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as revision %d\n", reply.Revision)
		if c := reply.Confirmation; c != nil && c.Confirmed {
			fmt.Fprintf(w, "in force on %d watchers after %d ms\n", c.Watchers, c.ElapsedMs)
		}
	})
	if err != nil {
		return err
	}
	if c := reply.Confirmation; c != nil && !c.Confirmed {
		return &UnconfirmedError{Revision: reply.Revision, Lagging: c.LaggingHosts, LaggingTotal: c.LaggingTotal}
	}
	return nil
}

func (a *App) changeRequest(ctx context.Context, opts ApplyOptions) (*operators.ChangeRequest, error) {
	req := &operators.ChangeRequest{
		BaseRevision: opts.BaseRevision,
		RequestID:    opts.RequestID,
		Comment:      opts.Comment,
		Wait:         opts.Wait,
		WaitMs:       uint32(opts.WaitTimeout / time.Millisecond),
	}
	if opts.File != "" {
		entries, err := catalogue.Read(opts.File)
		if err != nil {
			return nil, err
		}
		req.Put = operators.WrapMessages(entries)
	}
	for _, text := range opts.Remove {
		name, err := parseEntryName(text)
		if err != nil {
			return nil, err
		}
		req.Remove = append(req.Remove, operators.EntryName{Value: name})
	}
	if len(req.Put) == 0 && len(req.Remove) == 0 {
		return nil, fault.New(fault.Invalid, "nothing to change").WithField("file").WithOutcome(fault.NotRun)
	}
	if req.BaseRevision == 0 {
		current, err := a.Client.Catalogue(ctx, nil)
		if err != nil {
			return nil, err
		}
		req.BaseRevision = current.Revision
	}
	return req, nil
}

func parseEntryName(text string) (*wirepb.EntryName, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || kind == "" || name == "" {
		return nil, fault.New(fault.Invalid, "%q is not of the form kind/name", text).WithField("remove").WithOutcome(fault.NotRun)
	}
	return &wirepb.EntryName{Kind: kind, Name: name}, nil
}

// Difference is one entry that a catalogue file adds or changes.
type Difference struct {
	Action string `json:"action"` // "add", "change"
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after"`
}

// DiffReply lists the differences between a file and the catalogue at Revision.
type DiffReply struct {
	Revision    uint64       `json:"revision"`
	Differences []Difference `json:"differences"`
}

// Diff prints the changes that applying a file would make. It lists no removals,
// because a file does not remove entries.
func (a *App) Diff(ctx context.Context, file string) error {
	entries, err := catalogue.Read(file)
	if err != nil {
		return err
	}
	current, err := a.Client.Catalogue(ctx, nil)
	if err != nil {
		return err
	}
	reply := DiffReply{Revision: current.Revision, Differences: diffEntries(operators.UnwrapMessages(current.Entries), entries)}
	return a.printReply(reply, func(w io.Writer) {
		fmt.Fprintf(w, "against revision %d: %d differences\n", reply.Revision, len(reply.Differences))
		for _, d := range reply.Differences {
			fmt.Fprintf(w, "%s %s/%s\n", d.Action, d.Kind, d.Name)
			writePrefixed(w, "- ", d.Before)
			writePrefixed(w, "+ ", d.After)
		}
	})
}

func diffEntries(current, desired []*wirepb.Entry) []Difference {
	out := []Difference{}
	for _, e := range desired {
		d := Difference{Action: "add", Kind: e.Kind, Name: e.Name, After: catalogue.Format([]*wirepb.Entry{e})}
		i := slices.IndexFunc(current, func(k *wirepb.Entry) bool { return k.Kind == e.Kind && k.Name == e.Name })
		if i >= 0 {
			before := proto.Clone(current[i]).(*wirepb.Entry)
			before.Revision = 0
			d.Action = "change"
			d.Before = catalogue.Format([]*wirepb.Entry{before})
		}
		if d.Before != d.After {
			out = append(out, d)
		}
	}
	return out
}

func writePrefixed(w io.Writer, prefix, text string) {
	for _, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		if line != "" {
			fmt.Fprintf(w, "  %s%s\n", prefix, line)
		}
	}
}
