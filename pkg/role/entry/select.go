package entry

import (
	"math/rand/v2"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxSelections bounds the number of selections for one attempt. A selection is
// repeated if the outlier detector refuses a selected host: the host is ejected,
// and a probe request is in progress or not yet due.
const maxSelections = 4

// selectAdmittedChain selects a chain and admits the request at each of its hosts.
func (e *Entry) selectAdmittedChain(s *snapshot, requirements route.Requirements) ([]route.Stage, error) {
	if e.opts.Settings.RoundRobin {
		return e.baseline.nextChain(s, requirements)
	}
	requirements.Weight = e.hostWeights()
	requirements.EntryCount = s.entryCount
	requirements.ExcludedHosts = cloneSet(requirements.ExcludedHosts)
	rng := newRand()
	var lastErr error
	for range maxSelections {
		chain, err := s.table.SelectChain(requirements, rng)
		if err != nil {
			if lastErr == nil {
				lastErr = selectionError(err)
			}
			return nil, lastErr
		}
		refused := e.admitAll(chain)
		if refused == "" {
			return chain, nil
		}
		requirements.ExcludedHosts[refused] = true
		lastErr = unavailableError("every chain of the model crosses a failing upstream")
	}
	return nil, lastErr
}

// selectLaterStages returns a chain that starts at the given head and has newly
// selected later stages. The head holds a slot and is not admitted again.
// selectLaterStages adds refused hosts to requirements.ExcludedHosts.
func (e *Entry) selectLaterStages(head string, requirements route.Requirements) ([]route.Stage, error) {
	s := e.snapshot.Load()
	requirements.Weight = e.hostWeights()
	requirements.EntryCount = s.entryCount
	requirements.HeadHost = head
	rng := newRand()
	for range maxSelections {
		chain, err := s.table.SelectChain(requirements, rng)
		if err != nil {
			return nil, selectionError(err)
		}
		refused := e.admitAll(chain[1:])
		if refused == "" {
			return chain, nil
		}
		requirements.ExcludedHosts[refused] = true
	}
	return nil, unavailableError("every chain of the model crosses a failing upstream")
}

// admitAll admits a request at all hosts of the chain. It returns the first
// host that the outlier detector refuses, or an empty string.
func (e *Entry) admitAll(chain []route.Stage) string {
	hosts := make([]string, len(chain))
	for i, st := range chain {
		hosts[i] = st.Host
	}
	return e.outliers.AdmitAll(hosts, e.opts.Now())
}

// selectAdmittedService selects an upstream of the service and admits the
// request there.
func (e *Entry) selectAdmittedService(s *snapshot, service string, requirements route.Requirements) (*route.Upstream, error) {
	if e.opts.Settings.RoundRobin {
		return e.baseline.nextService(s, service, requirements)
	}
	requirements.Weight = e.hostWeights()
	requirements.EntryCount = s.entryCount
	requirements.ExcludedHosts = cloneSet(requirements.ExcludedHosts)
	rng := newRand()
	for range maxSelections {
		up, err := s.table.SelectService(service, requirements, rng)
		if err != nil {
			return nil, selectionError(err)
		}
		if e.outliers.Admit(up.Host, e.opts.Now()) {
			return up, nil
		}
		requirements.ExcludedHosts[up.Host] = true
	}
	return nil, unavailableError("every upstream of the service is failing")
}

// selectionError converts the error of a failed selection. The outcome is NotRun
// because no request was sent. NotFound becomes Unavailable: the catalogue lists
// the model or service, but no upstream offers it at the moment.
func selectionError(err error) *fault.Error {
	e := *fault.As(err)
	if e.Kind == fault.NotFound {
		e.Kind = fault.Unavailable
	}
	return e.WithOutcome(fault.NotRun)
}

func unavailableError(message string) *fault.Error {
	return fault.New(fault.Unavailable, "%s", message).WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
}

func (e *Entry) hostWeights() func(string) float64 {
	now := e.opts.Now()
	return func(host string) float64 { return e.outliers.Weight(host, now) }
}

// recordFailure reports an error to the outlier detector if it indicates a
// faulty host. Refusals by an overloaded or draining agent do not.
func (e *Entry) recordFailure(host string, err *fault.Error) {
	if indicatesFault(err.Kind) {
		now := e.opts.Now()
		before := e.outliers.Weight(host, now)
		e.outliers.Observe(host, false, 0, now)
		if before > 0 && e.outliers.Weight(host, now) == 0 {
			e.metrics.ejections.Inc()
			e.opts.Log.Warn("upstream is failing and ejected", logs.Str("upstream", host), logs.Err(err))
		}
	}
}

// indicatesFault reports whether an error of this kind indicates a faulty host.
func indicatesFault(kind fault.Kind) bool {
	switch kind {
	case fault.Unavailable, fault.Upstream, fault.Protocol, fault.Internal, fault.OutOfOrder:
		return true
	}
	return false
}

// canFailOver reports whether another upstream may succeed after an error of
// this kind.
func canFailOver(kind fault.Kind) bool {
	switch kind {
	case fault.Unavailable, fault.Upstream, fault.Protocol, fault.Internal, fault.OutOfOrder, fault.Overloaded,
		fault.Draining, fault.StaleConfig, fault.StaleEpoch, fault.NotFound, fault.UnknownOutcome, fault.Deadline:
		return true
	}
	return false
}

func cloneSet(set map[string]bool) map[string]bool {
	c := make(map[string]bool, len(set)+1)
	for k, v := range set {
		c[k] = v
	}
	return c
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// stageRefs converts a chain to its wire format.
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

func chainHosts(chain []route.Stage) []string {
	hosts := make([]string, 0, len(chain))
	for _, st := range chain {
		hosts = append(hosts, st.Host)
	}
	return hosts
}

// chainVersion returns the version of the model that the head of the chain
// holds, or an empty string.
func chainVersion(chain []route.Stage, model string) string {
	head := chain[0]
	for _, h := range head.Models {
		if h.Model == model && h.FirstLayer == head.FirstLayer && h.LastLayer == head.LastLayer {
			return h.Version
		}
	}
	return ""
}
