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

// access is one operation on the register.
type access struct {
	write bool
	value string
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(access)
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
	done  chan struct{} // one value for each finished operation
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	h.ops = append(h.ops, op)
	h.mu.Unlock()
}

const (
	clients         = 4
	opsPerClient    = 150
	opsPerCut       = 25
	accessTimeout   = 300 * time.Millisecond
	checkerDeadline = 60 * time.Second
	// forever is the return time of an operation whose outcome is unknown.
	forever = int64(time.Hour)
)

// client reads and writes through random replicas. Refused operations leave no
// trace in the history; they must not have run.
func (h *history) client(c *cluster, id int, rng *rand.Rand) {
	for i := 0; i < opsPerClient; {
		target := c.voters[rng.IntN(len(c.voters))].Id
		in := access{write: rng.IntN(2) == 0, value: fmt.Sprintf("%d.%d", id, i)}
		if h.access(c, id, target, in) {
			i++
			h.done <- struct{}{}
		}
	}
}

func (h *history) access(c *cluster, id int, target uint64, in access) bool {
	ctx, cancel := context.WithTimeout(context.Background(), accessTimeout)
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
		op.Return = forever
	}
	h.add(op)
	return true
}

// Guards against stale reads, lost writes and refused writes that ran, while
// replicas are cut off in one or both directions.
func TestLinearizableUnderCuts(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	c := newCluster(t, 3, func(o *Options) { o.SnapshotEntries = 50; o.TrailingEntries = 10 })
	c.mustPropose("")
	h := &history{start: time.Now(), done: make(chan struct{}, clients*opsPerClient)}
	var wg sync.WaitGroup
	for id := range clients {
		wg.Go(func() { h.client(c, id, rand.New(rand.NewPCG(seed, uint64(id)))) })
	}
	rng := rand.New(rand.NewPCG(seed, clients))
	for i := range clients * opsPerClient {
		<-h.done
		if i%opsPerCut == 0 {
			c.cutOne(rng)
		}
	}
	wg.Wait()
	result := porcupine.CheckOperationsTimeout(registerModel, h.ops, checkerDeadline)
	assert.Equal(t, result, porcupine.Ok)
}

// cutOne heals the network and then cuts one replica, often the leader, off:
// both ways, only from it, or only towards it.
func (c *cluster) cutOne(rng *rand.Rand) {
	id := c.voters[rng.IntN(len(c.voters))].Id
	if lead := c.replica(id).Status().Leader; lead != 0 && rng.IntN(2) == 0 {
		id = lead
	}
	way := rng.IntN(4)
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	clear(c.net.cut)
	for _, v := range c.voters {
		c.net.cut[[2]uint64{id, v.Id}] = way == 0 || way == 1
		c.net.cut[[2]uint64{v.Id, id}] = way == 0 || way == 2
	}
}
