package subcmd

import (
	"context"
	"net/http"

	"bilberryshelf/entry"
	"bilberryshelf/guard"
	"bilberryshelf/meter"
	"bilberryshelf/setup"
	"bilberryshelf/wire/wireconnect"
)

// guardHandler serves the inner protocol to holders of the nodes' token, and
// health and metrics to all.
func guardHandler(gu *guard.Guard, se setup.Guard, me *meter.Set) http.Handler {
	mux := http.NewServeMux()
	path, handler := wireconnect.NewGuardServiceHandler(gu)
	mux.Handle(path, entry.RequireToken(se.Token.Secret(), handler))
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(out http.ResponseWriter, _ *http.Request) {
		if !gu.Ready() {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", me)
	return mux
}

// signalContext ends when the channel closes.
func signalContext(ended <-chan struct{}) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-ended
		cancel()
	}()
	return ctx
}
