package callers

import (
	"net/http"
	"time"

	"github.com/google/uuid"
)

const (
	maxKeyLength = 255
	uuidVersion7 = 7
)

// idempotencyKey names a call that must run at most once.
type idempotencyKey struct {
	Key       string
	CreatedMs int64 // Unix time in milliseconds
}

// parseKey reads the key of a request. Its age is judged by control, whose
// replicas agree on the time.
func parseKey(h http.Header) (idempotencyKey, error) {
	k := idempotencyKey{Key: h.Get(headerKey)}
	if k.Key == "" {
		return k, refuse(headerKey, "this method of the service needs the header %s", headerKey)
	}
	if len(h.Values(headerKey)) > 1 || len(k.Key) > maxKeyLength || !printable(k.Key) {
		return k, refuse(headerKey, "%s must be one value of at most %d printable ASCII characters", headerKey, maxKeyLength)
	}
	if text := h.Get(headerKeyCreated); text != "" {
		created, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return k, refuse(headerKeyCreated, "%s is not an RFC 3339 time", headerKeyCreated)
		}
		k.CreatedMs = created.UnixMilli()
		return k, nil
	}
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != uuidVersion7 || len(k.Key) != len(uuid.Nil.String()) {
		return k, refuse(headerKeyCreated, "a key that is not a UUIDv7 needs the header %s", headerKeyCreated)
	}
	sec, nsec := id.Time().UnixTime()
	k.CreatedMs = time.Unix(sec, nsec).UnixMilli()
	return k, nil
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
