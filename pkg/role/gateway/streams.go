package gateway

import (
	"sync"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// streams is the set of streams in progress.
type streams struct {
	mu  sync.Mutex
	all map[*stream]bool
}

func (l *streams) init() { l.all = make(map[*stream]bool) }

func (l *streams) add(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[s] = true
}

func (l *streams) remove(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, s)
}

func (l *streams) list() []*stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*stream, 0, len(l.all))
	for s := range l.all {
		out = append(out, s)
	}
	return out
}

// serves reports whether an instance still runs its stage of a path. An engine that
// unloads layers first completes the requests that pass through them.
func serves(in *wirepb.Instance, p path.PipelineStage) bool {
	return in != nil && in.GetAddress() == p.Address && in.GetBornUnixMs() == p.StartUnixMs && !in.GetSuspect()
}
