package state

import (
	"slices"
	"strings"
	"unique"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Statuses of a claim reply.
const (
	ClaimWon      = "won"
	ClaimPending  = "pending"
	ClaimAnswered = "answered"
	ClaimAbsent   = "absent"
	ClaimExpired  = "expired"
	ClaimMismatch = "mismatch"
)

const (
	digestSize            = 32
	maxKeyLength          = 256
	maxClaims             = 4 << 20
	maxTotalResponseBytes = 1 << 30
	// MaxResponseBytes limits the encoded size of a recorded response.
	MaxResponseBytes = 256 << 10
	// bucketMs is the width of a bucket in milliseconds. Expired claims are dropped
	// by whole buckets.
	bucketMs = 60_000
)

// claim reserves an idempotency key for one attempt to run its call, so that no other
// attempt runs it. The response is kept encoded, which takes less memory.
type claim struct {
	id           string // organisation, service and key, separated by NUL
	attempt      string
	host         unique.Handle[string]
	digest       [digestSize]byte
	keyCreatedMs int64 // creation time of the key in Unix milliseconds
	response     []byte
	answered     bool
	settled      bool // an operator stated that the call ran; there is no response
}

// bucket holds the claims and the released attempts whose keys were created within
// the same minute, so that they can be dropped without a search. The lists are in
// log order, which gives snapshots the same order on every replica without sorting.
type bucket struct {
	claims   []*claim
	attempts []string
}

type claimTable struct {
	claims        map[string]*claim   // by claim.id
	released      map[string]struct{} // attempts that may no longer claim a key
	buckets       map[int64]*bucket
	firstBucket   int64 // buckets below this number are dropped
	responseBytes int64
}

func newClaimTable() claimTable {
	return claimTable{
		claims:   make(map[string]*claim),
		released: make(map[string]struct{}),
		buckets:  make(map[int64]*bucket),
	}
}

// claimRef is a message that identifies a claim.
type claimRef interface {
	GetOrganisation() string
	GetService() string
	GetKey() string
	GetAttempt() string
}

func claimID(c claimRef) string {
	return c.GetOrganisation() + "\x00" + c.GetService() + "\x00" + c.GetKey()
}

func validateClaim(c *wirepb.ClaimRequest) *fault.Error {
	if len(c.GetRequestDigest()) != digestSize {
		return invalid("request_digest", "%d bytes in place of %d", len(c.GetRequestDigest()), digestSize)
	}
	if err := validateClaimNames(c); err != nil {
		return err
	}
	if len(c.GetHost()) > maxKeyLength {
		return invalid("host", "longer than %d bytes", maxKeyLength)
	}
	return nil
}

func validateClaimNames(c claimRef) *fault.Error {
	for _, f := range [...]struct{ name, value string }{
		{"organisation", c.GetOrganisation()}, {"service", c.GetService()}, {"key", c.GetKey()}, {"attempt", c.GetAttempt()},
	} {
		if f.value == "" || len(f.value) > maxKeyLength || strings.ContainsRune(f.value, 0) {
			return invalid(f.name, "not between 1 and %d bytes without NUL", maxKeyLength)
		}
	}
	return nil
}

// expired reports whether a key with this creation time can no longer be claimed,
// because it is past the horizon or too far in the future.
func (s *Store) expired(keyCreatedMs int64) bool {
	return keyCreatedMs < s.expiredBefore || keyCreatedMs > s.now+MaxKeyClockSkew.Milliseconds()
}

// claim grants the key to the attempt unless another attempt holds it.
func (s *Store) claim(c *wirepb.ClaimRequest) (*wirepb.ClaimReply, *fault.Error) {
	known, reply, err := s.lookup(c)
	if err != nil || reply != nil {
		return reply, err
	}
	if known != nil {
		if known.attempt == c.GetAttempt() && !known.answered {
			return &wirepb.ClaimReply{Status: ClaimWon, Attempt: known.attempt}, nil
		}
		return known.reply()
	}
	if _, wasReleased := s.claims.released[c.GetAttempt()]; wasReleased {
		return &wirepb.ClaimReply{Status: ClaimAbsent}, nil
	}
	if len(s.claims.claims) >= maxClaims {
		return nil, fault.New(fault.Overloaded, "%d claims are held, which is the limit", maxClaims)
	}
	s.claims.add(newClaim(c))
	return &wirepb.ClaimReply{Status: ClaimWon, Attempt: c.GetAttempt()}, nil
}

// lookup returns the claim of the key, or nil. The reply is set if the key is
// expired or was used for another request.
func (s *Store) lookup(c *wirepb.ClaimRequest) (*claim, *wirepb.ClaimReply, *fault.Error) {
	if err := validateClaim(c); err != nil {
		return nil, nil, err
	}
	if s.expired(c.GetKeyCreatedUnixMs()) {
		return nil, &wirepb.ClaimReply{Status: ClaimExpired}, nil
	}
	known := s.claims.claims[claimID(c)]
	if known != nil && !known.matches(c) {
		return nil, &wirepb.ClaimReply{Status: ClaimMismatch}, nil
	}
	return known, nil, nil
}

// resolve records the response of the attempt that holds the key. A response that
// is already recorded is not replaced.
func (s *Store) resolve(r *wirepb.ClaimResolve) (*wirepb.ClaimReply, *fault.Error) {
	known, reply, err := s.lookup(r.GetClaim())
	if err != nil || reply != nil {
		return reply, err
	}
	if known == nil {
		return &wirepb.ClaimReply{Status: ClaimAbsent}, nil
	}
	if known.attempt != r.GetClaim().GetAttempt() || known.answered {
		return known.reply()
	}
	return s.recordResponse(known, r.GetResponse())
}

func (s *Store) recordResponse(known *claim, response *wirepb.CallResponse) (*wirepb.ClaimReply, *fault.Error) {
	if response == nil {
		return nil, invalid("response", "missing")
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(response)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "encode response").WithField("response")
	}
	if len(encoded) > MaxResponseBytes {
		return nil, invalid("response", "%d bytes; the limit is %d", len(encoded), MaxResponseBytes)
	}
	if s.claims.responseBytes+int64(len(encoded)) > maxTotalResponseBytes {
		return nil, fault.New(fault.Overloaded, "recorded responses take %d bytes, which is the limit", int64(maxTotalResponseBytes))
	}
	known.response = encoded
	known.answered = true
	s.claims.responseBytes += int64(len(encoded))
	return known.reply()
}

// release removes the claim of an attempt whose call was never dispatched. Later
// claims of the attempt are refused, because its claim command may still be in
// flight.
func (s *Store) release(c *wirepb.ClaimRequest) (*wirepb.ClaimReply, *fault.Error) {
	if err := validateClaim(c); err != nil {
		return nil, err
	}
	if s.releasable(c.GetKeyCreatedUnixMs()) {
		if err := s.claims.addReleased(c.GetAttempt(), c.GetKeyCreatedUnixMs()); err != nil {
			return nil, err
		}
	}
	known, reply, err := s.lookup(c)
	if err != nil || reply != nil {
		return reply, err
	}
	if known == nil {
		return &wirepb.ClaimReply{Status: ClaimAbsent}, nil
	}
	if known.attempt != c.GetAttempt() || known.answered {
		return known.reply()
	}
	s.claims.remove(known)
	return &wirepb.ClaimReply{Status: ClaimAbsent}, nil
}

// releasable reports whether a delayed claim with this creation time could still be
// granted. The upper limit keeps keys from the far future out of the table; their
// claims would have to be delayed by a whole horizon to be granted.
func (s *Store) releasable(keyCreatedMs int64) bool {
	return keyCreatedMs >= s.expiredBefore && keyCreatedMs <= s.now+s.ClaimHorizon().Milliseconds()
}

// ReadClaim returns the status of the key without changing it. A key whose creation
// time is ahead of the log time is not reported as expired: a read carries no time,
// and the log time does not advance without commands.
func (s *Store) ReadClaim(c *wirepb.ClaimRequest) (*wirepb.ClaimReply, error) {
	if err := validateClaim(c); err != nil {
		return nil, err
	}
	known := s.claims.claims[claimID(c)]
	switch {
	case c.GetKeyCreatedUnixMs() < s.expiredBefore:
		return &wirepb.ClaimReply{Status: ClaimExpired}, nil
	case known == nil:
		return &wirepb.ClaimReply{Status: ClaimAbsent}, nil
	case !known.matches(c):
		return &wirepb.ClaimReply{Status: ClaimMismatch}, nil
	}
	reply, err := known.reply()
	if err != nil {
		return nil, err
	}
	return reply, nil
}

func newClaim(c *wirepb.ClaimRequest) *claim {
	out := &claim{
		id:           claimID(c),
		attempt:      strings.Clone(c.GetAttempt()),
		host:         unique.Make(c.GetHost()),
		keyCreatedMs: c.GetKeyCreatedUnixMs(),
	}
	copy(out.digest[:], c.GetRequestDigest())
	return out
}

// matches reports whether the claim was made for the same request. The creation
// time must match too, because it determines how long the claim is kept.
func (c *claim) matches(r *wirepb.ClaimRequest) bool {
	return c.keyCreatedMs == r.GetKeyCreatedUnixMs() && string(c.digest[:]) == string(r.GetRequestDigest())
}

func (c *claim) reply() (*wirepb.ClaimReply, *fault.Error) {
	if !c.answered {
		return &wirepb.ClaimReply{Status: ClaimPending, Attempt: c.attempt}, nil
	}
	if c.settled {
		return &wirepb.ClaimReply{Status: ClaimAnswered, Attempt: c.attempt}, nil
	}
	response := &wirepb.CallResponse{}
	if err := proto.Unmarshal(c.response, response); err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, "decode recorded response")
	}
	return &wirepb.ClaimReply{Status: ClaimAnswered, Attempt: c.attempt, Response: response}, nil
}

func (t *claimTable) add(c *claim) {
	t.claims[c.id] = c
	t.responseBytes += int64(len(c.response))
	b := t.bucketOf(c.keyCreatedMs)
	b.claims = append(b.claims, c)
}

func (t *claimTable) remove(c *claim) {
	t.deleteClaim(c)
	b := t.bucketOf(c.keyCreatedMs)
	if i := slices.Index(b.claims, c); i >= 0 {
		b.claims = slices.Delete(b.claims, i, i+1)
	}
}

func (t *claimTable) deleteClaim(c *claim) {
	t.responseBytes -= int64(len(c.response))
	delete(t.claims, c.id)
}

func (t *claimTable) addReleased(attempt string, keyCreatedMs int64) *fault.Error {
	if _, ok := t.released[attempt]; ok {
		return nil
	}
	if len(t.released) >= maxClaims {
		return fault.New(fault.Overloaded, "%d released attempts are held, which is the limit", maxClaims)
	}
	t.released[attempt] = struct{}{}
	b := t.bucketOf(keyCreatedMs)
	b.attempts = append(b.attempts, attempt)
	return nil
}

func (t *claimTable) bucketOf(keyCreatedMs int64) *bucket {
	number := keyCreatedMs / bucketMs
	b, ok := t.buckets[number]
	if !ok {
		b = &bucket{}
		t.buckets[number] = b
	}
	return b
}

// purge drops the buckets that lie entirely before the given creation time.
func (t *claimTable) purge(expiredBefore int64) {
	first := expiredBefore / bucketMs
	if first <= t.firstBucket {
		return
	}
	t.firstBucket = first
	for number, b := range t.buckets {
		if number < first {
			t.dropBucket(number, b)
		}
	}
}

func (t *claimTable) dropBucket(number int64, b *bucket) {
	for _, c := range b.claims {
		t.deleteClaim(c)
	}
	for _, attempt := range b.attempts {
		delete(t.released, attempt)
	}
	delete(t.buckets, number)
}
