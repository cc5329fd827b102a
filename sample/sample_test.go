package sample_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/sample"
)

// A spec must be refused if its token limit is not positive or is above the limit
// of the service.
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
