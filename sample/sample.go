package sample

import (
	"slices"
	"strconv"
	"time"

	"bilberryshelf/core"
)

// Slot is one place in a step.
type Slot struct {
	Group int `json:"group"`
	Index int `json:"index"`
}

// Segment is a run of tokens produced by one version of the weights.
type Segment struct {
	Version uint64 `json:"version"`
	Tokens  int    `json:"tokens"`
}

// Sample is a finished generation.
type Sample struct {
	Slot     Slot      `json:"slot"`
	Text     string    `json:"text"`
	Segments []Segment `json:"segments"`
	// Run is the number of the run that produced it.
	Run int `json:"run"`
}

// OldestVersion is the oldest version that produced any part; zero if none is known.
func (sa Sample) OldestVersion() uint64 {
	var oldest uint64
	for at, se := range sa.Segments {
		if at == 0 || se.Version < oldest {
			oldest = se.Version
		}
	}
	return oldest
}

// Tokens is the length in tokens.
func (sa Sample) Tokens() int {
	total := 0
	for _, se := range sa.Segments {
		total += se.Tokens
	}
	return total
}

// Spec is what a trainer asks for.
type Spec struct {
	Trainer string `json:"trainer"`
	Step    string `json:"step"`
	Service string `json:"service"`
	// Prompts has one entry for each group.
	Prompts   []string `json:"prompts"`
	GroupSize int      `json:"group-size"`
	MaxTokens int      `json:"max-tokens"`
	// Staleness is how many versions a sample may be behind.
	Staleness uint64    `json:"staleness"`
	Version   uint64    `json:"version"`
	Deadline  time.Time `json:"deadline"`
}

// MaxSlots bounds the slots of a step.
const MaxSlots = 1 << 16

// Check reports what is wrong with a spec. mostTokens bounds a sample's length.
func (sp Spec) Check(mostTokens int) *core.Error {
	switch {
	case sp.Step == "" || sp.Service == "":
		return core.Refuse(core.CodeBadRequest, "a step needs step and service")
	case len(sp.Prompts) == 0 || sp.GroupSize < 1:
		return core.Refuse(core.CodeBadRequest, "a step needs prompts and a group-size of 1 or more")
	case len(sp.Prompts)*sp.GroupSize > MaxSlots:
		return core.Refuse(core.CodeBadRequest, "a step has at most %d slots", MaxSlots)
	case sp.MaxTokens < 1 || sp.MaxTokens > mostTokens:
		return core.Refuse(core.CodeBadRequest, "max-tokens is %d, and must be from 1 to %d", sp.MaxTokens, mostTokens)
	}
	return nil
}

// Slots is the number of slots.
func (sp Spec) Slots() int { return len(sp.Prompts) * sp.GroupSize }

// Same reports whether two specs ask for the same samples.
func (sp Spec) Same(other Spec) bool {
	return sp.Trainer == other.Trainer && sp.Step == other.Step && sp.Service == other.Service &&
		sp.GroupSize == other.GroupSize && sp.MaxTokens == other.MaxTokens &&
		slices.Equal(sp.Prompts, other.Prompts)
}

// Job is one run of a slot.
type Job struct {
	Slot Slot
	// Run counts the runs of the slot from 0.
	Run int
	// Extra marks a second run beside one that goes on.
	Extra bool
	// MinVersion is the oldest version of weights that may start it.
	MinVersion uint64
}

// Key is the idempotency key of a run; the same at every entry.
func (sp Spec) Key(jo Job) string {
	return "sample/" + sp.Trainer + "/" + sp.Step + "/" + strconv.Itoa(jo.Slot.Group) + "/" +
		strconv.Itoa(jo.Slot.Index) + "/" + strconv.Itoa(jo.Run)
}

// Take is what a trainer states when it asks for samples.
type Take struct {
	Token string `json:"token"`
	// Have names the slots that the trainer has; nil leaves it to the token.
	Have    []Slot `json:"have"`
	Version uint64 `json:"version"`
	// MaxSamples bounds the samples of the answer; zero means no bound.
	MaxSamples int `json:"most,omitempty"`
}

// TakeResponse is the answer to a take.
type TakeResponse struct {
	Token   string   `json:"token"`
	Samples []Sample `json:"samples"`
	// Remaining is the number of slots that the trainer does not have yet, those in
	// Samples included.
	Remaining int `json:"left"`
}

// Counts is what a step has cost so far.
type Counts struct {
	Delivered     int `json:"delivered"`
	TooOld        int `json:"too-old"`
	InDoubt       int `json:"in-doubt"`
	Extra         int `json:"extra"`
	WastedTokens  int `json:"wasted-tokens"`
	CreatedTokens int `json:"created-tokens"`
}
