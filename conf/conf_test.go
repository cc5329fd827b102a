package conf_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/conf"
	"bilberryshelf/core"
)

func TestFind(t *testing.T) {
	co := conf.New(3, []conf.Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/a/"},
	}, []conf.Service{{Name: "s"}}, conf.Limits{})
	for _, tc := range []struct{ host, path, want string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h", "/a/bx", "short"},
		{"g", "/a/b/x", "other"},
		{"h", "/a", ""},
		{"k", "/a/x", ""},
	} {
		route, found := co.Find(tc.host, tc.path)
		require.Equal(t, tc.want, route.Name, "%s%s", tc.host, tc.path)
		require.Equal(t, tc.want != "", found)
	}
	_, found := co.Service("s")
	require.True(t, found)
	require.Equal(t, 3, co.Routes())
}

// Newer never returns a lower version, in either order of its arguments.
func TestNewer(t *testing.T) {
	one, two := conf.New(1, nil, nil, conf.Limits{}), conf.New(2, nil, nil, conf.Limits{})
	require.Same(t, two, conf.Newer(one, two))
	require.Same(t, two, conf.Newer(two, one))
	require.Same(t, two, conf.Newer(two, nil))
	require.Same(t, one, conf.Newer(nil, one))
	require.Nil(t, conf.Newer(nil, nil))
	require.Equal(t, core.NotRun, conf.NotReady().Verdict)
	require.Positive(t, conf.NotReady().RetryAfter)
}

func TestPick(t *testing.T) {
	ro := conf.Route{Shares: []conf.Share{{"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for at := range 100 {
		counts[ro.Pick(func(int) int { return at })]++
	}
	require.Equal(t, map[string]int{"a": 90, "b": 10}, counts)
	require.Equal(t, "a", conf.Route{Shares: []conf.Share{{"a", 0}}}.Pick(nil))
}
