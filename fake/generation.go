package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// generation writes one answer, streamed or as a single response.
type generation struct {
	out     http.ResponseWriter
	chat    bool
	stream  bool
	model   string
	id      string
	text    strings.Builder
	version uint64
	tokens  int
}

func (ge *generation) begin() {
	if ge.stream {
		ge.out.Header().Set("Content-Type", "text/event-stream")
		ge.out.WriteHeader(http.StatusOK)
	}
}

func (ge *generation) writeToken(text string, version uint64) {
	ge.text.WriteString(text)
	ge.version = version
	ge.tokens++
	if ge.stream {
		ge.writeEvent(text, "")
	}
}

func (ge *generation) writeEvent(text, finish string) {
	fmt.Fprintf(ge.out, "data: %s\n\n", ge.encode(text, finish)) // fails if the caller disconnected
	_ = http.NewResponseController(ge.out).Flush()
}

func (ge *generation) encode(text, finish string) []byte {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	kind := "text_completion"
	switch {
	case ge.chat && ge.stream:
		kind = "chat.completion.chunk"
		choice["delta"] = map[string]string{"role": "assistant", "content": text}
	case ge.chat:
		kind = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": text}
	default:
		choice["text"] = text
	}
	raw, _ := json.Marshal(map[string]any{
		"id": ge.id, "object": kind, "created": time.Now().Unix(), "model": ge.model, "choices": []any{choice},
		"weight_version": ge.version,
		"usage":          map[string]int{"completion_tokens": ge.tokens},
	})
	return raw
}

func (ge *generation) end() {
	if !ge.stream {
		ge.out.Header().Set("Content-Type", "application/json")
		_, _ = ge.out.Write(ge.encode(ge.text.String(), "stop"))
		return
	}
	ge.writeEvent("", "stop")
	fmt.Fprint(ge.out, "data: [DONE]\n\n") // fails if the caller disconnected
}
