// Package trial puts the whole system up in one process on loopback, with
// stand-ins around it, for the demonstration and for tests.
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

// The tokens of a world.
const (
	OperatorToken = "operator-demo"
	TrainerToken  = "trainer-demo"
	CallerToken   = "caller-demo"
	NodeToken     = "node-demo"
)

// Cluster is a system with its surroundings. Make it with New, end it with Close.
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
	// Addr is where entries and guards reach it, URL where callers do.
	Addr string
	URL  string
}

// Target is a stand-in with the guard beside it.
type Target struct {
	Engine  *fake.Engine
	Service *fake.Service
	// Guard is the present guard; its settings are kept for a restart.
	Guard    *Node
	Settings setup.Guard

	addr   string
	server *server.Server
}

// New starts a platform. The logger may be nil.
func New(lg log.Logger) (*Cluster, error) {
	if lg == nil {
		lg = log.NewNopLogger()
	}
	wo := &Cluster{Platform: &fake.Platform{}, Logger: lg, targets: map[string]*Target{}, entries: map[string]*Node{}}
	se, err := wo.serve(wo.Platform.Handler(), "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wo.platformURL = "http://" + se.Addr()
	wo.closers = append(wo.closers, se.Abort)
	return wo, nil
}

func (wo *Cluster) serve(handler http.Handler, addr string) (*server.Server, error) {
	se := &server.Server{Handler: handler}
	if err := se.Listen(addr); err != nil {
		return nil, err
	}
	go se.Run() // ends with the world
	return se, nil
}

// longTimeout is long enough for a busy machine: in a world, what has died
// refuses connections, so nothing waits for it.
const longTimeout = 5 * time.Second

// platformSettings is the settings of the platform with short time limits.
func (wo *Cluster) platformSettings() setup.Platform {
	pl := setup.DefaultEntry().Platform
	pl.TablesURL, pl.ObjectsURL, pl.InstancesURL = wo.platformURL, wo.platformURL+"/objects", wo.platformURL+"/instances"
	pl.Timeout = setup.Duration(longTimeout)
	return pl
}

// AddTarget starts a stand-in and its guard. Exactly one of engine and service
// is set; change may alter the guard's settings.
func (wo *Cluster) AddTarget(name, service, domain string, en *fake.Engine, sv *fake.Service, change func(se *setup.Guard)) (*Target, error) {
	ta := &Target{Engine: en, Service: sv, addr: "127.0.0.1:0"}
	if err := wo.startTarget(ta); err != nil {
		return nil, err
	}
	region, _, _ := strings.Cut(domain, "-")
	se := setup.DefaultGuard()
	se.Target, se.Service, se.Listen = name, service, "127.0.0.1:0"
	se.Place = setup.Place{Region: region, FailureDomain: domain}
	se.Platform = wo.platformSettings()
	se.Token = setup.Token{Name: name, Role: setup.Node, Token: NodeToken}
	se.Engine = setup.Engine{URL: "http://" + ta.addr, Model: en != nil, Fenced: true}
	se.Timing.HealthEvery = setup.Duration(100 * time.Millisecond)
	se.Timing.HealthTimeout = setup.Duration(longTimeout)
	if change != nil {
		change(&se)
	}
	ta.Settings = se
	wo.mutex.Lock()
	wo.targets[name] = ta
	wo.mutex.Unlock()
	if err := wo.StartGuard(name); err != nil {
		return nil, err
	}
	return ta, nil
}

// startTarget serves the stand-in; a crash takes its server down.
func (wo *Cluster) startTarget(ta *Target) error {
	var handler http.Handler
	if ta.Engine != nil {
		ta.Engine.Crash = func() { ta.server.Abort() }
		handler = ta.Engine.Handler()
	} else {
		ta.Service.Crash = func() { ta.server.Abort() }
		handler = ta.Service.Handler()
	}
	se, err := wo.serve(handler, ta.addr)
	if err != nil {
		return err
	}
	ta.server, ta.addr = se, se.Addr()
	return nil
}

// RestartTarget brings a crashed stand-in back at its address.
func (wo *Cluster) RestartTarget(name string) error { return wo.startTarget(wo.Target(name)) }

// Up reports whether the stand-in of a target takes connections.
func (ta *Target) Up() bool {
	conn, err := net.DialTimeout("tcp", ta.addr, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Target finds a target.
func (wo *Cluster) Target(name string) *Target {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	return wo.targets[name]
}

// StartGuard starts the guard of a target, at its former address if its
// settings have kept it, and tells the platform.
func (wo *Cluster) StartGuard(name string) error {
	ta := wo.Target(name)
	da, err := boot.Guard(ta.Settings, wo.Logger)
	if err != nil {
		return err
	}
	no := startNode(da)
	no.Addr = da.Servers[0].Addr()
	ta.Settings.Listen = no.Addr
	ta.Guard = no
	wo.publishInstances()
	return nil
}

func startNode(da boot.Daemon) *Node {
	for _, se := range da.Servers {
		go se.Run() // ends with the world
	}
	go da.Runner.Run() // ends with the world
	return &Node{Daemon: da}
}

// Kill takes a node's servers down at once, as a crash would.
func (no *Node) Kill() {
	for _, se := range no.Servers {
		se.Abort()
	}
}

// Drain stops a node as a signal would, and takes its servers down when it is
// done.
func (no *Node) Drain() {
	no.Runner.Stop()
	<-no.Runner.Done()
	no.Kill()
}

// AddEntry starts an entry; change may alter its settings.
func (wo *Cluster) AddEntry(name, domain string, change func(se *setup.Entry)) (*Node, error) {
	region, _, _ := strings.Cut(domain, "-")
	se := setup.DefaultEntry()
	se.Name, se.Listen, se.InnerListen = name, "127.0.0.1:0", "127.0.0.1:0"
	se.Place = setup.Place{Region: region, FailureDomain: domain}
	se.Platform = wo.platformSettings()
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
	if change != nil {
		change(&se)
	}
	da, err := boot.Entry(se, wo.Logger)
	if err != nil {
		return nil, err
	}
	no := startNode(da)
	no.URL, no.Addr = "http://"+da.Servers[0].Addr(), da.Servers[1].Addr()
	wo.mutex.Lock()
	wo.entries[name] = no
	wo.mutex.Unlock()
	wo.publishInstances()
	return no, nil
}

// publishInstances tells the platform which instances there are.
func (wo *Cluster) publishInstances() {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	var instances []store.Instance
	for na, ta := range wo.targets {
		if ta.Guard == nil {
			continue
		}
		instances = append(instances, store.Instance{
			Name: na, Role: store.RoleGuard, Service: ta.Settings.Service, Region: ta.Settings.Place.Region,
			Domain: ta.Settings.Place.FailureDomain, Addr: ta.Guard.Addr, State: core.Serving,
		})
	}
	for na, no := range wo.entries {
		instances = append(instances, store.Instance{Name: na, Role: store.RoleEntry, Addr: no.Addr, State: core.Serving})
	}
	wo.Platform.SetInstances(instances)
}

// Close drains what runs and ends everything.
func (wo *Cluster) Close() {
	// Guards first, all at once: each waits until the entries know that it leaves.
	for _, ta := range wo.targets {
		ta.Guard.Runner.Stop()
	}
	for _, ta := range wo.targets {
		<-ta.Guard.Runner.Done()
		ta.Guard.Kill()
		ta.server.Abort()
	}
	for _, no := range wo.entries {
		no.Runner.Stop()
		<-no.Runner.Done()
		no.Kill()
	}
	for _, cl := range wo.closers {
		cl()
	}
}
