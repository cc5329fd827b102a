package engine

import (
	"bytes"
	"encoding/json"
)

// Event is one event of a completions stream.
type Event struct {
	// Raw is the event as received, with the empty line that ends it.
	Raw []byte
	// Text is the generated text that the event adds.
	Text string
	// Version is the version of the weights that generated the text; zero if the event
	// does not name it.
	Version uint64
	// Tokens is the number of tokens that the event adds.
	Tokens int
	// FinishReason is the reason why the generation ended; empty while it continues.
	FinishReason string
	// Failed is set if the event reports an error instead of text.
	Failed bool
	// Done is set for the event that ends the stream.
	Done bool
}

// MaxEvent is the largest size of an event, in bytes.
const MaxEvent = 1 << 20

// Parser splits a completions stream into events. The zero value is ready to use. An event
// larger than MaxEvent ends the stream with an Event whose Failed is set, so that an engine
// that sends without end costs bounded memory.
type Parser struct {
	pending []byte
	// searched is the number of pending bytes in which no event ends.
	searched int
	overflow bool
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

// Feed appends the next bytes of the stream and returns the events that they complete.
func (pa *Parser) Feed(raw []byte) []Event {
	if pa.overflow {
		return nil
	}
	pa.pending = append(pa.pending, raw...)
	var events []Event
	for {
		end := bytes.Index(pa.pending[pa.searched:], eventEnd)
		if end < 0 {
			break
		}
		end += pa.searched + len(eventEnd)
		event := bytes.Clone(pa.pending[:end])
		pa.pending, pa.searched = pa.pending[end:], 0
		events = append(events, parseEvent(event))
	}
	pa.searched = max(len(pa.pending)-len(eventEnd)+1, 0)
	if len(pa.pending) > MaxEvent {
		pa.pending, pa.overflow = nil, true
		events = append(events, Event{Failed: true})
	}
	return events
}

// AtEventEnd reports whether the bytes so far end with a complete event.
func (pa *Parser) AtEventEnd() bool { return !pa.overflow && len(bytes.TrimSpace(pa.pending)) == 0 }

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
