package meter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/meter"
)

// The number of labels of a name must stay bounded whatever tenants callers send.
func TestLabelsAreBounded(t *testing.T) {
	var se meter.Set
	for nu := range 1000 {
		se.Observe("request", fmt.Sprint("tenant-", nu), time.Millisecond)
	}
	var out strings.Builder
	se.Write(&out)
	require.LessOrEqual(t, strings.Count(out.String(), "request_microseconds_count"), 65)
	require.Contains(t, out.String(), `bilberryshelf_request_microseconds_count{of="other"} 936`)
	require.Contains(t, out.String(), `bilberryshelf_request_microseconds{of="tenant-1",quantile="0.5"} 1000`)
}
