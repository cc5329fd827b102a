// Package trial runs the whole system in one process on loopback, with a fake
// platform, fake engines and fake services, for the demonstration and for tests.
package trial

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"bilberryshelf/boot"
	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/server"
	"bilberryshelf/setup"
	"bilberryshelf/store"
)

// Tokens of the four roles in a cluster.
const (
	OperatorToken = "operator-demo"
	TrainerToken  = "trainer-demo"
	CallerToken   = "caller-demo"
	NodeToken     = "node-demo"
)

// Cluster is a running system with its fakes. Create it with New and stop it
// with Close.
type Cluster struct {
	Platform *fake.Platform
	Logger   log.Logger

	platformURL string
	mutex       sync.Mutex
	targets     map[string]*Target
	entries     map[string]*Node
	closers     []func()
}

// Node is a running entry or guard.
type Node struct {
	boot.Daemon
	// Addr is its address for entries and guards, URL its base URL for callers.
	Addr string
	URL  string
}

// Target is a fake engine or a fake service with its guard.
type Target struct {
	Engine  *fake.Engine
	Service *fake.Service
	// Guard is the running guard. Settings are its settings, used again by a
	// restart.
	Guard    *Node
	Settings setup.Guard

	addr   string
	server *server.Server
}

// New starts a cluster that has only a platform. A nil logger discards the logs.
func New(lg log.Logger) (*Cluster, error) {
	if lg == nil {
		lg = log.NewNopLogger()
	}
	cl := &Cluster{Platform: &fake.Platform{}, Logger: lg, targets: map[string]*Target{}, entries: map[string]*Node{}}
	se, err := cl.serve(cl.Platform.Handler(), "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cl.platformURL = "http://" + se.Addr()
	cl.closers = append(cl.closers, se.Abort)
	return cl, nil
}

func (cl *Cluster) serve(handler http.Handler, addr string) (*server.Server, error) {
	se := &server.Server{Handler: handler}
	if err := se.Listen(addr); err != nil {
		return nil, err
	}
	go se.Run() // returns when the cluster closes
	return se, nil
}

// longTimeout is long enough for a busy machine. It slows no test down: a
// stopped node refuses connections, so no call to it waits for the timeout.
const longTimeout = 5 * time.Second

// platformSettings returns the settings that point to the fake platform.
func (cl *Cluster) platformSettings() setup.Platform {
	pl := setup.DefaultEntry().Platform
	pl.TablesURL, pl.ObjectsURL, pl.InstancesURL = cl.platformURL, cl.platformURL+"/objects", cl.platformURL+"/instances"
	pl.Timeout = setup.Duration(longTimeout)
	return pl
}

// AddTarget starts a fake and its guard. Exactly one of en and sv is set.
// Configure, if not nil, changes the guard's settings before it starts.
func (cl *Cluster) AddTarget(name, service, domain string, en *fake.Engine, sv *fake.Service, configure func(se *setup.Guard)) (*Target, error) {
	ta := &Target{Engine: en, Service: sv, addr: "127.0.0.1:0"}
	if err := cl.startTarget(ta); err != nil {
		return nil, err
	}
	region, _, _ := strings.Cut(domain, "-")
	se := setup.DefaultGuard()
	se.Target, se.Service, se.Listen = name, service, "127.0.0.1:0"
	se.Place = setup.Place{Region: region, FailureDomain: domain}
	se.Platform = cl.platformSettings()
	se.Token = setup.Token{Name: name, Role: setup.Node, Token: NodeToken}
	se.Engine = setup.Engine{URL: "http://" + ta.addr, Model: en != nil, Fenced: true}
	se.Timing.HealthEvery = setup.Duration(100 * time.Millisecond)
	se.Timing.HealthTimeout = setup.Duration(longTimeout)
	if configure != nil {
		configure(&se)
	}
	ta.Settings = se
	cl.mutex.Lock()
	cl.targets[name] = ta
	cl.mutex.Unlock()
	if err := cl.StartGuard(name); err != nil {
		return nil, err
	}
	return ta, nil
}

// startTarget starts the server of a fake. A crash of the fake closes the server.
func (cl *Cluster) startTarget(ta *Target) error {
	var handler http.Handler
	if ta.Engine != nil {
		ta.Engine.Crash = func() { ta.server.Abort() }
		handler = ta.Engine.Handler()
	} else {
		ta.Service.Crash = func() { ta.server.Abort() }
		handler = ta.Service.Handler()
	}
	se, err := cl.serve(handler, ta.addr)
	if err != nil {
		return err
	}
	ta.server, ta.addr = se, se.Addr()
	return nil
}

// RestartTarget starts a crashed fake again at its address.
func (cl *Cluster) RestartTarget(name string) error { return cl.startTarget(cl.Target(name)) }

// Up reports whether the fake accepts connections.
func (ta *Target) Up() bool {
	conn, err := net.DialTimeout("tcp", ta.addr, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Target returns a target by its name, or nil.
func (cl *Cluster) Target(name string) *Target {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.targets[name]
}

// StartGuard starts the guard of a target and adds it to the platform's list of
// instances. A restarted guard gets its previous address unless Settings.Listen
// was changed.
func (cl *Cluster) StartGuard(name string) error {
	ta := cl.Target(name)
	da, err := boot.Guard(ta.Settings, cl.Logger)
	if err != nil {
		return err
	}
	no := startNode(da)
	no.Addr = da.Servers[0].Addr()
	ta.Settings.Listen = no.Addr
	ta.Guard = no
	cl.publishInstances()
	return nil
}

func startNode(da boot.Daemon) *Node {
	for _, se := range da.Servers {
		go se.Run() // returns when the cluster closes
	}
	go da.Runner.Run() // returns when the cluster closes
	return &Node{Daemon: da}
}

// Kill closes the servers of a node without a drain, as a crash would.
func (no *Node) Kill() {
	for _, se := range no.Servers {
		se.Abort()
	}
}

// Drain stops a node as SIGTERM would, and closes its servers once it has
// drained.
func (no *Node) Drain() {
	no.Runner.Stop()
	<-no.Runner.Done()
	no.Kill()
}

// AddEntry starts an entry. Configure, if not nil, changes its settings before
// it starts.
func (cl *Cluster) AddEntry(name, domain string, configure func(se *setup.Entry)) (*Node, error) {
	region, _, _ := strings.Cut(domain, "-")
	se := setup.DefaultEntry()
	se.Name, se.Listen, se.InnerListen = name, "127.0.0.1:0", "127.0.0.1:0"
	se.Place = setup.Place{Region: region, FailureDomain: domain}
	se.Platform = cl.platformSettings()
	se.Timing.DrainDelay = 0
	se.Timing.HelloEvery = setup.Duration(100 * time.Millisecond)
	se.Timing.HelloTimeout = setup.Duration(longTimeout)
	se.Timing.SettleTimeout = setup.Duration(longTimeout)
	se.Timing.SpreadEvery = setup.Duration(100 * time.Millisecond)
	se.Timing.PollEvery = setup.Duration(500 * time.Millisecond)
	se.Timing.ListEvery = setup.Duration(200 * time.Millisecond)
	se.Tokens = []setup.Token{
		{Name: "planner", Role: setup.Operator, Token: OperatorToken},
		{Name: "chemists", Role: setup.Trainer, Token: TrainerToken},
		{Name: "sales-desk", Role: setup.Caller, Token: CallerToken},
		{Name: "nodes", Role: setup.Node, Token: NodeToken},
	}
	if configure != nil {
		configure(&se)
	}
	da, err := boot.Entry(se, cl.Logger)
	if err != nil {
		return nil, err
	}
	no := startNode(da)
	no.URL, no.Addr = "http://"+da.Servers[0].Addr(), da.Servers[1].Addr()
	cl.mutex.Lock()
	cl.entries[name] = no
	cl.mutex.Unlock()
	cl.publishInstances()
	return no, nil
}

// publishInstances sets the platform's list of instances.
func (cl *Cluster) publishInstances() {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	var instances []store.Instance
	for na, ta := range cl.targets {
		if ta.Guard == nil {
			continue
		}
		instances = append(instances, store.Instance{
			Name: na, Role: store.RoleGuard, Service: ta.Settings.Service, Region: ta.Settings.Place.Region,
			Domain: ta.Settings.Place.FailureDomain, Addr: ta.Guard.Addr, State: core.Serving,
		})
	}
	for na, no := range cl.entries {
		instances = append(instances, store.Instance{Name: na, Role: store.RoleEntry, Addr: no.Addr, State: core.Serving})
	}
	cl.Platform.SetInstances(instances)
}

// Close drains all nodes and stops the cluster.
func (cl *Cluster) Close() {
	// Guards first, and all at the same time: each waits until the entries know
	// that it is leaving.
	for _, ta := range cl.targets {
		ta.Guard.Runner.Stop()
	}
	for _, ta := range cl.targets {
		<-ta.Guard.Runner.Done()
		ta.Guard.Kill()
		ta.server.Abort()
	}
	for _, no := range cl.entries {
		no.Runner.Stop()
		<-no.Runner.Done()
		no.Kill()
	}
	for _, closer := range cl.closers {
		closer()
	}
}
