package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// MaxViewAge is the largest age of the view of the configuration with which a key or a route
// counts as unknown: half of the 4 s within which a new configuration must be in force.
const MaxViewAge = 2 * time.Second

// Workspace is a customer of the platform with its own API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route for the workspace's requests, if set.
	Priority *int
}

// String returns the name: the keys must not appear in logs.
func (wo Workspace) String() string { return wo.Name }

// GoString does the same for the format %#v.
func (wo Workspace) GoString() string { return wo.Name }

// WithWorkspaces returns the configuration with these workspaces. A key that occurs in
// several of them belongs to the first one. The keys of a workspace without a name are not
// valid: an empty name stands for no workspace, whose jobs each key may read.
func (co *Config) WithWorkspaces(all []Workspace) *Config {
	cp := *co
	cp.workspaces, cp.workspaceByKey = make(map[string]Workspace, len(all)), make(map[string]Workspace, len(all))
	for _, wo := range all {
		if wo.Name == "" {
			cp.workspaces[""] = Workspace{} // requests need a key all the same
			continue
		}
		cp.workspaces[wo.Name] = wo
		for _, key := range wo.Keys {
			if _, found := cp.workspaceByKey[key]; key != "" && !found { // a request without a key has an empty one
				cp.workspaceByKey[key] = wo
			}
		}
	}
	return &cp
}

// HasWorkspaces reports whether requests need a key.
func (co *Config) HasWorkspaces() bool { return len(co.workspaces) > 0 }

// Authenticate returns the workspace that a key belongs to.
func (co *Config) Authenticate(key string) (Workspace, bool) {
	wo, found := co.workspaceByKey[key]
	return wo, found
}

// Workspace returns a workspace by name.
func (co *Config) Workspace(name string) (Workspace, bool) {
	wo, found := co.workspaces[name]
	return wo, found
}

// PublicJobs reports whether the jobs of any public route can be read at a host.
func (co *Config) PublicJobs(host string) bool {
	for _, ro := range co.routes[host] {
		if ro.Public && ro.Kind == Rollout {
			return true
		}
	}
	return false
}

// PublicRoute reports whether the host has a public route of this name.
func (co *Config) PublicRoute(host, name string) bool {
	for _, ro := range co.routes[host] {
		if ro.Public && ro.Name == name {
			return true
		}
	}
	return false
}

// WithPriority returns the route with the priority replaced, unless it is nil.
func (ro Route) WithPriority(priority *int) Route {
	if priority != nil {
		ro.Priority = *priority
	}
	return ro
}

// keyDigestBytes is the length of a key's digest in logs.
const keyDigestBytes = 4

// KeyDigest returns what identifies a key in logs.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyDigestBytes])
}
