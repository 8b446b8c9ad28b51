package raft

// progressState tells how a leader sends entries to a follower.
type progressState int

const (
	probing      progressState = iota // one append at a time until the logs match
	replicating                       // appends are sent without waiting for answers
	snapshotting                      // waits for the follower to install a snapshot
)

// progress is the leader's view of one follower.
type progress struct {
	state    progressState
	match    uint64 // last index known to be durable at the follower
	next     uint64 // next index to send
	paused   bool   // an append is unanswered while probing
	inflight []uint64
	active   bool   // answered since the last quorum check
	readAck  uint64 // newest read round answered
	member   uint64 // disk that sent the answers
	waited   int    // ticks since the snapshot was requested
}

func (p *progress) probe() {
	p.state = probing
	p.next = max(p.next, p.match+1)
	p.paused = false
	p.inflight = nil
}

func (p *progress) replicate() {
	p.state = replicating
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
}

func (p *progress) blocked(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.paused
	case replicating:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

func (p *progress) sent(last uint64, count int) {
	switch {
	case p.state == probing:
		p.paused = true
	case count > 0:
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// acknowledge records that the follower holds the log up to index and reports
// whether its match index rose.
func (p *progress) acknowledge(index uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

// reset forgets a follower whose disk changed.
func (p *progress) reset(last uint64) { *p = progress{next: last + 1, active: p.active} }
