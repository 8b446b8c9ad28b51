package load

import (
	"context"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/delay"
)

// Execute runs a scenario and returns its report after all requests have ended.
// It stops sending requests when ctx is done.
func Execute(ctx context.Context, s *Scenario) *Report {
	c := newClient(&s.Run, time.Now())
	defer c.http.CloseIdleConnections()
	report := newReport(s)
	slots := make(chan struct{}, s.Run.MaxInFlight)
	var wg sync.WaitGroup
	arrivals := newSchedule(s)
	number := 0
	for a := arrivals.next(); a != nil; a = arrivals.next() {
		if !sleepUntil(ctx, c.start.Add(a.ScheduledAt)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			report.add(&Result{Arrival: a, Outcome: NotSent, EndedAt: a.ScheduledAt})
			continue
		}
		number++
		sendNumber := number
		wg.Go(func() {
			defer func() { <-slots }()
			result := c.perform(ctx, a, sendNumber)
			report.add(result)
			if s.OnResult != nil {
				s.OnResult(result)
			}
		})
	}
	wg.Wait()
	return report
}

// sleepUntil waits until the given time. It returns false if ctx is done.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return delay.Wait(ctx, wait)
}
