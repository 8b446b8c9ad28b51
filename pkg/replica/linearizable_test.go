package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// operation is one operation on the register.
type operation struct {
	write bool
	value string
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(operation)
		if in.write {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " -> ", output) },
}

// history collects the operations of all clients.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	done  chan struct{} // receives one value for each finished operation
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	h.ops = append(h.ops, op)
	h.mu.Unlock()
}

const (
	clients          = 4
	opsPerClient     = 150
	opsPerPartition  = 25
	operationTimeout = 300 * time.Millisecond
	checkTimeout     = 60 * time.Second
	// unknownReturnTime is the return time of an operation with an unknown outcome.
	unknownReturnTime = int64(time.Hour)
)

// runClient reads and writes through random replicas. Rejected operations are not added to
// the history; they must not have run.
func (h *history) runClient(c *cluster, id int, rng *rand.Rand) {
	for i := 0; i < opsPerClient; {
		target := c.voters[rng.IntN(len(c.voters))].Id
		in := operation{write: rng.IntN(2) == 0, value: fmt.Sprintf("%d.%d", id, i)}
		if h.execute(c, id, target, in) {
			i++
			h.done <- struct{}{}
		}
	}
}

func (h *history) execute(c *cluster, id int, target uint64, in operation) bool {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	r := c.replica(target)
	op := porcupine.Operation{ClientId: id, Input: in, Call: h.now()}
	var err error
	if in.write {
		_, err = r.Propose(ctx, []byte(in.value))
	} else {
		_, err = r.ReadIndex(ctx)
		op.Output = c.machines[target].get()
	}
	op.Return = h.now()
	if err != nil && (!in.write || fault.As(err).Outcome == fault.NotRun) {
		return false
	}
	if err != nil {
		op.Return = unknownReturnTime
	}
	h.add(op)
	return true
}

// Guards against stale reads, lost writes and rejected writes that were executed, while
// replicas are disconnected in one or both directions.
func TestRegister_LinearizableUnderPartitions(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	c := newCluster(t, 3, func(o *Options) { o.SnapshotEntries = 50; o.TrailingEntries = 10 })
	c.mustPropose("")
	h := &history{start: time.Now(), done: make(chan struct{}, clients*opsPerClient)}
	var wg sync.WaitGroup
	for id := range clients {
		wg.Go(func() { h.runClient(c, id, rand.New(rand.NewPCG(seed, uint64(id)))) })
	}
	rng := rand.New(rand.NewPCG(seed, clients))
	for i := range clients * opsPerClient {
		<-h.done
		if i%opsPerPartition == 0 {
			c.partitionOne(rng)
		}
	}
	wg.Wait()
	result := porcupine.CheckOperationsTimeout(registerModel, h.ops, checkTimeout)
	assert.Equal(t, result, porcupine.Ok)
}

// partitionOne reconnects all replicas and then disconnects one, often the leader: in both
// directions, for outgoing messages only, for incoming messages only, or not at all.
func (c *cluster) partitionOne(rng *rand.Rand) {
	id := c.voters[rng.IntN(len(c.voters))].Id
	if lead := c.replica(id).Status().Leader; lead != 0 && rng.IntN(2) == 0 {
		id = lead
	}
	direction := rng.IntN(4)
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	clear(c.net.disconnected)
	for _, v := range c.voters {
		c.net.disconnected[[2]uint64{id, v.Id}] = direction == 0 || direction == 1
		c.net.disconnected[[2]uint64{v.Id, id}] = direction == 0 || direction == 2
	}
}
