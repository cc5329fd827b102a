package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/table"
	"bilberryshelf/wire"
)

var scoreRoute = conf.Route{
	Name: "score", Host: "h", Prefix: "/score/", Kind: conf.Idempotent, Shares: []conf.Share{{Service: "desk", Weight: 1}},
	TargetLatency: 300 * time.Millisecond, Attempts: 4,
}

// setRoutes puts a configuration with these routes in force.
func (cl *cluster) setRoutes(version uint64, all ...conf.Route) {
	cl.config.Store(conf.New(version, all, nil, conf.Limits{}))
	cl.put(operatorTable, "config")
}

// changed returns a route with a change.
func changed(ro conf.Route, change func(ro *conf.Route)) conf.Route {
	change(&ro)
	return ro
}

// endOwner ends the owner of a job of some groups, or lets it run on. A planned stop gives the
// owner time to complete a small job.
type endOwner struct {
	groups int
	do     func(cl *cluster, node int)
}

var (
	kill        = endOwner{30, func(cl *cluster, node int) { cl.kill(node) }}
	stopPlanned = endOwner{120, func(cl *cluster, node int) { go cl.entries[node].Stop() }}
	stays       = endOwner{30, func(*cluster, int) {}}
)

// Guards against a job whose route was changed or removed while it was open, and that nobody runs
// on after its owner has ended: neither by the route in force at its path nor by one of its name.
func TestJobOutlivesItsRoute(t *testing.T) {
	plain := conf.Route{Name: "plain", Host: "h", Prefix: "/train/", Kind: conf.Idempotent, Shares: []conf.Share{{Service: "desk", Weight: 1}}}
	prefix := changed(route, func(ro *conf.Route) { ro.Prefix = "/train-2/" })
	other := changed(route, func(ro *conf.Route) {
		ro.Host, ro.Prefix, ro.Shares, ro.ItemTTL = "g", "/other/", []conf.Share{{Service: "none", Weight: 1}}, time.Second
	})
	for _, tc := range []struct {
		name   string
		end    endOwner
		routes []conf.Route
		// then are the routes of a configuration right after that; nil means that there is none.
		then []conf.Route
	}{
		{name: "another prefix, the owner stays", end: stays, routes: []conf.Route{scoreRoute, prefix}},
		{name: "another prefix", end: kill, routes: []conf.Route{scoreRoute, prefix}},
		{name: "another prefix, a planned stop", end: stopPlanned, routes: []conf.Route{scoreRoute, prefix}},
		{name: "another host", end: kill, routes: []conf.Route{scoreRoute, changed(route, func(ro *conf.Route) { ro.Host = "g" })}},
		{name: "removed", end: stopPlanned, routes: []conf.Route{scoreRoute}},
		{name: "removed, the owner stays", end: stays, routes: []conf.Route{scoreRoute}},
		{name: "another name", end: kill, routes: []conf.Route{scoreRoute, changed(route, func(ro *conf.Route) { ro.Name = "learn" })}},
		{name: "another prefix, and a plain route has the path", end: stopPlanned, routes: []conf.Route{scoreRoute, prefix, plain}},
		{name: "removed, and a plain route has the path", end: kill, routes: []conf.Route{scoreRoute, plain}},
		{name: "removed, and its name was given to another route", end: kill, routes: []conf.Route{scoreRoute, other}},
		{name: "removed, and all scoring calls' routes", end: kill},
		{name: "the route of the scoring calls has another prefix", end: kill, routes: []conf.Route{changed(scoreRoute, func(ro *conf.Route) { ro.Prefix = "/score-2/" }), route}},
		{name: "a route of jobs has the path of the scoring calls", end: stays, routes: []conf.Route{route, changed(route, func(ro *conf.Route) { ro.Name, ro.Prefix = "x", "/score/" })}},
		{name: "removed, and it comes back", end: kill, routes: []conf.Route{scoreRoute}, then: []conf.Route{scoreRoute, route}},
		{name: "another prefix, then removed", end: stopPlanned, routes: []conf.Route{scoreRoute, prefix}, then: []conf.Route{scoreRoute}},
		{name: "another prefix, then another name", end: kill, routes: []conf.Route{scoreRoute, prefix}, then: []conf.Route{scoreRoute, changed(prefix, func(ro *conf.Route) { ro.Name = "learn" })}},
		{name: "nothing", end: kill, routes: []conf.Route{scoreRoute, route}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3)
				defer cl.stop()
				cl.sender.down = map[string]bool{"lm1": true, "lm2": true, "lm3": true} // for scoring calls
				jo := job("j1", tc.end.groups)
				require.Nil(t, cl.submit(0, jo))
				time.Sleep(500 * time.Millisecond)
				cl.setRoutes(2, tc.routes...)
				if tc.then != nil {
					time.Sleep(300 * time.Millisecond)
					cl.setRoutes(3, tc.then...)
				}
				time.Sleep(500 * time.Millisecond)
				owner := cl.owner("j1")
				tc.end.do(cl, owner)
				node := (owner + 1) % 3
				accepted, failed := cl.entries[node].Accepted(context.Background(), "h", "/train/x", "", "j1")
				require.Nil(t, failed)
				require.True(t, accepted, "the same submission again")
				time.Sleep(29 * time.Second)
				cl.requireComplete(node, jo)
			})
		})
	}
}

// Guards against a job that goes on with other limits than it was accepted with.
func TestJobKeepsItsTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		jo := job("j1", 30)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(500 * time.Millisecond)
		cl.setRoutes(2, scoreRoute, changed(route, func(ro *conf.Route) { ro.ItemTTL = time.Second }))
		cl.kill(cl.owner("j1"))
		time.Sleep(19 * time.Second)
		cl.requireComplete(cl.live(), jo)
	})
}

// Guards against an entry that refuses a job since its configuration is a version ahead of or
// behind that of the entry that accepted the job.
func TestHandedOverJobNeedsNoRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		jo := job("j1", 1)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(10 * time.Second)
		ledger := batch.Ledger{Store: cl.rows}
		body, err := ledger.Body(context.Background(), "j1")
		require.NoError(t, err)
		body.ID = "j2"
		cl.setRoutes(2)
		time.Sleep(time.Second)
		vh, err := ledger.Accept(context.Background(), body, batch.Head{Epoch: 1, Owner: "elsewhere", Total: len(body.Items), Route: route.Name})
		require.NoError(t, err)
		_, err = cl.entries[1].Start(context.Background(), &wire.StartRequest{
			Job: "j2", Body: batch.EncodeJob(body), Head: batch.EncodeHead(vh.Head), Version: vh.Version,
		})
		require.NoError(t, err)
		require.True(t, cl.entries[1].Owns("j2"))
	})
}

// Guards against jobs that the release before accepted and that are not run on after an upgrade,
// also if their route got another prefix.
func TestJobOfEarlierReleaseIsAdopted(t *testing.T) {
	for name, routes := range map[string][]conf.Route{
		"unchanged":      {scoreRoute, route},
		"another prefix": {scoreRoute, changed(route, func(ro *conf.Route) { ro.Prefix = "/train-2/" })},
		"a plain route has the path": {scoreRoute, changed(route, func(ro *conf.Route) { ro.Prefix = "/train-2/" }), changed(scoreRoute, func(ro *conf.Route) {
			ro.Name, ro.Prefix = "plain", "/train/"
		})},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 2)
				defer cl.stop()
				cl.setRoutes(2, routes...)
				time.Sleep(time.Second)
				jo := job("j1", 3)
				_, err := batch.Ledger{Store: cl.rows}.Accept(context.Background(), jo, batch.Head{Epoch: 1, Owner: "dead", Total: len(jo.Items), Route: route.Name})
				require.NoError(t, err)
				time.Sleep(20 * time.Second)
				cl.requireComplete(0, jo)
			})
		})
	}
}

// Guards against an unknown job that counts as accepted, one of another path or workspace, and a
// wrong answer while the store cannot say whether the job exists.
func TestResubmittedJobIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		secret := conf.Workspace{Name: "w", Keys: []string{"k"}}
		withKeys := func(version uint64, all ...conf.Route) {
			cl.config.Store(conf.New(version, all, nil, conf.Limits{}).WithWorkspaces([]conf.Workspace{secret, {Name: "v", Keys: []string{"l"}}}))
			cl.put(operatorTable, "config")
			time.Sleep(time.Second)
		}
		withKeys(2, scoreRoute, route)
		jo := job("j1", 1)
		jo.Workspace = "w"
		require.Nil(t, cl.submit(0, jo))
		public := job("j2", 1)
		require.Nil(t, cl.entries[0].Submit(context.Background(), public, changed(route, func(ro *conf.Route) { ro.Public = true })))
		withKeys(3, scoreRoute)
		ask := func(path, key, id string) (bool, core.Code) {
			accepted, failed := cl.entries[1].Accepted(context.Background(), "h", path, key, id)
			if failed != nil {
				return accepted, failed.Code
			}
			return accepted, ""
		}
		for _, tc := range []struct {
			path, key, id string
			accepted      bool
			code          core.Code
		}{
			{"/train/x", "k", "j1", true, ""},
			{"/train/y", "k", "j1", false, ""},
			{"/train/x", "k", "j3", false, ""},
			{"/train/x", "l", "j1", true, core.CodeUnknownJob},
			{"/train/x", "", "j1", true, core.CodeUnauthorized},
			{"/train/x", "", "j2", true, ""},
		} {
			accepted, code := ask(tc.path, tc.key, tc.id)
			require.Equal(t, tc.code, code, "%+v", tc)
			require.Equal(t, tc.accepted, accepted, "%+v", tc)
		}
		require.Nil(t, cl.entries[1].CheckJob(context.Background(), "h", "", "j2"), "a job of a public route that was removed is read without a key")
		cl.links[1].setError(table.ErrRefused)
		cl.relay.setError(table.ErrRefused)
		time.Sleep(5 * time.Second)
		_, code := ask("/train/x", "k", "j3")
		require.Equal(t, core.CodePlatformDown, code, "another entry may just have accepted it")
		cl.links[1].setError(nil)
		cl.relay.setError(nil)
		time.Sleep(12 * time.Second)
		cl.links[1].setError(table.ErrRefused)
		cl.relay.setError(table.ErrRefused)
		accepted, code := ask("/train/x", "k", "j3")
		require.Empty(t, code, "all jobs of the route are known")
		require.False(t, accepted)
	})
}

// Guards against a step that stays on a service that its route and its engines have left, and
// against texts of two services that are joined when it follows them.
func TestJobFollowsItsRoute(t *testing.T) {
	moved := changed(route, func(ro *conf.Route) { ro.Shares = []conf.Share{{Service: "lmb", Weight: 1}} })
	for _, tc := range []struct {
		name  string
		route conf.Route
		end   endOwner
		// stays is set if the engines do not leave.
		stays bool
	}{
		{"the owner stays", moved, stays, false},
		{"the owner ends", moved, kill, false},
		{"another prefix too", changed(moved, func(ro *conf.Route) { ro.Prefix = "/train-2/" }), kill, false},
		{"the engines stay", moved, kill, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3)
				defer cl.stop()
				jo := job("j1", 60)
				require.Nil(t, cl.submit(0, jo))
				time.Sleep(500 * time.Millisecond)
				cl.setRoutes(2, scoreRoute, tc.route)
				for _, id := range []string{"lmb1", "lmb2", "lmb3"} {
					cl.put(targetTable, id)
				}
				time.Sleep(1500 * time.Millisecond)
				if !tc.stays {
					for _, id := range []string{"lm1", "lm2", "lm3"} {
						cl.drop(targetTable, id)
					}
				}
				tc.end.do(cl, cl.owner("j1"))
				time.Sleep(25 * time.Second)
				cl.requireComplete(cl.live(), jo)
				both := map[string]int{}
				for _, it := range jo.Items {
					services := cl.engines.services[it.ID]
					require.Len(t, services, 1, "the text of %s is of two services", it.ID)
					for service := range services {
						both[service]++
					}
				}
				require.Equal(t, tc.stays, both["lmb"] == 0, "an open job goes on at its service while that has engines")
			})
		})
	}
}
