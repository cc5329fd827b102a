package retry_test

import (
	"flag"
	"fmt"
	"testing"
)

var traceSeed = flag.Int("trace", -1, "print the steps of this seed of the model")

// TestTrace prints what one seed of the model does, to find the cause of a
// broken promise.
func TestTrace(t *testing.T) {
	if *traceSeed < 0 {
		t.Skip("no seed asked for")
	}
	sm := newSimulator(mutant{}, seeded(uint64(*traceSeed)))
	sm.trace = func(format string, args ...any) { t.Log(sm.now.Sub(origin), fmt.Sprintf(format, args...)) }
	for range modelSteps {
		if sm.step(); sm.violation != "" {
			break
		}
	}
	t.Log(sm.violation)
}
