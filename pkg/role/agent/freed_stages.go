package agent

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// freedStagesTTL is the time for which the slots of a preempted chain are
	// most likely still free.
	freedStagesTTL = 20 * time.Millisecond
	maxFreedChains = 16
)

// freedStageList holds the later stages of chains that were preempted on this
// agent. A preemption frees the slots of all stages of the chain. The request
// that gets the slot of the head can use those of the later stages and need not
// preempt another chain.
type freedStageList struct {
	now func() time.Time

	mu     sync.Mutex
	chains []freedChain
}

type freedChain struct {
	hosts   []string
	freedAt time.Time
}

// put adds the later stages of a chain. It drops the oldest chain when the list
// is full.
func (f *freedStageList) put(stages []*wirepb.StageRef) {
	if len(stages) == 0 {
		return
	}
	hosts := make([]string, len(stages))
	for i, s := range stages {
		hosts[i] = s.Host
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.chains) == maxFreedChains {
		f.chains = f.chains[1:]
	}
	f.chains = append(f.chains, freedChain{hosts: hosts, freedAt: f.now()})
}

// take removes the newest chain and returns its hosts, or nil if no chain is
// recent enough.
func (f *freedStageList) take() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.chains) == 0 {
		return nil
	}
	last := f.chains[len(f.chains)-1]
	f.chains = f.chains[:len(f.chains)-1]
	if f.now().Sub(last.freedAt) > freedStagesTTL {
		f.chains = f.chains[:0]
		return nil
	}
	return last.hosts
}
