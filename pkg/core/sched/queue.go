package sched

type itemState uint8

const (
	stateQueued itemState = iota
	stateRunning
	stateExpired
)

// item is one queued or running request.
type item struct {
	req             Request
	flow            *flow
	prev, next      *item // linked list of the flow's queue; next also links recycled items
	deadlineIndex   int
	charged         int               // tokens charged to the flow and the rank
	used            int               // tokens reported by ReportUsage
	earnedCredit    [NumRanks]float64 // credit that each rank earned on the charged tokens
	state           itemState
	chargedToCredit bool // the rank had credit at the start, so its tokens reduce the credit

	activeIndex  int // in Scheduler.active
	preempted    bool
	promisedRank Rank  // receives the slot if the request was preempted
	promisedFlow *flow // receives the slot if it stays in the same rank; otherwise nil
}

func earlierDeadline(a, b *item) bool { return a.req.Deadline.Before(b.req.Deadline) }

func setDeadlineIndex(it *item, index int) { it.deadlineIndex = index }

// flow is the queue of one organisation in one rank.
type flow struct {
	organisation string
	weight       float64
	// virtualTime is the start tag of the next request in start-time fair queueing:
	// the charged tokens divided by the weight.
	virtualTime      float64
	head, tail       *item
	queued           int
	queuedTokens     int64
	running          int
	preemptedRunning int // preempted requests that still hold a slot
	inProgress       int // over all upstreams, as given by the latest request; zero if unknown
	promised         int // slots of preempted requests promised to this flow
	index            int // in the heap of backlogged or idle flows
	idle             bool
}

func lowerStartTag(a, b *flow) bool { return a.virtualTime < b.virtualTime }

func setFlowIndex(f *flow, index int) { f.index = index }

// rankQueue is the fair queue of one rank.
type rankQueue struct {
	minShare float64
	// credit is the number of tokens due to the rank: its minimum share of all
	// served tokens less the tokens it received on that share.
	credit         float64
	virtualTime    float64 // start tag of the last started request
	flows          map[string]*flow
	backlogged     heap[*flow]
	idle           heap[*flow] // flows without queued requests, kept while ahead of virtualTime
	queued         int
	queuedBytes    int64
	queuedTokens   int64
	weights        float64 // of backlogged flows
	unclaimedFlows []*flow // flows whose promised slots are free and not taken
	running        int
}

func (q *rankQueue) init(minShare float64) {
	q.minShare = minShare
	q.flows = make(map[string]*flow)
	q.backlogged = heap[*flow]{less: lowerStartTag, setIndex: setFlowIndex}
	q.idle = heap[*flow]{less: lowerStartTag, setIndex: setFlowIndex}
}

// push adds the item to the queue of its organisation: at the front if it was
// preempted, so that it does not wait twice, and at the end otherwise. The start tag
// of a flow that was idle is raised to the current virtual time, so that idle time
// gives no advantage.
func (q *rankQueue) push(it *item) {
	f := q.flow(it.req.Organisation)
	it.flow = f
	if it.req.Preemptions > 0 {
		f.prepend(it)
	} else {
		f.append(it)
	}
	f.queued++
	f.queuedTokens += int64(it.req.Cost)
	q.queued++
	q.queuedBytes += it.req.Bytes
	q.queuedTokens += int64(it.req.Cost)
	if f.queued == 1 {
		q.activate(f)
	}
	f.inProgress = it.req.OrganisationInProgress
	q.weights += it.req.Weight - f.weight
	f.weight = it.req.Weight
}

func (f *flow) append(it *item) {
	it.prev = f.tail
	if f.tail == nil {
		f.head = it
	} else {
		f.tail.next = it
	}
	f.tail = it
}

func (f *flow) prepend(it *item) {
	it.next = f.head
	if f.head == nil {
		f.tail = it
	} else {
		f.head.prev = it
	}
	f.head = it
}

func (q *rankQueue) flow(organisation string) *flow {
	f := q.flows[organisation]
	if f == nil {
		f = &flow{organisation: organisation, virtualTime: q.virtualTime, index: -1}
		q.flows[organisation] = f
	}
	return f
}

func (q *rankQueue) activate(f *flow) {
	if f.idle {
		q.idle.remove(f.index)
		f.idle = false
	}
	f.virtualTime = max(f.virtualTime, q.virtualTime)
	q.weights += f.weight
	q.backlogged.push(f)
}

// pop removes and returns the first request of a flow that was promised a free slot
// or, if there is none, of the flow with the lowest start tag.
func (q *rankQueue) pop() *item {
	f := q.popUnclaimed()
	if f == nil {
		f = q.backlogged.top()
		q.virtualTime = max(q.virtualTime, f.virtualTime)
	}
	it := f.head
	f.running++
	q.remove(it)
	q.dropIdle()
	return it
}

// popUnclaimed removes and returns the next flow whose promised slot is free and
// that has queued requests, or nil.
func (q *rankQueue) popUnclaimed() *flow {
	for len(q.unclaimedFlows) > 0 {
		f := q.unclaimedFlows[0]
		q.unclaimedFlows = q.unclaimedFlows[1:]
		if f.queued > 0 {
			return f
		}
	}
	return nil
}

// remove removes a queued item from its flow.
func (q *rankQueue) remove(it *item) {
	f := it.flow
	if it.prev == nil {
		f.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
	f.queued--
	f.queuedTokens -= int64(it.req.Cost)
	q.queued--
	q.queuedBytes -= it.req.Bytes
	q.queuedTokens -= int64(it.req.Cost)
	if f.queued == 0 {
		q.deactivate(f)
	}
}

func (q *rankQueue) deactivate(f *flow) {
	q.backlogged.remove(f.index)
	q.weights -= f.weight
	if q.backlogged.len() == 0 {
		q.weights = 0 // discards accumulated rounding errors
	}
	f.idle = true
	q.idle.push(f)
}

// recordFinished updates the counts for a finished request and deletes flows that
// are no longer needed. The end of a busy period deletes all flows, including the
// start tags of organisations that are ahead of the virtual time.
func (q *rankQueue) recordFinished(it *item) {
	it.flow.running--
	q.running--
	if q.running == 0 && q.queued == 0 {
		q.unclaimedFlows = nil
		clear(q.flows)
		clear(q.idle.items)
		q.idle.items = q.idle.items[:0]
		return
	}
	q.dropIdle()
}

// advanceStartTag advances the start tag of f by tokens, which may be negative.
func (q *rankQueue) advanceStartTag(f *flow, tokens int) {
	f.virtualTime += float64(tokens) / f.weight
	if f.idle {
		q.idle.fix(f.index)
	} else {
		q.backlogged.fix(f.index)
	}
}

// dropIdle deletes idle flows that are not ahead of the virtual time. A new flow
// would start with the same tag.
func (q *rankQueue) dropIdle() {
	for q.idle.len() > 0 {
		f := q.idle.top()
		if f.running > 0 || f.promised > 0 || f.virtualTime > q.virtualTime {
			return
		}
		q.idle.remove(f.index)
		delete(q.flows, f.organisation)
	}
}
