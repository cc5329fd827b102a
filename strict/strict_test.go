package strict_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fake"
	"bilberryshelf/strict"
)

// serve passes each connection to handle, after the head of a request.
func serve(t *testing.T, handle func(conn *net.TCPConn)) (url string) {
	t.Helper()
	li, err := fake.ListenRaw(fake.AfterHead(func(conn *net.TCPConn, _ *bufio.Reader) { handle(conn) }))
	require.NoError(t, err)
	t.Cleanup(func() { _ = li.Close() })
	return "http://" + li.Addr().String() + "/"
}

func post(ctx context.Context, t *testing.T, url string, body []byte) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	require.NoError(t, err)
	return (&http.Client{Transport: strict.New(&http.Transport{})}).Do(req)
}

// Guards against an answer over TLS that counts as complete although its connection was reset while
// the request was still being sent.
func TestEarlyAnswerOverTLS(t *testing.T) {
	se := httptest.NewTLSServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(out).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		tcp := conn.(*tls.Conn).NetConn().(*net.TCPConn)
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}))
	defer se.Close()
	cl := &http.Client{Transport: strict.New(se.Client().Transport.(*http.Transport).Clone())}
	complete := 0
	for range 20 {
		res, err := cl.Post(se.URL, "", bytes.NewReader(make([]byte, 12<<20)))
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(res.Body); err == nil {
			complete++
		}
		require.NoError(t, res.Body.Close())
	}
	require.Zero(t, complete, "broken answers of 20 that count as complete")
}

// Guards against a reader that waits forever for a request to be written: the target ends its
// answer and then neither reads nor closes. The deadline ends it.
func TestUnreadRequestEndsAtDeadline(t *testing.T) {
	ended := make(chan struct{})
	url := serve(t, func(conn *net.TCPConn) {
		defer close(ended)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nall")
		_ = conn.CloseWrite()
		time.Sleep(300 * time.Millisecond)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	res, err := post(ctx, t, url, make([]byte, 12<<20))
	require.NoError(t, err)
	_, err = io.ReadAll(res.Body)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NoError(t, res.Body.Close())
	<-ended
}

// A framed response ends at its own end, at once, also if its target does not read the request.
func TestFramedResponseDoesNotWaitForRequest(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 413 Content Too Large\r\nContent-Length: 3\r\n\r\nbig",
		"chunks": "HTTP/1.1 413 Content Too Large\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbig\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			url := serve(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, answer)
				_ = conn.CloseWrite()
				<-release
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			res, err := post(ctx, t, url, make([]byte, 12<<20))
			require.NoError(t, err)
			body, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.Equal(t, "big", string(body))
			require.NoError(t, res.Body.Close())
		})
	}
}

// Guards against an HTTP client of the product that does not check its responses. The fakes and
// the tools that measure and demonstrate the product talk to their own processes only.
func TestAllClientsAreStrict(t *testing.T) {
	unchecked := map[string]bool{"DefaultClient": true, "Get": true, "Head": true, "Post": true, "PostForm": true, "ReadResponse": true}
	exempt := map[string]bool{"fake": true, "trial": true, "bench": true, "review": true, "strict": true}
	files := token.NewFileSet()
	clients := 0
	require.NoError(t, filepath.WalkDir("..", func(path string, en fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if en.IsDir() && exempt[en.Name()] {
			return filepath.SkipDir
		}
		if en.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(no ast.Node) bool {
			switch no := no.(type) {
			case *ast.SelectorExpr:
				if isName(no.X, "http") && unchecked[no.Sel.Name] {
					t.Errorf("%s: http.%s does not check its responses", files.Position(no.Pos()), no.Sel.Name)
				}
			case *ast.CompositeLit:
				if se, ok := no.Type.(*ast.SelectorExpr); ok && isName(se.X, "http") && se.Sel.Name == "Client" {
					clients++
					require.True(t, isStrict(no), "%s: the client does not check its responses", files.Position(no.Pos()))
				}
			}
			return true
		})
		return nil
	}))
	require.Positive(t, clients)
}

func isName(ex ast.Expr, name string) bool {
	id, ok := ex.(*ast.Ident)
	return ok && id.Name == name
}

// isStrict reports whether the transport of a client is one of this package or wraps one.
func isStrict(client *ast.CompositeLit) bool {
	for _, el := range client.Elts {
		kv, ok := el.(*ast.KeyValueExpr)
		if !ok || !isName(kv.Key, "Transport") {
			continue
		}
		switch va := kv.Value.(type) {
		case *ast.CallExpr: // strict.New(…)
			fn, ok := va.Fun.(*ast.SelectorExpr)
			return ok && isName(fn.X, "strict") && fn.Sel.Name == "New"
		case *ast.SelectorExpr: // strict.Default
			return isName(va.X, "strict") && va.Sel.Name == "Default"
		case *ast.CompositeLit:
			return isName(va.Type, "wholeResponses") // of package store
		}
	}
	return false
}
