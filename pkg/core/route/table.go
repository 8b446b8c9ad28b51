package route

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Table is the routing table. It may be used by several goroutines. A load report
// replaces one pointer; the index changes only when a host's shards, services or
// data centre change, and then only in the groups of that host. SelectChain and
// SelectService never wait for a writer.
type Table struct {
	mu          sync.Mutex // serialises writers
	hostRecords map[string]*hostRecord
	index       atomic.Pointer[index]
}

// hostRecord holds the current state of one host. Groups point to records, so a
// load report does not change the groups.
type hostRecord struct {
	host string
	up   atomic.Pointer[Upstream]
	// Requests sent since the last report and in the interval before it. Reports
	// are delayed, so a request is counted for one to two report intervals.
	sent, sentPreviousInterval atomic.Int64
}

func (record *hostRecord) recentlySent() int64 {
	return record.sent.Load() + record.sentPreviousInterval.Load()
}

// index maps models and services to hosts. It is immutable; a writer replaces it.
type index struct {
	models   map[string][]*version
	services map[string]*group
}

// version holds the layer ranges of one version of a model.
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
	all         []*hostRecord
	dataCentres map[string][]*hostRecord
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{hostRecords: make(map[string]*hostRecord)}
	t.index.Store(&index{models: map[string][]*version{}, services: map[string]*group{}})
	return t
}

// Update adds the host of u or replaces its state, and then starts a new interval
// for the count of sent requests.
func (t *Table) Update(u *Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.hostRecords[u.Host]
	if record == nil {
		record = &hostRecord{host: u.Host}
		t.hostRecords[u.Host] = record
		record.up.Store(u)
		t.reindex(record, nil, u)
		return
	}
	old := record.up.Load()
	record.up.Store(u)
	record.sentPreviousInterval.Store(record.sent.Swap(0))
	if !sameIndexEntries(old, u) {
		t.reindex(record, old, u)
	}
}

// Remove deletes a host. It does nothing if the host is not known.
func (t *Table) Remove(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.hostRecords[host]
	if record == nil {
		return
	}
	delete(t.hostRecords, host)
	t.reindex(record, record.up.Load(), nil)
}

// Get returns the state of a host, or nil if the host is not known.
func (t *Table) Get(host string) *Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.hostRecords[host]; record != nil {
		return record.up.Load()
	}
	return nil
}

// Len returns the number of hosts.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.hostRecords)
}

// UsableCount returns the number of hosts that are neither draining nor stale.
func (t *Table) UsableCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, record := range t.hostRecords {
		if u := record.up.Load(); !u.Draining && !u.Stale {
			count++
		}
	}
	return count
}

// reindex moves record from the groups of old to the groups of u. Either may be nil.
func (t *Table) reindex(record *hostRecord, old, u *Upstream) {
	cur := t.index.Load()
	next := &index{models: maps.Clone(cur.models), services: maps.Clone(cur.services)}
	if old != nil {
		for _, shard := range old.Models {
			next.removeModel(record, old.DataCentre, shard)
		}
		for _, name := range old.Services {
			next.setService(name, next.services[name].without(record, old.DataCentre))
		}
	}
	if u != nil {
		for _, shard := range u.Models {
			next.addModel(record, u.DataCentre, shard)
		}
		for _, name := range u.Services {
			next.setService(name, next.services[name].with(record, u.DataCentre))
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

func (x *index) addModel(record *hostRecord, dataCentre string, shard ModelShard) {
	x.replaceRange(shard, func(g *group) *group { return g.with(record, dataCentre) })
}

func (x *index) removeModel(record *hostRecord, dataCentre string, shard ModelShard) {
	x.replaceRange(shard, func(g *group) *group { return g.without(record, dataCentre) })
}

// replaceRange replaces the group of the range of shard, and copies the versions and
// ranges that lead to it. An empty group is removed together with its range, and
// with its version and model if these become empty.
func (x *index) replaceRange(shard ModelShard, change func(*group) *group) {
	versions := slices.Clone(x.models[shard.Model])
	v := slices.IndexFunc(versions, func(v *version) bool { return v.name == shard.Version })
	if v < 0 {
		versions = append(versions, &version{name: shard.Version})
		v = len(versions) - 1
	}
	versions[v] = versions[v].replaceRange(shard, change)
	if len(versions[v].ranges) == 0 {
		versions = slices.Delete(versions, v, v+1)
	}
	if len(versions) == 0 {
		delete(x.models, shard.Model)
		return
	}
	x.models[shard.Model] = versions
}

func (v *version) replaceRange(shard ModelShard, change func(*group) *group) *version {
	want := &layerRange{first: shard.FirstLayer, last: shard.LastLayer}
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

// with returns a copy of g that contains record. A nil group is empty.
func (g *group) with(record *hostRecord, dataCentre string) *group {
	out := g.clone()
	if !slices.Contains(out.all, record) {
		out.all = append(out.all, record)
		out.dataCentres[dataCentre] = append(slices.Clone(out.dataCentres[dataCentre]), record)
	}
	return out
}

// without returns a copy of g that does not contain record.
func (g *group) without(record *hostRecord, dataCentre string) *group {
	out := g.clone()
	out.all = removeRecord(out.all, record)
	local := removeRecord(slices.Clone(out.dataCentres[dataCentre]), record)
	if len(local) == 0 {
		delete(out.dataCentres, dataCentre)
	} else {
		out.dataCentres[dataCentre] = local
	}
	return out
}

func (g *group) clone() *group {
	if g == nil {
		return &group{dataCentres: make(map[string][]*hostRecord)}
	}
	return &group{all: slices.Clone(g.all), dataCentres: maps.Clone(g.dataCentres)}
}

// removeRecord replaces record by the last record, so that most prefix hashes still
// map to the same record.
func removeRecord(hostRecords []*hostRecord, record *hostRecord) []*hostRecord {
	i := slices.Index(hostRecords, record)
	if i < 0 {
		return hostRecords
	}
	last := len(hostRecords) - 1
	hostRecords[i] = hostRecords[last]
	return hostRecords[:last]
}
