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
	// Finish is why the generation ended; empty while it goes on.
	Finish string
	// Failed says that the event reports an error in place of text.
	Failed bool
	// Last marks the end of the stream.
	Last bool
}

// Stream splits a completions stream into events. The zero value works.
type Stream struct {
	rest []byte
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
	lastMark   = []byte("[DONE]")
)

// Feed takes in the next bytes and returns the events that they complete.
func (st *Stream) Feed(raw []byte) []Event {
	st.rest = append(st.rest, raw...)
	var events []Event
	for {
		end := bytes.Index(st.rest, eventEnd)
		if end < 0 {
			return events
		}
		whole := bytes.Clone(st.rest[:end+len(eventEnd)])
		st.rest = st.rest[end+len(eventEnd):]
		events = append(events, parse(whole))
	}
}

// Whole reports whether no bytes of an unfinished event are left.
func (st *Stream) Whole() bool { return len(bytes.TrimSpace(st.rest)) == 0 }

func parse(raw []byte) Event {
	ev := Event{Raw: raw}
	data := bytes.TrimSpace(bytes.TrimPrefix(bytes.TrimSpace(raw), dataPrefix))
	if bytes.Equal(data, lastMark) {
		ev.Last = true
		return ev
	}
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil {
		return ev
	}
	ev.Version, ev.Failed = ch.WeightVersion, len(ch.Error) > 0
	for _, co := range ch.Choices {
		ev.Text += co.Text + co.Delta.Content
		ev.Finish += co.FinishReason
	}
	if ev.Text != "" {
		ev.Tokens = 1
	}
	return ev
}
