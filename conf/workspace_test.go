package conf_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/conf"
)

// An empty key belongs to no workspace, even if one lists it, and printing a workspace does
// not show its keys.
func TestAuthenticate(t *testing.T) {
	co := conf.New(1, nil, nil, conf.Limits{})
	require.False(t, co.HasWorkspaces())
	_, known := co.Authenticate("")
	require.False(t, known)
	with := co.WithWorkspaces([]conf.Workspace{{Name: "red", Keys: []string{"k1", ""}}, {Name: "blue", Keys: []string{"k1", "k2"}}})
	require.False(t, co.HasWorkspaces(), "the configuration is immutable")
	require.True(t, with.HasWorkspaces())
	for key, want := range map[string]string{"k1": "red", "k2": "blue", "": "", "k3": ""} {
		wo, known := with.Authenticate(key)
		require.Equal(t, want, wo.Name)
		require.Equal(t, want != "", known)
		require.NotContains(t, fmt.Sprintf("%v %+v %#v %s", wo, wo, wo, wo), "k1")
	}
	require.Len(t, conf.KeyDigest("k1"), 8)
}
