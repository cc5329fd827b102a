package intake_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/conf"
	"bilberryshelf/fake"
	"bilberryshelf/platform"
)

// configure replaces the configuration and waits until it is in force.
func (cl *cluster) configure(version uint64, public bool, all ...conf.Workspace) {
	open := route
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	desk := conf.Route{
		Name: "desk", Host: "h", Prefix: "/desk/", Kind: conf.Idempotent, Shares: []conf.Share{{Service: "desk", Weight: 1}}, Attempts: 2, Timeout: 2 * time.Second,
	}
	routes := []conf.Route{route, desk}
	if public {
		routes = append(routes, open)
	}
	cl.config.Store(conf.New(version, routes, nil, conf.Limits{MaxBody: 10000}).WithWorkspaces(all))
	cl.put(operatorTable, "config")
	time.Sleep(200 * time.Millisecond)
}

// serve sends a request with a key to an entry and returns the status of the response.
func (cl *cluster) serve(node int, method, path, key string) int {
	body := ""
	if method == http.MethodPost {
		body = `{"model":"m","min_version":1,"target_groups":1,"requests":[{"id":"ID-i1","path":"/train/i","group":"g","headers":{"Api-Key":"secret-item"}}]}`
		body = strings.Replace(body, "ID", path[strings.LastIndex(path, "/")+1:], 1)
	}
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Host = "h"
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	req.Header.Set("Bilberryshelf-Request-Id", path[strings.LastIndex(path, "/")+1:])
	out := httptest.NewRecorder()
	(&platform.Handler{Service: cl.entries[node], Logger: cl.logger}).ServeHTTP(out, req)
	if out.Code == http.StatusUnauthorized || out.Code == http.StatusServiceUnavailable {
		require.NotContains(cl.t, out.Body.String(), "secret")
	}
	return out.Code
}

var (
	red  = conf.Workspace{Name: "red", Keys: []string{"secret-red-1", "secret-red-2"}}
	blue = conf.Workspace{Name: "blue", Keys: []string{"secret-blue"}}
)

const jobURL, itemURL = "/bilberryshelf/lots/", "/bilberryshelf/items/"

// A job is served to the workspace that submitted it and to no other one, at each entry, with
// any present key, and after its owner has died. Without the check of the job, the key of
// another workspace reads and ends it. No key appears in a log line of the run.
func TestJobOfWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		cl.configure(2, true, red, blue)
		require.Equal(t, 401, cl.serve(0, "POST", "/train/j1", ""))
		require.Equal(t, 401, cl.serve(0, "POST", "/train/j1", "secret-none"))
		require.Equal(t, 202, cl.serve(0, "POST", "/train/j1", "secret-red-1"))
		time.Sleep(300 * time.Millisecond)
		owner := cl.owner("j1")
		cl.entries[owner].Kill()
		node := (owner + 1) % 3
		// The submitting key is removed.
		cl.configure(3, true, conf.Workspace{Name: "red", Keys: red.Keys[1:]}, blue)
		time.Sleep(10 * time.Second)
		for _, at := range []int{node, (owner + 2) % 3} {
			for key, want := range map[string]int{"": 401, "secret-none": 401, "secret-red-1": 401, "secret-red-2": 200, "secret-blue": 404} {
				require.Equal(t, want, cl.serve(at, "GET", jobURL+"j1", key), key)
				require.Equal(t, want, cl.serve(at, "GET", itemURL+"j1?id=j1-i1", key), key)
				if want != 200 {
					require.Equal(t, want, cl.serve(at, "POST", "/train/j1", key), key)
					require.Equal(t, want, cl.serve(at, "DELETE", jobURL+"j1", key), key)
				}
			}
			require.Equal(t, 202, cl.serve(at, "POST", "/train/j1", "secret-red-2"))
			require.Equal(t, 404, cl.serve(at, "GET", jobURL+"j7", "secret-red-2"))
			require.Equal(t, 401, cl.serve(at, "GET", jobURL+"j7", "secret-none"))
			require.Equal(t, 404, cl.serve(at, "POST", "/nowhere/j7", ""))
		}
		workspace, _ := cl.engines.workspaces.Load("j1-i1")
		require.Equal(t, "red", workspace, "the owner that adopted the job")
		require.Equal(t, 200, cl.serve(node, "DELETE", jobURL+"j1", "secret-red-2"))
		require.Equal(t, 200, cl.serve(node, "GET", "/desk/r1", "secret-blue"))
		require.Equal(t, 401, cl.serve(node, "GET", "/desk/r1", ""))
		require.Equal(t, 202, cl.serve(node, "POST", "/open/j2", ""))
		require.Equal(t, 200, cl.serve(node, "GET", jobURL+"j2", ""), "a job of a public route")
		cl.stop()
		synctest.Wait() // calls of a killed entry may still log their errors
		require.Contains(t, cl.logs.String(), conf.KeyDigest("secret-none"))
		require.NotContains(t, cl.logs.String(), "secret")
	})
}

// A job of an earlier release has no workspace and is served to any valid key.
func TestJobWithoutWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		require.Nil(t, cl.submit(0, job("j1", 1)))
		require.Equal(t, 200, cl.serve(0, "GET", jobURL+"j1", ""), "no workspaces are configured")
		cl.configure(2, false, red, blue)
		require.Equal(t, 200, cl.serve(0, "GET", jobURL+"j1", "secret-blue"))
		require.Equal(t, 401, cl.serve(0, "GET", jobURL+"j1", ""))
	})
}

// While the view may be outdated, an unknown key or route is not refused for good: a client
// does not retry after 401 or 404. Known keys are served.
func TestStaleViewOfKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.configure(2, false, red)
		cl.rows.Set(fake.RowFaults{Refuse: true})
		time.Sleep(conf.MaxViewAge + time.Second)
		require.Equal(t, 503, cl.serve(0, "GET", "/desk/r1", "secret-new"))
		require.Equal(t, 503, cl.serve(0, "GET", "/new/r1", "secret-new"))
		require.Equal(t, 503, cl.serve(0, "GET", jobURL+"j1", "secret-new"))
		require.Equal(t, 200, cl.serve(0, "GET", "/desk/r1", "secret-red-1"))
		cl.rows.Set(fake.RowFaults{})
		time.Sleep(3 * time.Second)
		require.Equal(t, 401, cl.serve(0, "GET", "/desk/r1", "secret-new"))
		require.Equal(t, 404, cl.serve(0, "GET", "/new/r1", "secret-new"))
	})
}

// generated returns the number of events of each item so far.
func (cl *cluster) generated() map[string]int {
	cl.engines.mutex.Lock()
	defer cl.engines.mutex.Unlock()
	return maps.Clone(cl.engines.generated)
}

// A text of another workspace is not continued, although the items have the same ids.
func TestPartialTextsOfWorkspaces(t *testing.T) {
	for _, tc := range []struct {
		workspace string
		reused    bool
	}{{"red", true}, {"blue", false}} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, 2)
			defer cl.stop()
			first := job("j1", 12)
			first.Workspace = "red"
			require.Nil(t, cl.submit(0, first))
			time.Sleep(1500 * time.Millisecond)
			require.Nil(t, cl.entries[0].EndJob(context.Background(), "j1"))
			time.Sleep(time.Second)
			second := job("j2", 0)
			second.Workspace = tc.workspace
			for _, it := range first.Items {
				if length(it.ID) > 30 {
					second.Items = append(second.Items, it)
				}
			}
			before := cl.generated()
			require.Nil(t, cl.submit(1, second))
			time.Sleep(6 * time.Second)
			cl.requireComplete(0, second)
			after, reused := cl.generated(), 0
			for _, it := range second.Items {
				if after[it.ID]-before[it.ID] < length(it.ID) {
					reused++
				}
			}
			require.Equal(t, tc.reused, reused > 0)
		})
	}
}
