package sched

type itemState uint8

const (
	stateQueued itemState = iota
	stateRunning
	stateExpired
)

// item is one queued or running request.
type item struct {
	req           Request
	flow          *flow
	prev, next    *item // neighbours in the queue of the flow
	deadlineIndex int
	charged       int               // tokens charged to the flow and the rank
	used          int               // tokens reported by Charge
	earned        [NumRanks]float64 // credit that each rank earned on charged
	state         itemState
	entitled      bool // started on the minimum share of its rank

	activeIndex  int // among the running requests
	preempted    bool
	promisedRank Rank  // receives the slot of a preempted request
	promisedFlow *flow // of the same rank, if the slot moves within it
}

func earlierDeadline(a, b *item) bool { return a.req.Deadline.Before(b.req.Deadline) }

func placeDeadline(it *item, index int) { it.deadlineIndex = index }

// flow is the queue of one organisation in one rank.
type flow struct {
	organisation string
	weight       float64
	// virtual is the start tag of the next request: tokens charged, divided
	// by the weight.
	virtual      float64
	head, tail   *item
	queued       int
	queuedTokens int64
	running      int
	leaving      int // running requests that were preempted
	inProgress   int // over all upstreams, by the newest request
	promised     int // slots of preempted requests that go to this flow
	index        int // in the heap of backlogged or of idle flows
	idle         bool
}

func lowerVirtual(a, b *flow) bool { return a.virtual < b.virtual }

func placeFlow(f *flow, index int) { f.index = index }

// rankQueue is the fair queue of one rank.
type rankQueue struct {
	share float64
	// credit is the entitlement of the rank to tokens: its share of all
	// served tokens less the tokens it received on its minimum share.
	credit       float64
	virtual      float64 // start tag of the last started request
	flows        map[string]*flow
	backlogged   heap[*flow]
	idle         heap[*flow] // flows without queued requests, kept while ahead of virtual
	queued       int
	queuedBytes  int64
	queuedTokens int64
	weights      float64 // of backlogged flows
	due          []*flow // flows whose promised slots have been freed
	running      int
}

func (q *rankQueue) init(share float64) {
	q.share = share
	q.flows = make(map[string]*flow)
	q.backlogged = heap[*flow]{less: lowerVirtual, place: placeFlow}
	q.idle = heap[*flow]{less: lowerVirtual, place: placeFlow}
}

// push adds it to the queue of its organisation: at the front if it was
// preempted, so that it does not wait twice, and at the end otherwise. A flow
// that was idle starts at the current virtual time, so idle time earns no
// credit.
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
		f = &flow{organisation: organisation, virtual: q.virtual, index: -1}
		q.flows[organisation] = f
	}
	return f
}

func (q *rankQueue) activate(f *flow) {
	if f.idle {
		q.idle.remove(f.index)
		f.idle = false
	}
	f.virtual = max(f.virtual, q.virtual)
	q.weights += f.weight
	q.backlogged.push(f)
}

// pop removes the first request of a flow that was promised the slot or, without
// one, of the flow with the lowest start tag.
func (q *rankQueue) pop() *item {
	f := q.popDue()
	if f == nil {
		f = q.backlogged.top()
		q.virtual = max(q.virtual, f.virtual)
	}
	it := f.head
	f.running++
	q.remove(it)
	q.dropIdle()
	return it
}

// popDue returns the next flow whose promised slot was freed, or nil.
func (q *rankQueue) popDue() *flow {
	for len(q.due) > 0 {
		f := q.due[0]
		q.due = q.due[1:]
		if f.queued > 0 {
			return f
		}
	}
	return nil
}

// remove takes a queued item out of its flow.
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
		q.weights = 0 // drops the rounding errors of the sum
	}
	f.idle = true
	q.idle.push(f)
}

// finished drops the state of flows that no longer need it. The end of a busy
// period clears all of it, including what organisations are ahead.
func (q *rankQueue) finished(it *item) {
	it.flow.running--
	q.running--
	if q.running == 0 && q.queued == 0 {
		q.due = nil
		clear(q.flows)
		clear(q.idle.items)
		q.idle.items = q.idle.items[:0]
		return
	}
	q.dropIdle()
}

// advance moves the start tag of the flow by tokens, which may be negative.
func (q *rankQueue) advance(f *flow, tokens int) {
	f.virtual += float64(tokens) / f.weight
	if f.idle {
		q.idle.fix(f.index)
	} else {
		q.backlogged.fix(f.index)
	}
}

// dropIdle forgets idle flows that are not ahead of the virtual time: a new
// flow would start with the same tag.
func (q *rankQueue) dropIdle() {
	for q.idle.len() > 0 {
		f := q.idle.top()
		if f.running > 0 || f.promised > 0 || f.virtual > q.virtual {
			return
		}
		q.idle.remove(f.index)
		delete(q.flows, f.organisation)
	}
}
