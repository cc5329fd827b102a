package setup

import "fmt"

// NodeSettings holds the settings of a process that runs on the platform: an entry, or the
// guard of an engine. The platform renders the file from a template in deploy.
type NodeSettings struct {
	Name     string     `toml:"name"`
	Place    Place      `toml:"place"`
	Listen   NodeListen `toml:"listen"`
	Store    NodeStore  `toml:"store"`
	Instance Instance   `toml:"instance"`
	Engine   NodeEngine `toml:"engine"`
	Timing   NodeTiming `toml:"timing"`
	Limits   NodeLimits `toml:"limits"`
	Duties   NodeDuties `toml:"duties"`
	Start    NodeStart  `toml:"start"`
}

// NodeStart tells how a process starts.
type NodeStart struct {
	// First is set when the whole system starts for the first time.
	First bool `toml:"first"`
}

// NodeListen holds the addresses on which a process serves requests. A guard serves only
// metrics.
type NodeListen struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Inner     string `toml:"inner"`
	Metrics   string `toml:"metrics"`
}

// NodeStore holds the address of the platform's metadata store.
type NodeStore struct {
	Address string `toml:"address"`
}

// Instance holds the memory and the CPU cores that the process may use.
type Instance struct {
	Memory Size    `toml:"memory"`
	Cores  float64 `toml:"cores"`
	// Descriptors is how many descriptors the process may open; zero means the limit of the
	// operating system.
	Descriptors int `toml:"descriptors"`
}

// NodeEngine describes the engine of a guard.
type NodeEngine struct {
	Address string `toml:"address"`
	Service string `toml:"service"`
}

// NodeTiming holds the time limits of a process.
type NodeTiming struct {
	// Grace is the time between a stop signal and the end of the process.
	Grace Duration `toml:"grace"`
}

// NodeLimits holds the largest sizes that are read of responses of targets and of the
// store, so that one that sends without end costs bounded memory, and of what a target
// holds for this process. A missing limit has the
// default that OPERATIONS.md lists.
type NodeLimits struct {
	// MaxHead is the largest head of a response.
	MaxHead Size `toml:"max-head"`
	// MaxBody is the largest body of a response to a plain request.
	MaxBody Size `toml:"max-body"`
	// MaxEvent is the largest event of a stream, MaxText the largest text of an item.
	MaxEvent Size `toml:"max-event"`
	MaxText  Size `toml:"max-text"`
	// MaxPage is the largest response of the store.
	MaxPage Size `toml:"max-page"`
	// MaxHeldBytes is the most that the bodies of the requests in flight to one target take.
	MaxHeldBytes Size `toml:"max-held-bytes"`
}

// The least permitted limits: below them, proper responses would be refused. A page of the
// store has 1 MB of values.
const (
	minMaxHead  Size = 4 << 10
	minMaxBody  Size = 64 << 10
	minMaxEvent Size = 4 << 10
	minMaxText  Size = 64 << 10
	minMaxPage  Size = 2 << 20
	// A dozen requests in flight to a target have long prompts of some tens of KiB each.
	minMaxHeldBytes Size = 1 << 20
)

func (no NodeLimits) check(ch *checker) {
	for _, li := range []struct {
		key       string
		got, from Size
	}{
		{"limits.max-head", no.MaxHead, minMaxHead},
		{"limits.max-body", no.MaxBody, minMaxBody},
		{"limits.max-event", no.MaxEvent, minMaxEvent},
		{"limits.max-text", no.MaxText, minMaxText},
		{"limits.max-page", no.MaxPage, minMaxPage},
		{"limits.max-held-bytes", no.MaxHeldBytes, minMaxHeldBytes},
	} {
		ch.require(li.got == 0 || li.got >= li.from, li.key, "must be at least "+li.from.String())
	}
}

// minDescriptors is the least number of descriptors of a process, of which some are for files.
const minDescriptors = 256

// ReadNodeEntry reads and checks the settings of an entry on the platform.
func ReadNodeEntry(file string) (NodeSettings, error) {
	return readNode(file, func(no NodeSettings, ch *checker) {
		ch.address(no.Listen.Callers, "listen.callers")
		ch.address(no.Listen.Readiness, "listen.readiness")
		ch.address(no.Listen.Inner, "listen.inner")
		no.Duties.check(ch)
	})
}

// ReadNodeGuard reads and checks the settings of a guard on the platform.
func ReadNodeGuard(file string) (NodeSettings, error) {
	return readNode(file, func(no NodeSettings, ch *checker) {
		ch.address(no.Engine.Address, "engine.address")
		ch.require(no.Engine.Service != "", "engine.service", "is missing; set it to the service of the engine")
	})
}

func readNode(file string, check func(NodeSettings, *checker)) (NodeSettings, error) {
	var no NodeSettings
	ch, err := read(file, &no)
	if err != nil {
		return no, err
	}
	ch.require(no.Name != "", "name", "is missing")
	no.Place.check(ch)
	ch.address(no.Listen.Metrics, "listen.metrics")
	ch.address(no.Store.Address, "store.address")
	ch.require(no.Instance.Memory > 0, "instance.memory", "must be more than 0B")
	ch.require(no.Instance.Descriptors == 0 || no.Instance.Descriptors >= minDescriptors, "instance.descriptors", fmt.Sprintf("must be at least %d", minDescriptors))
	ch.require(no.Instance.Cores > 0, "instance.cores", "must be more than 0")
	ch.require(no.Timing.Grace > 0, "timing.grace", "must be more than 0s")
	no.Limits.check(ch)
	check(no, ch)
	return no, ch.result()
}
