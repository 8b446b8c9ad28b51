package callers

import (
	"net/http"
	"time"

	"github.com/google/uuid"
)

const (
	maxKeyBytes  = 255
	uuidVersion7 = 7
)

// idempotencyKey identifies a call that must run at most once.
type idempotencyKey struct {
	Key       string
	CreatedMs int64 // Unix time in milliseconds
}

// parseIdempotencyKey returns the idempotency key of a request and its creation
// time. The age of the key is not checked here but by the control replicas, whose
// replicated time is the same for all entry processes.
func parseIdempotencyKey(h http.Header) (idempotencyKey, error) {
	k := idempotencyKey{Key: h.Get(headerIdempotencyKey)}
	if k.Key == "" {
		return k, invalidField(headerIdempotencyKey, "this method of the service needs the header %s", headerIdempotencyKey)
	}
	if len(h.Values(headerIdempotencyKey)) > 1 || len(k.Key) > maxKeyBytes || !isPrintableASCII(k.Key) {
		return k, invalidField(headerIdempotencyKey, "%s must be one value of at most %d printable ASCII characters", headerIdempotencyKey, maxKeyBytes)
	}
	if text := h.Get(headerIdempotencyKeyCreated); text != "" {
		created, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return k, invalidField(headerIdempotencyKeyCreated, "%s is not an RFC 3339 time", headerIdempotencyKeyCreated)
		}
		k.CreatedMs = created.UnixMilli()
		return k, nil
	}
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != uuidVersion7 || len(k.Key) != len(uuid.Nil.String()) {
		return k, invalidField(headerIdempotencyKeyCreated, "a key that is not a UUIDv7 needs the header %s", headerIdempotencyKeyCreated)
	}
	sec, nsec := id.Time().UnixTime()
	k.CreatedMs = time.Unix(sec, nsec).UnixMilli()
	return k, nil
}

func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
