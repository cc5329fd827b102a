package retry_test

import (
	"flag"
	"fmt"
	"testing"
)

var traceSeed = flag.Int("trace", -1, "print the steps of the model at this seed")

// TestTrace prints the steps of the model at one seed, to find the cause of a
// violation.
func TestTrace(t *testing.T) {
	if *traceSeed < 0 {
		t.Skip("no seed given")
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
