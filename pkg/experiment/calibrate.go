package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

const (
	boundDuration = 8 * time.Second
	boundPrompt   = 30
	boundOutput   = 50 // mean
)

// measureBound runs as many sessions as there are slots on one chain of each
// speed of CurrentSizePlan, without the router, and prints the throughput and
// latencies.
func (o *Options) measureBound(ctx context.Context) error {
	d, err := o.Runner.launch(ctx, CurrentSizePlan(o.UrgentReserve))
	if err != nil {
		return err
	}
	defer d.Kill()
	total := 0.0
	for kind, name := range []string{"fast", "slow"} {
		const enginesPerStage, laterStage = 10, 2 // the two later stages follow the two first ones in the plan
		engines := []*local.Upstream{d.Upstreams[kind*enginesPerStage], d.Upstreams[(kind+laterStage)*enginesPerStage]}
		s, err := o.saturateChain(ctx, d, engines)
		if err != nil {
			return err
		}
		total += enginesPerStage * s.receivedRate
		fmt.Fprintf(o.Out, "%s chain: %.1f tokens/s, first token p50 %.2f ms, p95 %.2f ms, gap p50 %.2f ms, p95 %.2f ms\n", name,
			s.receivedRate, quantile(s.firstTokenTimes, 0.50), quantile(s.firstTokenTimes, 0.95), quantile(s.interTokenTimes, 0.50), quantile(s.interTokenTimes, 0.95))
	}
	fmt.Fprintf(o.Out, "all chains: %.1f tokens/s, computed %.1f tokens/s\n", total, SlotThroughputLimit(boundPrompt+1, boundOutput))
	return nil
}

// saturateChain keeps every slot of a chain busy for boundDuration and returns
// the measurements.
func (o *Options) saturateChain(ctx context.Context, d *local.Deployment, chain []*local.Upstream) (*chatSample, error) {
	client := upstreams.NewClient(upstreams.Options{})
	defer client.Close()
	s := &chatSample{}
	var mu sync.Mutex
	var failed error
	var workers sync.WaitGroup
	end := time.Now().Add(boundDuration)
	for worker := range engineSlots {
		workers.Go(func() {
			rng := rand.New(rand.NewPCG(o.Seed, uint64(worker)))
			for time.Now().Before(end) {
				count := max(1, int(rng.ExpFloat64()*boundOutput+0.5))
				prompt := make([]uint32, boundPrompt+1)
				for i := range prompt {
					prompt[i] = rng.Uint32()
				}
				times, err := directChain(ctx, client, d, chain, fmt.Sprintf("bound-%d-%d", worker, rng.Uint64()), 1, prompt, count)
				mu.Lock()
				s.addAnswer(times)
				if err != nil {
					failed = err
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	start := time.Now()
	workers.Wait()
	s.receivedRate /= time.Since(start).Seconds()
	return s, failed
}

// addAnswer adds an answer whose token times are relative to its start.
func (s *chatSample) addAnswer(times []time.Duration) {
	s.receivedRate += float64(len(times))
	if len(times) == 0 {
		return
	}
	s.firstTokenTimes = append(s.firstTokenTimes, times[0])
	for i := 1; i < len(times); i++ {
		s.interTokenTimes = append(s.interTokenTimes, times[i]-times[i-1])
	}
}
