package engine

import (
	"bytes"
	"encoding/json"
)

// Event is one event of a completions stream.
type Event struct {
	// Raw is the event as it came, with its closing blank line.
	Raw []byte
	// Text is the generated text that the event adds.
	Text string
	// Version is the version of the weights that produced it; zero if the
	// event does not say.
	Version uint64
	// Tokens is the number of tokens that the event adds.
	Tokens int
	// FinishReason is why the generation ended; empty while it goes on.
	FinishReason string
	// Failed says that the event reports an error in place of text.
	Failed bool
	// Done marks the end of the stream.
	Done bool
}

// Parser splits a completions stream into events. The zero value works.
type Parser struct {
	pending []byte
}

type choice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

type chunk struct {
	Choices       []choice        `json:"choices"`
	WeightVersion uint64          `json:"weight_version"`
	Error         json.RawMessage `json:"error"`
}

var (
	eventEnd   = []byte("\n\n")
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// Feed takes in the next bytes and returns the events that they complete.
func (st *Parser) Feed(raw []byte) []Event {
	st.pending = append(st.pending, raw...)
	var events []Event
	for {
		end := bytes.Index(st.pending, eventEnd)
		if end < 0 {
			return events
		}
		whole := bytes.Clone(st.pending[:end+len(eventEnd)])
		st.pending = st.pending[end+len(eventEnd):]
		events = append(events, parseEvent(whole))
	}
}

// AtEventEnd reports whether no bytes of an unfinished event are left.
func (st *Parser) AtEventEnd() bool { return len(bytes.TrimSpace(st.pending)) == 0 }

func parseEvent(raw []byte) Event {
	ev := Event{Raw: raw}
	data := bytes.TrimSpace(bytes.TrimPrefix(bytes.TrimSpace(raw), dataPrefix))
	if bytes.Equal(data, doneMark) {
		ev.Done = true
		return ev
	}
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil {
		return ev
	}
	ev.Version, ev.Failed = ch.WeightVersion, len(ch.Error) > 0
	for _, co := range ch.Choices {
		ev.Text += co.Text + co.Delta.Content
		ev.FinishReason += co.FinishReason
	}
	if ev.Text != "" {
		ev.Tokens = 1
	}
	return ev
}
