package route

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Table is the routing table. A load report replaces one pointer; only a
// change of what a host holds touches the index, and then only the groups of
// that host. Readers never wait for a writer.
type Table struct {
	mu    sync.Mutex // serialises writers
	cells map[string]*cell
	index atomic.Pointer[index]
}

// cell is the current state of one host. Groups point to cells, so a load
// report leaves the groups as they are.
type cell struct {
	host string
	up   atomic.Pointer[Upstream]
	// Requests sent since the last report and in the interval before it. A
	// report lags, so a request counts for one to two report intervals.
	sent, sentBefore atomic.Int64
}

func (c *cell) sentSinceReport() int64 { return c.sent.Load() + c.sentBefore.Load() }

// index is immutable; a writer replaces it.
type index struct {
	models   map[string][]*version
	services map[string]*group
}

// version lists the layer ranges of one version of a model.
type version struct {
	name   string
	ranges []*layerRange // sorted by first and last layer
}

type layerRange struct {
	first, last int
	group       *group
}

// group is a set of interchangeable hosts.
type group struct {
	all         []*cell
	dataCentres map[string][]*cell
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{cells: make(map[string]*cell)}
	t.index.Store(&index{models: map[string][]*version{}, services: map[string]*group{}})
	return t
}

// Update records the state of a host.
func (t *Table) Update(u *Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cells[u.Host]
	if c == nil {
		c = &cell{host: u.Host}
		t.cells[u.Host] = c
		c.up.Store(u)
		t.reindex(c, nil, u)
		return
	}
	old := c.up.Load()
	c.up.Store(u)
	c.sentBefore.Store(c.sent.Swap(0))
	if !sameHoldings(old, u) {
		t.reindex(c, old, u)
	}
}

// Remove drops a host.
func (t *Table) Remove(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cells[host]
	if c == nil {
		return
	}
	delete(t.cells, host)
	t.reindex(c, c.up.Load(), nil)
}

// Get returns the state of a host, or nil.
func (t *Table) Get(host string) *Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.cells[host]; c != nil {
		return c.up.Load()
	}
	return nil
}

// Len returns the number of hosts.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.cells)
}

// UsableCount returns the number of hosts that take new work.
func (t *Table) UsableCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, c := range t.cells {
		if u := c.up.Load(); !u.Draining && !u.Stale {
			count++
		}
	}
	return count
}

// reindex moves c from the groups of old to the groups of u. Either may be nil.
func (t *Table) reindex(c *cell, old, u *Upstream) {
	cur := t.index.Load()
	next := &index{models: maps.Clone(cur.models), services: maps.Clone(cur.services)}
	if old != nil {
		for _, h := range old.Models {
			next.removeModel(c, old.DataCentre, h)
		}
		for _, name := range old.Services {
			next.setService(name, next.services[name].without(c, old.DataCentre))
		}
	}
	if u != nil {
		for _, h := range u.Models {
			next.addModel(c, u.DataCentre, h)
		}
		for _, name := range u.Services {
			next.setService(name, next.services[name].with(c, u.DataCentre))
		}
	}
	t.index.Store(next)
}

func (x *index) setService(name string, g *group) {
	if len(g.all) == 0 {
		delete(x.services, name)
		return
	}
	x.services[name] = g
}

func (x *index) addModel(c *cell, dataCentre string, h ModelShard) {
	x.replaceRange(h, func(g *group) *group { return g.with(c, dataCentre) })
}

func (x *index) removeModel(c *cell, dataCentre string, h ModelShard) {
	x.replaceRange(h, func(g *group) *group { return g.without(c, dataCentre) })
}

// replaceRange copies the path from the model to the range of h and replaces
// the group. An empty group disappears together with its range and version.
func (x *index) replaceRange(h ModelShard, change func(*group) *group) {
	versions := slices.Clone(x.models[h.Model])
	v := slices.IndexFunc(versions, func(v *version) bool { return v.name == h.Version })
	if v < 0 {
		versions = append(versions, &version{name: h.Version})
		v = len(versions) - 1
	}
	versions[v] = versions[v].replaceRange(h, change)
	if len(versions[v].ranges) == 0 {
		versions = slices.Delete(versions, v, v+1)
	}
	if len(versions) == 0 {
		delete(x.models, h.Model)
		return
	}
	x.models[h.Model] = versions
}

func (v *version) replaceRange(h ModelShard, change func(*group) *group) *version {
	want := &layerRange{first: h.FirstLayer, last: h.LastLayer}
	ranges := slices.Clone(v.ranges)
	i, found := slices.BinarySearchFunc(ranges, want, compareRanges)
	if found {
		want.group = change(ranges[i].group)
		ranges[i] = want
	} else {
		want.group = change(nil)
		ranges = slices.Insert(ranges, i, want)
	}
	if len(want.group.all) == 0 {
		ranges = slices.Delete(ranges, i, i+1)
	}
	return &version{name: v.name, ranges: ranges}
}

func compareRanges(a, b *layerRange) int {
	if a.first != b.first {
		return a.first - b.first
	}
	return a.last - b.last
}

// with returns a copy of g that contains c. A nil group is empty.
func (g *group) with(c *cell, dataCentre string) *group {
	out := g.clone()
	if !slices.Contains(out.all, c) {
		out.all = append(out.all, c)
		out.dataCentres[dataCentre] = append(slices.Clone(out.dataCentres[dataCentre]), c)
	}
	return out
}

// without returns a copy of g that does not contain c.
func (g *group) without(c *cell, dataCentre string) *group {
	out := g.clone()
	out.all = removeCell(out.all, c)
	local := removeCell(slices.Clone(out.dataCentres[dataCentre]), c)
	if len(local) == 0 {
		delete(out.dataCentres, dataCentre)
	} else {
		out.dataCentres[dataCentre] = local
	}
	return out
}

func (g *group) clone() *group {
	if g == nil {
		return &group{dataCentres: make(map[string][]*cell)}
	}
	return &group{all: slices.Clone(g.all), dataCentres: maps.Clone(g.dataCentres)}
}

// removeCell moves the last cell into the place of c, which keeps the
// placement by prefix hash of most others.
func removeCell(cells []*cell, c *cell) []*cell {
	i := slices.Index(cells, c)
	if i < 0 {
		return cells
	}
	last := len(cells) - 1
	cells[i] = cells[last]
	return cells[:last]
}
