package entry

import (
	"math/rand/v2"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxChoices bounds how often a chain is chosen again because a host on it is
// ejected and its probe is on its way.
const maxChoices = 4

// chooseChain chooses a chain whose hosts all admit work.
func (e *Entry) chooseChain(s *snapshot, need route.Requirements) ([]route.Stage, error) {
	if e.opts.Settings.RoundRobin {
		return e.baseline.chain(s, need)
	}
	need.Weight = e.weight()
	need.EntryCount = s.view.LiveEntries
	need.ExcludedHosts = copyOf(need.ExcludedHosts)
	rng := newRand()
	var last error
	for range maxChoices {
		chain, err := s.table.SelectChain(need, rng)
		if err != nil {
			if last == nil {
				last = notPlaced(err)
			}
			return nil, last
		}
		refused := e.admitAll(chain)
		if refused == "" {
			return chain, nil
		}
		need.ExcludedHosts[refused] = true
		last = unavailable("every chain of the model crosses a failing upstream")
	}
	return nil, last
}

// chooseAfter chooses the stages after a head that holds a slot. The head has
// admitted the work already.
func (e *Entry) chooseAfter(head string, need route.Requirements) ([]route.Stage, error) {
	s := e.snapshot.Load()
	need.Weight = e.weight()
	need.EntryCount = s.view.LiveEntries
	need.HeadHost = head
	rng := newRand()
	for range maxChoices {
		chain, err := s.table.SelectChain(need, rng)
		if err != nil {
			return nil, notPlaced(err)
		}
		refused := e.admitAll(chain[1:])
		if refused == "" {
			return chain, nil
		}
		need.ExcludedHosts[refused] = true
	}
	return nil, unavailable("every chain of the model crosses a failing upstream")
}

// admitAll returns the first host that does not admit work.
func (e *Entry) admitAll(chain []route.Stage) string {
	hosts := make([]string, len(chain))
	for i, st := range chain {
		hosts[i] = st.Host
	}
	return e.tracker.AdmitAll(hosts, e.opts.Now())
}

// chooseService chooses an upstream that admits work.
func (e *Entry) chooseService(s *snapshot, service string, need route.Requirements) (*route.Upstream, error) {
	if e.opts.Settings.RoundRobin {
		return e.baseline.service(s, service, need)
	}
	need.Weight = e.weight()
	need.EntryCount = s.view.LiveEntries
	need.ExcludedHosts = copyOf(need.ExcludedHosts)
	rng := newRand()
	for range maxChoices {
		up, err := s.table.SelectService(service, need, rng)
		if err != nil {
			return nil, notPlaced(err)
		}
		if e.tracker.Admit(up.Host, e.opts.Now()) {
			return up, nil
		}
		need.ExcludedHosts[up.Host] = true
	}
	return nil, unavailable("every upstream of the service is failing")
}

// notPlaced converts a failed choice. Nothing was sent, and the catalogue has
// the model or service even if no upstream offers it at the moment.
func notPlaced(err error) *fault.Error {
	e := *fault.As(err)
	if e.Kind == fault.NotFound {
		e.Kind = fault.Unavailable
	}
	return e.WithOutcome(fault.NotRun)
}

func unavailable(message string) *fault.Error {
	return fault.New(fault.Unavailable, "%s", message).WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
}

func (e *Entry) weight() func(string) float64 {
	now := e.opts.Now()
	return func(host string) float64 { return e.tracker.Weight(host, now) }
}

// observe tells the tracker about a failure that is the host's own. Refusals
// of a loaded or leaving agent say nothing about its health.
func (e *Entry) observe(host string, err *fault.Error) {
	switch err.Kind {
	case fault.Unavailable, fault.Upstream, fault.Protocol, fault.Internal, fault.OutOfOrder:
		now := e.opts.Now()
		before := e.tracker.Weight(host, now)
		e.tracker.Observe(host, false, 0, now)
		if before > 0 && e.tracker.Weight(host, now) == 0 {
			e.metrics.ejections.Inc()
			e.opts.Log.Warn("upstream fails and is ejected", logs.Str("upstream", host), logs.Err(err))
		}
	}
}

// mayMove reports whether another upstream may succeed where one failed.
func mayMove(kind fault.Kind) bool {
	switch kind {
	case fault.Unavailable, fault.Upstream, fault.Protocol, fault.Internal, fault.OutOfOrder, fault.Overloaded,
		fault.Draining, fault.StaleConfig, fault.StaleEpoch, fault.NotFound, fault.Unknown, fault.Deadline:
		return true
	}
	return false
}

func copyOf(set map[string]bool) map[string]bool {
	c := make(map[string]bool, len(set)+1)
	for k, v := range set {
		c[k] = v
	}
	return c
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// stageRefs converts a chain for a message.
func stageRefs(chain []route.Stage) []*wirepb.StageRef {
	refs := make([]*wirepb.StageRef, 0, len(chain))
	for _, st := range chain {
		refs = append(refs, &wirepb.StageRef{
			Host:        st.Host,
			Address:     st.Address,
			Incarnation: st.Incarnation,
			FirstLayer:  uint32(st.FirstLayer),
			LastLayer:   uint32(st.LastLayer),
		})
	}
	return refs
}

func hostsOf(chain []route.Stage) []string {
	hosts := make([]string, 0, len(chain))
	for _, st := range chain {
		hosts = append(hosts, st.Host)
	}
	return hosts
}

// versionOf returns the version of a model that a chain runs.
func versionOf(chain []route.Stage, model string) string {
	head := chain[0]
	for _, h := range head.Models {
		if h.Model == model && h.FirstLayer == head.FirstLayer && h.LastLayer == head.LastLayer {
			return h.Version
		}
	}
	return ""
}
