package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/limit"
	"bilberryshelf/wire"
)

// invalidHeads are heads that a guard of an earlier version passes on, or stored under a key.
var invalidHeads = map[string]*wire.Head{
	"status 0":               {Status: 0},
	"status 99":              {Status: 99},
	"status 101":             {Status: http.StatusSwitchingProtocols},
	"status 600":             {Status: 600},
	"status -1":              {Status: -1},
	"blank in a name":        {Status: http.StatusOK, Headers: []*wire.Header{{Name: "X Bad", Value: "1"}}},
	"blank after a name":     {Status: http.StatusOK, Headers: []*wire.Header{{Name: "Content-Length ", Value: "3"}}},
	"control byte in a name": {Status: http.StatusOK, Headers: []*wire.Header{{Name: "X\x01Bad", Value: "1"}}},
	"empty name":             {Status: http.StatusOK, Headers: []*wire.Header{{Value: "1"}}},
}

// Guards against a panic while an answer is sent to the caller, which ends its connection without
// an answer, and against a head that is not valid HTTP and is passed on.
func TestInvalidHeadOfGuard(t *testing.T) {
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			out := httptest.NewRecorder()
			fr := frameReceiver{rc: newReply(out, &limit.ByteBudget{}), target: "t", hash: xxhash.New()}
			head.Id = fr.id[:]
			done, re := fr.receive(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Whole{Whole: &wire.Whole{
				Head: head, Chunk: []byte("all"), End: &wire.End{Id: fr.id[:], Length: 3, Digest: xxhash.Sum64String("all")},
			}}})
			require.True(t, done)
			require.NotNil(t, re.Error, "the answer counts as complete")
			require.Equal(t, core.MayHaveRun, re.Error.Verdict)
			require.Empty(t, out.Body.String())
		})
	}
}
