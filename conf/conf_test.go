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

// Guards against a job that goes on by the rules of a route that only has the name or the path
// of its own.
func TestSuccessor(t *testing.T) {
	old := conf.Route{Name: "train", Host: "h", Prefix: "/a/", Kind: conf.Rollout}
	other := func(name, host, prefix string) conf.Route {
		return conf.Route{Name: name, Host: host, Prefix: prefix, Kind: conf.Rollout, Attempts: 7}
	}
	plain := other("train", "h", "/a/")
	plain.Kind = conf.Idempotent
	for _, tc := range []struct {
		name   string
		routes []conf.Route
		want   string
	}{
		{"unchanged", []conf.Route{other("train", "h", "/a/")}, "train h /a/"},
		{"another prefix", []conf.Route{other("train", "h", "/b/")}, "train h /b/"},
		{"another host", []conf.Route{other("train", "g", "/a/")}, "train g /a/"},
		{"another name", []conf.Route{other("learn", "h", "/a/")}, "learn h /a/"},
		{"another prefix, and a new route has the path", []conf.Route{other("learn", "h", "/a/"), other("train", "h", "/b/")}, "train h /b/"},
		{"the name was given to another route", []conf.Route{other("train", "g", "/b/")}, ""},
		{"the path was given to a plain route", []conf.Route{plain}, ""},
		{"removed", nil, ""},
	} {
		got, found := conf.New(2, tc.routes, nil, conf.Limits{}).Successor(old)
		require.Equal(t, tc.want != "", found, tc.name)
		if found {
			require.Equal(t, tc.want, got.Name+" "+got.Host+" "+got.Prefix, tc.name)
		}
	}
}
