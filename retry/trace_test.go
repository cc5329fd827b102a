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
	wo := newSimulator(mutant{}, seeded(uint64(*traceSeed)))
	wo.trace = func(format string, args ...any) { t.Log(wo.now.Sub(origin), fmt.Sprintf(format, args...)) }
	for range modelSteps {
		if wo.step(); wo.violation != "" {
			break
		}
	}
	t.Log(wo.violation)
}
