package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Process is one process of an engine. An engine that restarts is another process.
type Process struct {
	ID          string
	StartUnixMs int64
}

// Progress is how far an engine had come with a reply when the connection broke. An
// engine that crashes on a request does so when it starts to answer it.
type Progress int

// The values of Progress, from the least to the most suspicious.
const (
	Waiting Progress = iota // no header had arrived
	Writing                 // the first event had arrived
	Began                   // the header had arrived, and no event
)

// BrokenReply is a request whose connection broke at the start of the reply.
type BrokenReply struct {
	RequestID string
	Process   Process
	Progress  Progress
	Parts     Parts
	At        time.Time // when the connection broke
}

const (
	// evidenceAge is the time for which a crash counts.
	evidenceAge = 10 * time.Minute
	// maxCrashes and maxReplies, of one crash, bound the evidence whatever callers send.
	maxCrashes = 128
	maxReplies = 16
	// confirmTimeout is the time within which a leader finds out that an engine is lost,
	// also one that has just been elected. A connection that breaks without it is no crash.
	confirmTimeout = 5 * time.Second
	// maxWatched bounds the parts that gateways report answers for.
	maxWatched = 128
	// maxQuarantines bounds the quarantines, ended ones included.
	maxQuarantines = 256
)

// crash is an engine process that was lost, or is suspected to be, while it had requests.
type crash struct {
	process    Process
	at         time.Time // when the first connection broke
	reportedAt time.Time // when the first report arrived
	confirmed  bool
	replies    map[string]BrokenReply // by request id
	// suspects and shares follow from replies. update sets them.
	suspects []BrokenReply
	shares   map[string]float64 // part -> share of the suspects that have it
}

// update finds the requests that may have caused the crash: those with the most suspicious
// progress.
func (c *crash) update() {
	worst := Waiting
	for _, r := range c.replies {
		worst = max(worst, r.Progress)
	}
	c.suspects = nil
	for _, r := range c.replies {
		if r.Progress == worst {
			c.suspects = append(c.suspects, r)
		}
	}
	c.shares = make(map[string]float64)
	for _, r := range c.suspects {
		for _, id := range r.Parts {
			c.shares[id] += 1 / float64(len(c.suspects))
		}
	}
}

// explainedBy reports whether a request with all of these parts may have caused the crash.
func (c *crash) explainedBy(p Parts) bool {
	return slices.ContainsFunc(c.suspects, func(r BrokenReply) bool { return r.Parts.Contains(p) })
}

// watch is what is known of a part that occurs in the evidence.
type watch struct {
	since        time.Time
	answered     int  // requests answered since
	answeredOnce bool // also before
}

// Delays are the times that evidence takes to arrive. They are zero where one process has
// all of it.
type Delays struct {
	// Settle is the time from the first report of a crash until those of all other
	// processes have arrived.
	Settle time.Duration
	// Answers is the time from when a part is first watched until all processes have
	// reported whether requests with it are answered.
	Answers time.Duration
}

// Tracker collects the evidence of all gateways and decides on quarantines. It is not safe
// for concurrent use.
type Tracker struct {
	delays      Delays
	crashes     map[Process]*crash
	watched     map[string]*watch
	quarantines []Quarantine
	revision    uint64
	// crashesChanged is set if the crashes changed since watched was updated, and undecided
	// if the evidence changed since the last decision.
	crashesChanged, undecided bool
}

// NewTracker returns a tracker without evidence. known are quarantines imposed before.
func NewTracker(d Delays, known []Quarantine) *Tracker {
	t := &Tracker{delays: d, crashes: make(map[Process]*crash), watched: make(map[string]*watch), revision: 1}
	t.Merge(known)
	return t
}

// Revision increases with each change of Watched or Quarantines.
func (t *Tracker) Revision() uint64 { return t.revision }

// Quarantines returns all quarantines, also those that have ended.
func (t *Tracker) Quarantines() List { return slices.Clone(t.quarantines) }

// Watched returns the parts whose answered requests are to be reported, sorted.
func (t *Tracker) Watched() []string { return slices.Sorted(maps.Keys(t.watched)) }

// Merge adds quarantines that another process knows.
func (t *Tracker) Merge(known []Quarantine) {
	for _, q := range known {
		if i := t.indexOf(q.Parts); i < 0 {
			t.add(q)
		} else if q.Until.After(t.quarantines[i].Until) {
			t.quarantines[i] = q
			t.revision++
		}
	}
}

// RecordBroken records a broken reply. It reports whether it is the first one of the process,
// whose loss is then yet to be confirmed.
func (t *Tracker) RecordBroken(now time.Time, r BrokenReply) (first bool) {
	if len(r.Parts) == 0 {
		return false
	}
	c := t.crashes[r.Process]
	if c == nil {
		first = true
		t.makeRoom()
		c = &crash{process: r.Process, at: r.At, reportedAt: now, replies: make(map[string]BrokenReply)}
		t.crashes[r.Process] = c
	}
	old, known := c.replies[r.RequestID]
	switch {
	case known && old.Progress >= r.Progress, !known && len(c.replies) >= maxReplies && !c.dropLess(r.Progress):
		return first
	}
	c.replies[r.RequestID] = r
	c.update()
	if r.At.Before(c.at) {
		c.at = r.At
	}
	t.crashesChanged = true
	return first
}

// dropLess removes a reply that is less suspicious than one with this progress.
func (c *crash) dropLess(p Progress) bool {
	for id, r := range c.replies {
		if r.Progress < p {
			delete(c.replies, id)
			return true
		}
	}
	return false
}

// makeRoom removes the crash that tells least, if there is no room for another: one that
// is not confirmed, and otherwise the oldest.
func (t *Tracker) makeRoom() {
	if len(t.crashes) < maxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(t.crashes)), func(a, b *crash) int {
		if a.confirmed != b.confirmed {
			if b.confirmed {
				return -1
			}
			return 1
		}
		return a.at.Compare(b.at)
	})
	delete(t.crashes, oldest.process)
}

// RecordAnswered records n answered requests with these watched parts. beforeWatch is set
// if they were answered before the parts were watched.
func (t *Tracker) RecordAnswered(p Parts, n int, beforeWatch bool) {
	for _, id := range p {
		w := t.watched[id]
		if w == nil {
			continue
		}
		if !beforeWatch {
			w.answered += n
		}
		t.undecided = t.undecided || !w.answeredOnce || !beforeWatch
		w.answeredOnce = true
	}
	if !beforeWatch {
		t.remove(func(q Quarantine) bool { return p.Contains(q.Parts) && t.isAnswered(q.Parts) })
	}
}

// isAnswered reports whether requests with all of these parts are answered too often for
// the parts to be the cause of the crashes with them.
func (t *Tracker) isAnswered(p Parts) bool {
	crashes := 0
	for _, c := range t.crashes {
		if c.confirmed && c.explainedBy(p) {
			crashes++
		}
	}
	return !slices.ContainsFunc(p, func(id string) bool { return !t.isSound(id, crashes) })
}

// Step confirms crashes, drops old evidence and decides. isLost reports whether a process
// of an engine is gone or does not answer.
func (t *Tracker) Step(now time.Time, isLost func(Process) bool) {
	for _, c := range t.crashes {
		switch {
		case !c.confirmed && isLost(c.process):
			c.confirmed, t.crashesChanged = true, true
		case !c.confirmed && now.Sub(c.reportedAt) > confirmTimeout, now.Sub(c.at) > evidenceAge:
			delete(t.crashes, c.process)
			t.crashesChanged = true
		}
	}
	if t.crashesChanged {
		t.updateWatched(now)
		t.crashesChanged, t.undecided = false, true
	}
	if t.undecided {
		t.undecided = t.awaitsReports(now)
		t.impose(now, t.decide(now))
	}
}

// awaitsReports reports whether a decision may change by time alone, because reports of a
// crash or of answers are still expected.
func (t *Tracker) awaitsReports(now time.Time) bool {
	for _, c := range t.crashes {
		if now.Sub(c.reportedAt) < t.delays.Settle {
			return true
		}
	}
	for _, w := range t.watched {
		if now.Sub(w.since) < t.delays.Answers {
			return true
		}
	}
	return false
}

// updateWatched watches the parts of quarantines, those that occur in most crashes, and
// the others of the latest crashes.
func (t *Tracker) updateWatched(now time.Time) {
	counts := make(map[string]int)
	for _, c := range t.crashes {
		for id := range c.shares {
			counts[id]++
		}
	}
	var ids []string
	for _, q := range t.quarantines {
		ids = append(ids, q.Parts...)
	}
	ids = append(ids, t.repeatedParts(counts)...)
	latest := slices.SortedFunc(maps.Values(t.crashes), func(a, b *crash) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.process.ID, b.process.ID))
	})
	for _, c := range latest {
		if len(ids) >= maxWatched {
			break
		}
		ids = append(ids, slices.Sorted(maps.Keys(c.shares))...)
	}
	t.setWatched(now, ids)
}

// repeatedParts returns the parts that occur in several crashes, by their number.
func (t *Tracker) repeatedParts(counts map[string]int) []string {
	maps.DeleteFunc(counts, func(_ string, count int) bool { return count < 2 })
	return slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}

// setWatched watches the first ids of a list, which may contain duplicates.
func (t *Tracker) setWatched(now time.Time, ids []string) {
	next := make(map[string]*watch, maxWatched)
	added := false
	for _, id := range ids {
		if len(next) >= maxWatched {
			break
		}
		if next[id] = t.watched[id]; next[id] == nil {
			next[id], added = &watch{since: now}, true
		}
	}
	if added || len(next) != len(t.watched) {
		t.revision++
	}
	t.watched = next
}
