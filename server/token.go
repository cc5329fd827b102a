package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// TokenHash is the hash of a token, for comparison in constant time.
type TokenHash [sha256.Size]byte

// HashToken returns the hash of a token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// Matches reports whether a request has the token as its bearer token.
func (ha TokenHash) Matches(req *http.Request) bool {
	token, found := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	got := HashToken(token)
	return found && subtle.ConstantTimeCompare(got[:], ha[:]) == 1
}

// RequireToken returns a handler that passes requests with the token to next and refuses
// others with 401.
func RequireToken(token string, next http.Handler) http.Handler {
	want := HashToken(token)
	return http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		if !want.Matches(req) {
			http.Error(out, "unauthorized", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(out, req)
	})
}
