package fake

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              string          `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Seed                int             `json:"seed"`
	Stream              bool            `json:"stream"`
	Priority            int             `json:"priority"`
	// ResumeText is the text that another engine has already generated.
	ResumeText string `json:"resume_text"`
}

func (en *Engine) serveCompletion(out http.ResponseWriter, req *http.Request) {
	if !en.admit(req) {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	var cr completionRequest
	if err := json.NewDecoder(req.Body).Decode(&cr); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := cr.Prompt + string(cr.Messages)
	if strings.Contains(prompt, PoisonMarker) {
		en.Crash()
		abortResponse()
	}
	id := req.Header.Get("X-Request-Id")
	stop, ok := en.startSequence(id, prompt)
	if !ok {
		http.Error(out, "full", http.StatusTooManyRequests)
		return
	}
	defer en.endSequence(id)
	ge := generation{
		out: out, chat: strings.Contains(req.URL.Path, "chat"), stream: cr.Stream, model: cr.Model,
		id: fmt.Sprintf("cmpl-%x", xxhash.Sum64String(prompt)), tokens: len(strings.Fields(cr.ResumeText)),
	}
	ge.begin()
	for at := ge.tokens; at < Length(prompt, cr.Seed, max(cr.MaxTokens, cr.MaxCompletionTokens)); at++ {
		if !en.waitToken(req, stop) {
			abortResponse()
		}
		if cut := en.current().Cut; cut > 0 && at >= cut {
			abortResponse()
		}
		ge.writeToken(Token(prompt, cr.Seed, at), en.reportedVersion())
	}
	ge.end()
}

// Length returns the number of tokens in an answer. It is heavy-tailed, at most
// limit, and the same on every engine. A limit of zero or less means 16.
func Length(prompt string, seed, limit int) int {
	if limit <= 0 {
		limit = 16
	}
	draw := float64(xxhash.Sum64String(fmt.Sprintf("length/%s/%d", prompt, seed))%10000+1) / 10001
	length := int(float64(limit) / 8 / math.Pow(1-draw, 0.8))
	return max(1, min(length, limit))
}

// Token returns the word at a position of an answer.
func Token(prompt string, seed, at int) string {
	return fmt.Sprintf("w%03d ", xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", prompt, seed, at))%1000)
}

// Answer returns the complete text of an answer.
func Answer(prompt string, seed, limit int) string {
	var text strings.Builder
	for at := range Length(prompt, seed, limit) {
		text.WriteString(Token(prompt, seed, at))
	}
	return text.String()
}
