package sample_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/sample"
)

// The length of a sample is bounded by what the service permits.
func TestCheck(t *testing.T) {
	good := sample.Spec{Step: "s", Service: "lm", Prompts: []string{"a"}, GroupSize: 1, MaxTokens: 100}
	require.Nil(t, good.Check(100))
	for _, tokens := range []int{0, -5, 101, 99_999_999} {
		bad := good
		bad.MaxTokens = tokens
		er := bad.Check(100)
		require.NotNil(t, er, tokens)
		require.Equal(t, core.CodeBadRequest, er.Code)
		require.Equal(t, core.NotRun, er.Verdict)
	}
}
