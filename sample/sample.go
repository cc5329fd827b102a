package sample

import (
	"slices"
	"strconv"
	"time"

	"bilberryshelf/core"
)

// Slot identifies one sample of a step: a prompt group and the index in it.
type Slot struct {
	Group int `json:"group"`
	Index int `json:"index"`
}

// Segment is a number of consecutive tokens produced by one version of the
// weights.
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

// OldestVersion returns the oldest version that produced any part of the sample,
// or zero if no version is known.
func (sa Sample) OldestVersion() uint64 {
	var oldest uint64
	for at, se := range sa.Segments {
		if at == 0 || se.Version < oldest {
			oldest = se.Version
		}
	}
	return oldest
}

// Tokens returns the length of the sample in tokens.
func (sa Sample) Tokens() int {
	total := 0
	for _, se := range sa.Segments {
		total += se.Tokens
	}
	return total
}

// Spec describes a step as requested by a trainer.
type Spec struct {
	Trainer string `json:"trainer"`
	Step    string `json:"step"`
	Service string `json:"service"`
	// Prompts has one entry for each group.
	Prompts   []string `json:"prompts"`
	GroupSize int      `json:"group-size"`
	MaxTokens int      `json:"max-tokens"`
	// Staleness is the maximum number of versions that a sample may be behind the
	// version that the trainer states in a take.
	Staleness uint64 `json:"staleness"`
	// Version is the trainer's weight version when the step is created.
	Version  uint64    `json:"version"`
	Deadline time.Time `json:"deadline"`
}

// MaxSlots is the maximum number of slots of a step.
const MaxSlots = 1 << 16

// Check validates a spec. maxTokens is the maximum length of a sample in tokens.
func (sp Spec) Check(maxTokens int) *core.Error {
	switch {
	case sp.Step == "" || sp.Service == "":
		return core.Refuse(core.CodeBadRequest, "a step needs the fields step and service")
	case len(sp.Prompts) == 0 || sp.GroupSize < 1:
		return core.Refuse(core.CodeBadRequest, "a step needs prompts and a group-size of 1 or more")
	case len(sp.Prompts)*sp.GroupSize > MaxSlots:
		return core.Refuse(core.CodeBadRequest, "a step has at most %d slots", MaxSlots)
	case sp.MaxTokens < 1 || sp.MaxTokens > maxTokens:
		return core.Refuse(core.CodeBadRequest, "max-tokens is %d, and must be from 1 to %d", sp.MaxTokens, maxTokens)
	}
	return nil
}

// Slots returns the number of slots.
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
	// Run is the number of the run, counted from 0 for each slot.
	Run int
	// Extra marks a second run of a slot whose first run is still in progress.
	Extra bool
	// MinVersion is the oldest version of the weights that the run may start with.
	MinVersion uint64
}

// Key returns the idempotency key of a run, which is the same at every entry.
func (sp Spec) Key(jo Job) string {
	return "sample/" + sp.Trainer + "/" + sp.Step + "/" + strconv.Itoa(jo.Slot.Group) + "/" +
		strconv.Itoa(jo.Slot.Index) + "/" + strconv.Itoa(jo.Run)
}

// Take is a trainer's request for samples.
type Take struct {
	Token string `json:"token"`
	// Have lists the slots that the trainer has. With nil, only the token
	// confirms slots.
	Have []Slot `json:"have"`
	// Version is the trainer's current weight version.
	Version uint64 `json:"version"`
	// MaxSamples limits the number of samples in the response; zero means no limit.
	MaxSamples int `json:"most,omitempty"`
}

// TakeResponse is the response to a take.
type TakeResponse struct {
	Token   string   `json:"token"`
	Samples []Sample `json:"samples"`
	// Remaining is the number of slots that the trainer has not confirmed yet,
	// including those in Samples.
	Remaining int `json:"left"`
}

// Counts holds the number of samples, extra runs and tokens of a step so far.
type Counts struct {
	Delivered     int `json:"delivered"`
	TooOld        int `json:"too-old"`
	InDoubt       int `json:"in-doubt"`
	Extra         int `json:"extra"`
	WastedTokens  int `json:"wasted-tokens"`
	CreatedTokens int `json:"created-tokens"`
}
