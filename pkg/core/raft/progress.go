package raft

// progressState is the way in which a leader sends entries to a follower.
type progressState int

const (
	probing      progressState = iota // one append at a time, until the logs match
	replicating                       // appends are sent without waiting for replies
	snapshotting                      // waits for the follower to install a snapshot
)

// progress is what the leader knows of the log of one node, itself included.
type progress struct {
	state         progressState
	match         uint64   // last index known to be durable at the node
	next          uint64   // next index to send
	paused        bool     // while probing: an append is not yet acknowledged
	inflight      []uint64 // last indexes of the unacknowledged appends
	active        bool     // replied since the last quorum check
	readAck       uint64   // last read round confirmed
	member        uint64   // member ID in the replies
	snapshotTicks int      // since the snapshot was requested
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

// reset discards the progress of a follower whose disk was replaced. Last is the
// last index of the leader's log.
func (p *progress) reset(last uint64) { *p = progress{next: last + 1, active: p.active} }
