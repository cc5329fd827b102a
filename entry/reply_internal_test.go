package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/limit"
	"bilberryshelf/server"
	"bilberryshelf/wire"
)

// discarded is a response that is not kept.
type discarded struct {
	*httptest.ResponseRecorder
	bytes int
}

func (di *discarded) Write(raw []byte) (int, error) {
	di.bytes += len(raw)
	return len(raw), nil
}

func heapBytes() int {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int(ms.HeapAlloc)
}

func newReply(out http.ResponseWriter, budget *limit.ByteBudget) *reply {
	return &reply{out: out, buffered: budget}
}

func head(contentType string) *wire.Head {
	return &wire.Head{Status: http.StatusOK, Headers: []*wire.Header{{Name: "Content-Type", Value: contentType}}}
}

func completionEvent(text string) []byte {
	return fmt.Appendf(nil, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
}

// Guards against a stream without end whose text an entry keeps until it runs out of memory.
func TestStreamWithoutEndIsNotKept(t *testing.T) {
	const events, size = 20_000, 2000
	out := &discarded{ResponseRecorder: httptest.NewRecorder()}
	rp := newReply(out, &limit.ByteBudget{})
	require.Nil(t, rp.begin(head("text/event-stream"), "t"))
	event := completionEvent(strings.Repeat("x", size))
	before := heapBytes()
	for range events {
		require.Nil(t, rp.receive(event))
	}
	require.Equal(t, events*len(event), out.bytes)
	require.Less(t, heapBytes()-before, 4<<20)
	runtime.KeepAlive(rp)
}

// Guards against plain answers that together take the memory of an entry: beyond the limit they
// are forwarded as they arrive.
func TestBufferedAnswersAreBounded(t *testing.T) {
	budget := &limit.ByteBudget{Max: 2 * maxBufferedBytes}
	chunk := []byte(strings.Repeat("x", 32<<10))
	var replies []*reply
	for range 40 {
		out := &discarded{ResponseRecorder: httptest.NewRecorder()}
		rp := newReply(out, budget)
		require.Nil(t, rp.begin(head("application/json"), "t"))
		for range 100 {
			require.Nil(t, rp.receive(chunk))
			require.LessOrEqual(t, budget.InUse(), budget.Max)
		}
		require.Nil(t, rp.end(&wire.End{Length: int64(100 * len(chunk))}))
		require.Equal(t, 100*len(chunk), out.bytes)
		replies = append(replies, rp)
	}
	for _, rp := range replies {
		rp.release()
	}
	require.Zero(t, budget.InUse())
}

// Guards against a stream that goes on with another answer than the one that was cut, now that
// its text is compared by length and hash.
func TestRepeatedStream(t *testing.T) {
	for name, tc := range map[string]struct {
		again  []string
		failed bool
		want   string
	}{
		"the same, then more":     {[]string{"one ", "two ", "three"}, false, "one two three"},
		"split in another way":    {[]string{"one two ", "three"}, false, "one two three"},
		"different":               {[]string{"one ", "TWO ", "three"}, true, "one two "},
		"beyond what was sent":    {[]string{"one two three"}, true, "one two "},
		"shorter than what was":   {[]string{"one "}, false, "one two "},
		"different after a while": {[]string{"two ", "one ", "three"}, true, "one two "},
	} {
		t.Run(name, func(t *testing.T) {
			out := httptest.NewRecorder()
			rp := newReply(out, &limit.ByteBudget{})
			require.Nil(t, rp.begin(head("text/event-stream"), "t"))
			for _, text := range []string{"one ", "two "} {
				require.Nil(t, rp.receive(completionEvent(text)))
			}
			require.Nil(t, rp.begin(head("text/event-stream"), "u"))
			var failed *core.Error
			for _, text := range tc.again {
				if failed = rp.receive(completionEvent(text)); failed != nil {
					break
				}
			}
			require.Equal(t, tc.failed, failed != nil)
			var sent strings.Builder
			for _, part := range strings.Split(out.Body.String(), `"text":"`)[1:] {
				text, _, _ := strings.Cut(part, `"`)
				sent.WriteString(text)
			}
			require.Equal(t, tc.want, sent.String())
		})
	}
}

// Guards against a sample whose text has no end.
func TestSampleWithoutEnd(t *testing.T) {
	tr := &transcript{onStart: func() {}, onProgress: func(int) {}}
	require.Nil(t, tr.begin(head("text/event-stream"), "t"))
	event, size := completionEvent(strings.Repeat("x", 2000)), 0
	var failed *core.Error
	for ; failed == nil && size < 2*maxSampleText; size += 2000 {
		failed = tr.receive(event)
	}
	require.NotNil(t, failed)
	require.Equal(t, core.CodeAnswerTooLarge, failed.Code)
	require.LessOrEqual(t, tr.text.Len(), maxSampleText)
}

// Guards against a large answer that breaks off and looks whole to a caller of HTTP/1.0, for
// whom the end of the connection is the end of the answer.
func TestCutAnswerOfOldCaller(t *testing.T) {
	se := &server.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		rp := newReply(out, &limit.ByteBudget{})
		_ = rp.begin(head("application/json"), "t")
		_ = rp.receive(make([]byte, maxBufferedBytes+1))
		rp.fail(req, core.InDoubt(core.CodeAnswerCut, "cut"))
	})}
	require.NoError(t, se.Listen("127.0.0.1:0"))
	go func() { _ = se.Run() }()
	defer se.Abort()
	for _, version := range []string{"1.0", "1.1"} {
		conn, err := net.Dial("tcp", se.Addr())
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "GET / HTTP/%s\r\nHost: h\r\n\r\n", version)
		require.NoError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(res.Body)
		}
		require.Error(t, err, version)
		_ = conn.Close()
	}
}
