// Package locality decides whether a request leaves the data centre of its gateway. It
// answers uneven load: a data centre whose upstreams are too few for its own callers sends
// away the share that is served faster elsewhere. It has no side effects.
package locality

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRatio is the ratio of the local to the remote time from which requests leave. Below
	// it, the gain does not pay for the traffic between data centres.
	minRatio = 1.25
	// fullRatio is the ratio from which all requests leave.
	fullRatio = 2.0
)

// Candidate is the best choice for a request in one data centre.
type Candidate struct {
	DataCentre  string
	Time        time.Duration // estimated time of the request, with the delay of the link
	HasCapacity bool
}

// Share returns the share of the requests, 0 to 1, that leave the data centre of their
// gateway. It grows with the ratio of the times in place of changing from 0 to 1: all
// gateways of a data centre have the same load reports, which are some hundred milliseconds
// old, and would otherwise leave and return together.
func Share(local, remote time.Duration) float64 {
	if remote <= 0 {
		return 0
	}
	ratio := float64(local) / float64(remote)
	return min(1, max(0, (ratio-minRatio)/(fullRatio-minRatio)))
}

// Select returns the index of the data centre that serves a request, -1 if there is no
// candidate. home is the data centre of the gateway. draw is uniform in [0, 1) and stays the
// same for a request, so that a request that waits is not decided anew each time.
//
// Candidates with capacity take precedence over those without, and home over all others
// except for the share that Share returns. Requests that leave are spread over the fastest
// data centre and those of similar speed, in inverse proportion to their times. Without a
// home the fastest data centre serves all requests.
func Select(home string, candidates []Candidate, draw float64) int {
	local, fastest := -1, -1
	var remote []int
	for i, c := range candidates {
		switch {
		case !c.HasCapacity:
		case c.DataCentre == home && home != "":
			local = i
		default:
			remote = append(remote, i)
			if fastest < 0 || c.Time < candidates[fastest].Time {
				fastest = i
			}
		}
	}
	switch {
	case fastest < 0 && local < 0:
		return fastestOf(candidates)
	case home == "":
		return fastest
	}
	share := 1.0
	switch {
	case fastest < 0:
		share = 0
	case local >= 0:
		share = Share(candidates[local].Time, candidates[fastest].Time)
	}
	if draw >= share {
		return local
	}
	remote = slices.DeleteFunc(remote, func(i int) bool {
		t := candidates[i].Time
		return local >= 0 && Share(candidates[local].Time, t) == 0 || float64(t) > minRatio*float64(candidates[fastest].Time)
	})
	return spread(candidates, remote, draw/share)
}

func fastestOf(candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	fastest := slices.MinFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Time, b.Time) })
	return slices.Index(candidates, fastest)
}

// spread selects one of the candidates in inverse proportion to their times.
func spread(candidates []Candidate, indices []int, draw float64) int {
	weight := func(i int) float64 { return 1 / float64(max(1, candidates[i].Time)) }
	total := 0.0
	for _, i := range indices {
		total += weight(i)
	}
	rest := draw * total
	for _, i := range indices {
		if rest -= weight(i); rest < 0 {
			return i
		}
	}
	return indices[len(indices)-1]
}
