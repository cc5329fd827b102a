package guard

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/meter"
	"bilberryshelf/setup"
	"bilberryshelf/wire"
)

// frames records the frames of an answer.
type frames struct{ sent []*wire.DispatchFrame }

func (fr *frames) Send(frame *wire.DispatchFrame) error {
	fr.sent = append(fr.sent, frame)
	return nil
}

// A target that sends each response a second time, after the next request has come on the
// same connection. Each attempt must get its own response.
func TestExtraResponses(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer li.Close()
	go func() {
		for {
			conn, err := li.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				rd, last := bufio.NewReader(conn), ""
				for {
					req, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					_, _ = fmt.Fprint(conn, last)
					last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
					_, _ = fmt.Fprint(conn, last)
				}
			}()
		}
	}()
	se := setup.DefaultGuard()
	se.Engine.URL = "http://" + li.Addr().String()
	gu := New(se, core.SystemClock{}, log.NewNopLogger(), &meter.Set{}, nil, nil)
	for at := range 5 {
		path := fmt.Sprintf("/lots/%d", at)
		out := &frames{}
		_, er := gu.forward(t.Context(), &wire.DispatchRequest{Path: path, Method: "GET", Idempotent: true}, &run{}, out)
		require.Nil(t, er)
		require.Equal(t, path, string(out.sent[0].GetWhole().GetChunk()))
		time.Sleep(time.Millisecond)
	}
}

// Guards against a request that runs twice at a target which breaks its connection: the
// transport must not repeat it, though its method is idempotent and it has no body.
func TestForwardIsNotRepeated(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer li.Close()
	var seen atomic.Int64
	go func() {
		for {
			conn, err := li.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && seen.Add(1) == 1 {
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			_ = conn.Close()
		}
	}()
	se := setup.DefaultGuard()
	se.Engine.URL = "http://" + li.Addr().String()
	gu := New(se, core.SystemClock{}, log.NewNopLogger(), &meter.Set{}, nil, nil)
	dispatch := &wire.DispatchRequest{Path: "/lots", Method: "GET", Headers: []*wire.Header{{Name: "Idempotency-Key", Value: "k"}}}
	_, er := gu.forward(t.Context(), dispatch, &run{}, &frames{})
	require.Nil(t, er)
	_, er = gu.forward(t.Context(), dispatch, &run{}, &frames{})
	require.NotNil(t, er)
	require.Equal(t, core.MayHaveRun, er.Verdict)
	require.EqualValues(t, 2, seen.Load(), "one request for each dispatch")
}
