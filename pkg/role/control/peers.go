package control

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// peerReportTTL is how long a status report of another replica is valid.
	peerReportTTL = 1500 * time.Millisecond
	// entryRetention is how long an entry counts as live after its watch has
	// ended. It equals the grace period in which the entry may still accept
	// requests, so that the shares of the other entries do not grow too early.
	entryRetention = 4 * time.Second
	// peerStatusInterval is the interval of status reports,
	// peerStatusMinInterval the least time between two of them.
	peerStatusInterval    = 500 * time.Millisecond
	peerStatusMinInterval = 50 * time.Millisecond
	maxLaggingListed      = 64
	// maxClockError is the clock error above which proposal times are
	// corrected. It is far above the delay of a status report and far below
	// the expiry horizon of idempotency keys.
	maxClockError = 5 * time.Second
)

// peers holds the status reports of the other replicas and the entries
// connected to any replica.
type peers struct {
	mu      sync.Mutex
	reports map[uint64]peerReport
	entries map[string]time.Time // last time each entry was seen
	changed func()
}

type peerReport struct {
	status      *wirepb.PeerStatus
	receivedAt  time.Time
	clockOffset time.Duration // of the sender's clock relative to the local clock
}

func newPeers(changed func()) *peers {
	return &peers{reports: make(map[uint64]peerReport), entries: make(map[string]time.Time), changed: changed}
}

// record stores the status report of another replica.
func (p *peers) record(now time.Time, s *wirepb.PeerStatus) {
	p.mu.Lock()
	ahead := time.UnixMilli(s.GetTimeUnixMs()).Sub(now)
	p.reports[s.GetFrom()] = peerReport{status: s, receivedAt: now, clockOffset: ahead}
	for _, host := range s.GetEntries() {
		p.entries[host] = now
	}
	p.mu.Unlock()
	p.changed()
}

// recordEntries renews the entries that watch this replica and removes entries
// whose retention has passed.
func (p *peers) recordEntries(now time.Time, hosts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range hosts {
		p.entries[host] = now
	}
	maps.DeleteFunc(p.entries, func(_ string, seen time.Time) bool { return now.Sub(seen) > entryRetention })
}

// liveEntries returns the number of entries that may accept requests.
func (p *peers) liveEntries(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, seen := range p.entries {
		if now.Sub(seen) <= entryRetention {
			n++
		}
	}
	return n
}

// currentReports returns the valid reports by replica id.
func (p *peers) currentReports(now time.Time) map[uint64]*wirepb.PeerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[uint64]*wirepb.PeerStatus, len(p.reports))
	for id, r := range p.reports {
		if now.Sub(r.receivedAt) <= peerReportTTL {
			out[id] = r.status
		}
	}
	return out
}

// correctedTime returns now, corrected to the median clock of the reporting
// replicas if it is off by more than maxClockError. Log time never decreases:
// a single proposal by a leader whose clock is far ahead would make every
// idempotency key look expired until real time has caught up.
func (p *peers) correctedTime(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	offsets := []time.Duration{0} // the local clock
	for _, r := range p.reports {
		if now.Sub(r.receivedAt) <= peerReportTTL {
			offsets = append(offsets, r.clockOffset)
		}
	}
	slices.Sort(offsets)
	median := offsets[(len(offsets)-1)/2] // of two middle values the lower one, because a timestamp in the past is safer than one in the future
	if median.Abs() <= maxClockError {
		return now
	}
	return now.Add(median)
}

// retainVoters drops reports of replicas that are no longer voters.
func (p *peers) retainVoters(voters []*wirepb.Voter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.reports, func(id uint64, _ peerReport) bool {
		return !slices.ContainsFunc(voters, func(v *wirepb.Voter) bool { return v.GetId() == id })
	})
}
