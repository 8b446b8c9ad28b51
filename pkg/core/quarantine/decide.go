package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes from which a part is held to be the cause. By
	// chance, a part that is rarely asked for is among the suspects of two.
	minCrashes = 3
	// minCrashesOnceAnswered applies to a part with which requests were answered before the
	// crashes: it is more likely to come together with the cause.
	minCrashesOnceAnswered = 6
	// minScore is the least sum of a part's shares in these crashes: a crash with many
	// suspects says less about each.
	minScore = 1.5
	// relapseScore is the least share in a single crash that imposes an ended quarantine
	// again.
	relapseScore = 0.5
	// crashesPerAnswer is the number of crashes that one answered request makes up for.
	crashesPerAnswer = 4
	// baseTerm is the length of the first term of a quarantine. It doubles with each
	// further term up to maxDoublings times.
	baseTerm     = 10 * time.Minute
	maxDoublings = 5
)

// cause is a set of parts that crashes have in common.
type cause struct {
	parts     Parts
	lastCrash time.Time
}

// decide returns the causes that explain the confirmed crashes, most crashes first.
func (t *Tracker) decide(now time.Time) []cause {
	var unexplained []*crash
	for _, c := range t.crashes {
		if c.confirmed && now.Sub(c.reportedAt) >= t.delays.Settle {
			unexplained = append(unexplained, c)
		}
	}
	var causes []cause
	for {
		found, ok := t.mostLikely(now, unexplained)
		if !ok {
			return causes
		}
		unexplained = slices.DeleteFunc(unexplained, func(c *crash) bool {
			explained := c.explainedBy(found.parts)
			if explained && c.at.After(found.lastCrash) {
				found.lastCrash = c.at
			}
			return explained
		})
		causes = append(causes, found)
	}
}

// mostLikely returns the parts that the requests of most crashes have in common. A part
// with which no request was ever answered goes before all others. Of parts that explain as
// many crashes, the one that fewer of the suspects have is chosen: less is refused.
func (t *Tracker) mostLikely(now time.Time, crashes []*crash) (cause, bool) {
	counts, scores := make(map[string]int), make(map[string]float64)
	for _, c := range crashes {
		for id := range t.watched {
			if share, suspected := c.shares[id]; suspected {
				counts[id]++
				scores[id] += share
			}
		}
	}
	maps.DeleteFunc(counts, func(id string, count int) bool { return !t.isCause(now, id, count, scores[id], crashes) })
	if len(counts) == 0 {
		return cause{}, false
	}
	id := slices.MinFunc(slices.Collect(maps.Keys(counts)), func(a, b string) int {
		return cmp.Or(
			cmp.Compare(t.rankOf(a), t.rankOf(b)),
			cmp.Compare(counts[b], counts[a]),
			cmp.Compare(scores[a], scores[b]),
			cmp.Compare(a, b))
	})
	return cause{parts: t.commonParts(id, crashes)}, true
}

// rankOf orders parts by whether a request with them was ever answered.
func (t *Tracker) rankOf(id string) int {
	if w := t.watched[id]; w != nil && !w.answeredOnce {
		return 0
	}
	return 1
}

// isCause reports whether a part that occurs in count crashes is held to be their cause.
func (t *Tracker) isCause(now time.Time, id string, count int, score float64, crashes []*crash) bool {
	if now.Sub(t.watched[id].since) < t.delays.Answers || t.isSound(id, count) {
		return false
	}
	enough := minCrashes
	if t.rankOf(id) > 0 {
		enough = minCrashesOnceAnswered
	}
	return count >= enough && score >= minScore || score >= relapseScore && t.isRelapse(id, crashes)
}

// isSound reports whether requests with a part are answered too often for the part to be
// the cause of this number of crashes.
func (t *Tracker) isSound(id string, crashes int) bool {
	w := t.watched[id]
	return w != nil && w.answered > crashes/crashesPerAnswer
}

// isRelapse reports whether a crash came after the end of a quarantine with this part, by
// a request that the quarantine would have stopped.
func (t *Tracker) isRelapse(id string, crashes []*crash) bool {
	for _, q := range t.quarantines {
		if q.Parts.has(id) && slices.ContainsFunc(crashes, func(c *crash) bool { return c.at.After(q.Until) && c.explainedBy(q.Parts) }) {
			return true
		}
	}
	return false
}

// commonParts returns the parts that all suspects with a part have in common, without those
// that are known from answered requests. Parts that always come together are kept
// together, so that sound requests which share only some of them are not refused.
func (t *Tracker) commonParts(id string, crashes []*crash) Parts {
	var common Parts
	count := 0
	for _, c := range crashes {
		if _, suspected := c.shares[id]; !suspected {
			continue
		}
		count++
		for _, r := range c.suspects {
			switch {
			case !r.Parts.has(id):
			case common == nil:
				common = r.Parts
			default:
				common = common.filter(r.Parts.has)
			}
		}
	}
	return common.filter(func(other string) bool {
		return other == id || !t.isSound(other, count) && t.rankOf(other) <= t.rankOf(id)
	})
}

// impose imposes a quarantine for each cause that none in force covers. A cause with fewer
// parts than a quarantine replaces the parts of that quarantine. A quarantine whose crashes
// have since turned out to have another cause is lifted.
func (t *Tracker) impose(now time.Time, causes []cause) {
	t.remove(func(q Quarantine) bool { return q.inForce(now) && t.hasOtherCause(q.Parts, causes) })
	for _, c := range causes {
		i := slices.IndexFunc(t.quarantines, func(q Quarantine) bool { return c.parts.Contains(q.Parts) || q.Parts.Contains(c.parts) })
		switch {
		case i < 0:
			t.add(Quarantine{Parts: c.parts, Until: now.Add(termLength(1)), Terms: 1})
		case !t.quarantines[i].inForce(now):
			if q := &t.quarantines[i]; c.lastCrash.After(q.Until) {
				*q = Quarantine{Parts: c.parts, Until: now.Add(termLength(q.Terms + 1)), Terms: q.Terms + 1}
				t.revision++
			}
		case len(c.parts) < len(t.quarantines[i].Parts):
			t.quarantines[i].Parts = c.parts
			t.revision++
		}
	}
}

// hasOtherCause reports whether the crashes by requests with these parts all have a cause
// that is neither these parts nor some of them.
func (t *Tracker) hasOtherCause(p Parts, causes []cause) bool {
	if slices.ContainsFunc(causes, func(c cause) bool { return p.Contains(c.parts) || c.parts.Contains(p) }) {
		return false
	}
	explained := 0
	for _, c := range t.crashes {
		if !c.confirmed || !c.explainedBy(p) {
			continue
		}
		if !slices.ContainsFunc(causes, func(other cause) bool { return c.explainedBy(other.parts) }) {
			return false
		}
		explained++
	}
	return explained > 0
}

func termLength(terms int) time.Duration { return baseTerm << min(terms-1, maxDoublings) }

// add adds a quarantine, and removes the one that ends first if there are too many.
func (t *Tracker) add(q Quarantine) {
	if len(t.quarantines) >= maxQuarantines {
		first := slices.MinFunc(t.quarantines, func(a, b Quarantine) int { return a.Until.Compare(b.Until) })
		t.remove(func(q Quarantine) bool { return slices.Equal(q.Parts, first.Parts) })
	}
	t.quarantines = append(t.quarantines, q)
	t.revision++
}

func (t *Tracker) remove(drop func(Quarantine) bool) {
	before := len(t.quarantines)
	t.quarantines = slices.DeleteFunc(slices.Clone(t.quarantines), drop)
	if len(t.quarantines) != before {
		t.revision++
	}
}

func (t *Tracker) indexOf(p Parts) int {
	return slices.IndexFunc(t.quarantines, func(q Quarantine) bool { return slices.Equal(q.Parts, p) })
}
