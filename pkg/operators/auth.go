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

// authenticator finds the operator of an admin token.
type authenticator struct{ operators map[string]string }

func newAuthenticator(operators map[string]string) authenticator {
	return authenticator{operators: operators}
}

// find compares with every token, so that the time tells nothing about them.
func (a authenticator) find(token string) (string, bool) {
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

// require passes requests with a known bearer token.
func (a authenticator) require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, known := a.find(token)
		if !ok || token == "" || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			err := fault.New(fault.Unauthenticated, "missing or unknown admin token")
			writeError(w, err.WithField("Authorization").WithOutcome(fault.NotRun))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey, operator)))
	})
}
