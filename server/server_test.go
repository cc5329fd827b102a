package server_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/server"
)

func TestRequireToken(t *testing.T) {
	handler := server.RequireToken("secret", http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) }))
	for header, status := range map[string]int{
		"Bearer secret": http.StatusOK, "Bearer secret2": http.StatusUnauthorized, "Bearer ": http.StatusUnauthorized,
		"secret": http.StatusUnauthorized, "": http.StatusUnauthorized,
	} {
		req := httptest.NewRequest(http.MethodPost, "/", nil)
		req.Header.Set("Authorization", header)
		rec := httptest.NewRecorder()
		handler.ServeHTTP(rec, req)
		require.Equal(t, status, rec.Code, header)
	}
}
