package state

import (
	"slices"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Delta brings a copy of the catalogue to Revision. A full delta replaces the copy;
// any other delta edits it.
type Delta struct {
	Revision uint64
	Full     bool
	Put      []*wirepb.Entry
	Removed  []*wirepb.EntryName
}

// Revision returns the current revision of the catalogue.
func (s *Store) Revision() uint64 { return s.catalogue.revision }

// CatalogueEntry returns an entry, or nil. The caller must not modify it.
func (s *Store) CatalogueEntry(kind, name string) *wirepb.Entry {
	return s.catalogue.entries[entryID{kind, name}]
}

// Full returns the whole catalogue, sorted by kind and name.
func (s *Store) Full() Delta {
	return Delta{Revision: s.catalogue.revision, Full: true, Put: s.catalogue.sortedEntries()}
}

// Since returns what changed after the given revision, each entry at most once. If
// the history does not reach back that far, the delta is full.
func (s *Store) Since(revision uint64) Delta {
	c := &s.catalogue
	if revision == c.revision {
		return Delta{Revision: c.revision}
	}
	if revision > c.revision || len(c.history) == 0 || revision+1 < c.history[0].Revision {
		return s.Full()
	}
	return c.merge(c.history[revision+1-c.history[0].Revision:])
}

// merge combines changes into a delta with the last edit of each entry.
func (c *catalogue) merge(changes []*wirepb.CatalogueChange) Delta {
	last := make(map[entryID]*wirepb.Entry)
	for _, ch := range changes {
		for _, n := range ch.Remove {
			last[entryID{n.GetKind(), n.GetName()}] = nil
		}
		for _, e := range ch.Put {
			last[idOf(e)] = e
		}
	}
	d := Delta{Revision: c.revision}
	for id, e := range last {
		if e == nil {
			d.Removed = append(d.Removed, id.toWire())
		} else {
			d.Put = append(d.Put, e)
		}
	}
	slices.SortFunc(d.Put, func(a, b *wirepb.Entry) int { return idOf(a).compare(idOf(b)) })
	slices.SortFunc(d.Removed, func(a, b *wirepb.EntryName) int {
		return entryID{a.Kind, a.Name}.compare(entryID{b.Kind, b.Name})
	})
	return d
}

// History returns up to limit changes above the given revision, oldest first.
func (s *Store) History(after uint64, limit int) []*wirepb.CatalogueChange {
	i, _ := slices.BinarySearchFunc(s.catalogue.history, after+1, func(ch *wirepb.CatalogueChange, r uint64) int {
		return int(int64(ch.Revision - r))
	})
	rest := s.catalogue.history[i:]
	return slices.Clone(rest[:min(limit, len(rest))])
}
