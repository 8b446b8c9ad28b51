package state

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Kinds of catalogue entries.
const (
	KindOrganisation = "organisation"
	KindModel        = "model"
	KindService      = "service"
	KindPolicy       = "policy"
)

// PolicyName is the name of the only policy entry.
const PolicyName = "default"

const (
	// maxEntries limits the catalogue; the planned size is about 4,000 entries.
	maxEntries = 20_000
	// maxHistory and maxHistoryEdits limit the changes kept for watchers and for
	// the history. 4,096 changes are about 3 hours at the planned rate.
	maxHistory      = 4096
	maxHistoryEdits = 65_536
)

type entryID struct{ kind, name string }

func idOf(e *wirepb.Entry) entryID { return entryID{e.GetKind(), e.GetName()} }

func (id entryID) compare(other entryID) int {
	return cmp.Or(cmp.Compare(id.kind, other.kind), cmp.Compare(id.name, other.name))
}

func (id entryID) toWire() *wirepb.EntryName {
	return &wirepb.EntryName{Kind: id.kind, Name: id.name}
}

// catalogue holds the current entries and the latest changes. Entries are never
// modified in place, so readers may keep them.
type catalogue struct {
	revision  uint64
	entries   map[entryID]*wirepb.Entry
	keyOwners map[string]string // organisation by SHA-256 of an API key
	history   []*wirepb.CatalogueChange
	edits     int // number of edits in history
}

func newCatalogue() catalogue {
	return catalogue{
		entries:   make(map[entryID]*wirepb.Entry),
		keyOwners: make(map[string]string),
	}
}

func (c *catalogue) policy() *wirepb.PolicySpec {
	return c.entries[entryID{KindPolicy, PolicyName}].GetPolicy()
}

// change applies all edits of a change, or refuses the change and applies none.
func (s *Store) change(cmd *wirepb.Command, ch *wirepb.Change) *wirepb.CommandResult {
	err := s.catalogue.check(ch)
	if err != nil {
		s.record(cmd, auditOfChange(ch, err))
		return s.errorResult(err)
	}
	s.catalogue.apply(&wirepb.CatalogueChange{
		Revision:   s.catalogue.revision + 1,
		TimeUnixMs: s.now,
		Operator:   cmd.GetOperator(),
		RequestId:  cmd.GetRequestId(),
		Comment:    ch.GetComment(),
		Put:        cloneEntries(ch.GetPut(), s.catalogue.revision+1),
		Remove:     ch.GetRemove(),
	})
	s.record(cmd, auditOfChange(ch, nil))
	return &wirepb.CommandResult{Revision: s.catalogue.revision}
}

// check returns the reason why a change cannot be applied at the current revision,
// or nil.
func (c *catalogue) check(ch *wirepb.Change) *fault.Error {
	if ch.GetBaseRevision() != c.revision {
		return c.conflict(ch.GetBaseRevision())
	}
	if err := validateChange(ch); err != nil {
		return err
	}
	if err := c.checkRemoved(ch.GetRemove()); err != nil {
		return err
	}
	if err := c.checkKeys(ch); err != nil {
		return err
	}
	return c.checkSize(ch)
}

// conflict returns the error for a change whose base revision is not the current
// one. It names the change that was applied to that revision instead.
func (c *catalogue) conflict(base uint64) *fault.Error {
	err := fault.New(fault.Conflict, "change is based on revision %d; the current revision is %d", base, c.revision)
	err.Revision = c.revision
	if base < c.revision {
		err.Revision = base + 1
	}
	if winner := c.changeAt(base + 1); winner != nil {
		err.Message += "; revision " + utoa(winner.Revision) + " was made by " + winner.Operator + " with request " + winner.RequestId
	}
	return err.WithField("base_revision")
}

func (c *catalogue) changeAt(revision uint64) *wirepb.CatalogueChange {
	if len(c.history) == 0 || revision < c.history[0].Revision || revision > c.revision {
		return nil
	}
	return c.history[revision-c.history[0].Revision]
}

func (c *catalogue) checkRemoved(names []*wirepb.EntryName) *fault.Error {
	for i, n := range names {
		if _, ok := c.entries[entryID{n.GetKind(), n.GetName()}]; !ok {
			return fault.New(fault.NotFound, "no %s named %q", n.GetKind(), n.GetName()).WithField(indexed("remove", i, "name"))
		}
	}
	return nil
}

// checkKeys refuses an API key that two organisations would hold after the change.
func (c *catalogue) checkKeys(ch *wirepb.Change) *fault.Error {
	edited := make(map[string]bool, len(ch.GetPut())+len(ch.GetRemove()))
	for _, e := range ch.GetPut() {
		edited[e.GetName()] = edited[e.GetName()] || e.GetKind() == KindOrganisation
	}
	for _, n := range ch.GetRemove() {
		edited[n.GetName()] = edited[n.GetName()] || n.GetKind() == KindOrganisation
	}
	added := make(map[string]bool)
	for i, e := range ch.GetPut() {
		for j, key := range e.GetOrganisation().GetKeySha256() {
			owner, held := c.keyOwners[key]
			if added[key] || held && !edited[owner] {
				field := indexed("put", i, indexed("organisation.key_sha256", j, ""))
				return fault.New(fault.Invalid, "API key is held by another organisation").WithField(field)
			}
			added[key] = true
		}
	}
	return nil
}

func (c *catalogue) checkSize(ch *wirepb.Change) *fault.Error {
	size := len(c.entries) - len(ch.GetRemove())
	for _, e := range ch.GetPut() {
		if _, ok := c.entries[idOf(e)]; !ok {
			size++
		}
	}
	if size > maxEntries {
		return fault.New(fault.Overloaded, "catalogue would hold %d entries; the limit is %d", size, maxEntries).WithField("put")
	}
	return nil
}

func (c *catalogue) apply(ch *wirepb.CatalogueChange) {
	for _, n := range ch.Remove {
		c.unset(entryID{n.GetKind(), n.GetName()})
	}
	for _, e := range ch.Put {
		c.unset(idOf(e))
	}
	for _, e := range ch.Put {
		c.set(e)
	}
	c.revision = ch.Revision
	c.appendHistory(ch)
}

func (c *catalogue) set(e *wirepb.Entry) {
	c.entries[idOf(e)] = e
	for _, key := range e.GetOrganisation().GetKeySha256() {
		c.keyOwners[key] = e.GetName()
	}
}

func (c *catalogue) unset(id entryID) {
	for _, key := range c.entries[id].GetOrganisation().GetKeySha256() {
		delete(c.keyOwners, key)
	}
	delete(c.entries, id)
}

func (c *catalogue) appendHistory(ch *wirepb.CatalogueChange) {
	c.history = append(c.history, ch)
	c.edits += editCount(ch)
	for len(c.history) > 1 && (len(c.history) > maxHistory || c.edits > maxHistoryEdits) {
		c.edits -= editCount(c.history[0])
		c.history[0] = nil
		c.history = c.history[1:]
	}
}

func (c *catalogue) sortedEntries() []*wirepb.Entry {
	return slices.SortedFunc(maps.Values(c.entries), func(a, b *wirepb.Entry) int {
		return idOf(a).compare(idOf(b))
	})
}

func editCount(ch *wirepb.CatalogueChange) int { return len(ch.Put) + len(ch.Remove) }

func cloneEntries(entries []*wirepb.Entry, revision uint64) []*wirepb.Entry {
	out := make([]*wirepb.Entry, len(entries))
	for i, e := range entries {
		out[i] = proto.CloneOf(e)
		out[i].Revision = revision
	}
	return out
}
