package operators

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// authenticator maps the SHA-256 of an admin token to the operator's name.
type authenticator struct{ operators map[string]string }

func newAuthenticator(operators map[string]string) authenticator {
	return authenticator{operators: operators}
}

// operatorOf returns the operator of a token. It compares the digest with every
// known one in constant time, so that the response time reveals nothing about
// the known tokens.
func (a authenticator) operatorOf(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	name, found := "", false
	for known, operator := range a.operators {
		if subtle.ConstantTimeCompare([]byte(known), digest) == 1 {
			name, found = operator, true
		}
	}
	return name, found
}

// requireToken rejects requests without a known bearer token and puts the
// operator's name in the context of the others.
func (a authenticator) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, known := a.operatorOf(token)
		if !ok || token == "" || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			err := fault.New(fault.Unauthenticated, "missing or unknown admin token")
			writeError(w, err.WithField("Authorization").WithOutcome(fault.NotRun))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey, operator)))
	})
}
