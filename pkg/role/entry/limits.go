package entry

import (
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// overloadRetryAfter is the Retry-After delay when too many requests are in
	// progress.
	overloadRetryAfter = time.Second
	// burstDuration is the time in which the full rate refills an empty token
	// bucket: the bucket holds rate*burstDuration tokens.
	burstDuration = time.Second
)

// organisationLimiter enforces the limits of each organisation at this entry.
type organisationLimiter struct {
	mu             sync.Mutex
	byOrganisation map[string]*usage
}

// usage is the usage of one organisation at this entry: its requests in
// progress and a token bucket. The balance of the bucket may become negative,
// because tokens are charged as they are generated; new requests are refused
// until it is positive again.
type usage struct {
	mu           sync.Mutex
	concurrent   int
	rate         float64 // tokens per second; zero means no limit
	tokenBalance float64
	refilledAt   time.Time
}

func newOrganisationLimiter() *organisationLimiter {
	return &organisationLimiter{byOrganisation: make(map[string]*usage)}
}

func (l *organisationLimiter) usage(organisation string) *usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.byOrganisation[organisation]
	if u == nil {
		u = &usage{}
		l.byOrganisation[organisation] = u
	}
	return u
}

// acquire admits a request and charges the given number of tokens. The limits
// of the organisation are divided by the number of live entries, but each entry
// admits at least one request at a time. The caller must release the returned
// usage.
func (l *organisationLimiter) acquire(org *wirepb.Entry, entries, tokens int, now time.Time) (*usage, error) {
	u := l.usage(org.GetName())
	u.mu.Lock()
	defer u.mu.Unlock()
	limits := org.GetLimits()
	entries = max(1, entries)
	if n := int(limits.GetConcurrentRequests()); n > 0 && u.concurrent >= max(1, n/entries) {
		return nil, rateLimited("concurrent_requests", "too many requests of the organisation are in progress", overloadRetryAfter)
	}
	u.refill(float64(limits.GetTokensPerSecond())/float64(entries), now)
	if u.rate > 0 && u.tokenBalance <= 0 {
		wait := time.Duration(-u.tokenBalance/u.rate*float64(time.Second)) + time.Millisecond
		return nil, rateLimited("tokens_per_second", "token rate of the organisation is used up", wait)
	}
	u.concurrent++
	u.tokenBalance -= float64(tokens)
	return u, nil
}

func rateLimited(field, message string, retryAfter time.Duration) *fault.Error {
	return fault.New(fault.RateLimited, "%s", message).
		WithField(field).
		WithOutcome(fault.NotRun).
		WithRetryAfter(retryAfter)
}

// refill adds the tokens for the time since the last call. A change of the rate
// keeps a negative balance.
func (u *usage) refill(rate float64, now time.Time) {
	burst := rate * burstDuration.Seconds()
	if u.rate == 0 {
		u.tokenBalance = burst
	}
	u.rate = rate
	if dt := now.Sub(u.refilledAt); dt > 0 {
		u.tokenBalance = min(burst, u.tokenBalance+dt.Seconds()*rate)
		u.refilledAt = now
	}
}

// charge subtracts generated tokens from the balance.
func (u *usage) charge(tokens int) {
	u.mu.Lock()
	u.tokenBalance -= float64(tokens)
	u.mu.Unlock()
}

// inProgress returns the number of requests in progress at this entry.
func (u *usage) inProgress() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.concurrent
}

// release marks a request as ended.
func (u *usage) release() {
	u.mu.Lock()
	u.concurrent--
	u.mu.Unlock()
}
