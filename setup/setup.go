// Package setup reads the settings of the daemons from TOML, merges them with the
// defaults, and validates all of them before anything starts.
package setup

import (
	"os"
	"time"
)

// Role defines what the holder of a token may do.
type Role string

// The roles.
const (
	Operator Role = "operator"
	Trainer  Role = "trainer"
	Caller   Role = "caller"
	// Node allows the calls between entries and guards.
	Node Role = "node"
)

// Token authenticates its holder by name. Either Token or TokenEnv is set; TokenEnv is the
// name of an environment variable.
type Token struct {
	Name     string `toml:"name"`
	Role     Role   `toml:"role"`
	Token    string `toml:"token"`
	TokenEnv string `toml:"token-env"`
}

// Secret returns the value of the environment variable that TokenEnv names, or Token if
// TokenEnv is empty.
func (to Token) Secret() string {
	if to.TokenEnv != "" {
		return os.Getenv(to.TokenEnv)
	}
	return to.Token
}

// Platform holds the addresses and credentials of the platform's services. SecretEnv is
// the name of the environment variable that holds the secret key; if it is empty, KeyID
// is also the secret key.
type Platform struct {
	TablesURL    string   `toml:"tables-url"`
	Table        string   `toml:"table"`
	ObjectsURL   string   `toml:"objects-url"`
	Bucket       string   `toml:"bucket"`
	InstancesURL string   `toml:"instances-url"`
	KeyID        string   `toml:"key-id"`
	SecretEnv    string   `toml:"secret-env"`
	Timeout      Duration `toml:"timeout"`
}

// Place is the location of an instance.
type Place struct {
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure-domain"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Name string `toml:"name"`
	// Listen is the address for callers, trainers and operators; InnerListen is the
	// address for other entries and guards.
	Listen      string      `toml:"listen"`
	InnerListen string      `toml:"inner-listen"`
	Place       Place       `toml:"place"`
	Platform    Platform    `toml:"platform"`
	Tokens      []Token     `toml:"tokens"`
	Limits      EntryLimits `toml:"limits"`
	Timing      EntryTiming `toml:"timing"`
	Sample      SamplePlan  `toml:"sample"`
}

// EntryLimits holds the limits of an entry.
type EntryLimits struct {
	MaxBody        Size `toml:"max-body"`
	MaxHeader      Size `toml:"max-header"`
	MaxConnections int  `toml:"max-connections"`
	// ConnectionMemory and InnerConnectionMemory bound what the connections of callers, and
	// of other entries and guards, take with the heads of their requests.
	ConnectionMemory      Size `toml:"connection-memory"`
	InnerConnectionMemory Size `toml:"inner-connection-memory"`
	// QueueDepth and MostInFlight are the maximum numbers of queued requests and of
	// requests in flight, per service.
	QueueDepth   int `toml:"queue-depth"`
	MostInFlight int `toml:"most-in-flight"`
	// SubsetSize is about the number of targets of each service that the entry uses; zero
	// means all.
	SubsetSize int `toml:"subset-size"`
	// LinkRate is the maximum number of bytes per second that this entry may send to
	// other regions; 0B means no limit.
	LinkRate Size `toml:"link-rate"`
	// RetryShare is the maximum ratio of retries to first attempts, averaged over the
	// load of the entry.
	RetryShare float64 `toml:"retry-share"`
	// Attempts is the maximum number of attempts of a request.
	Attempts int `toml:"attempts"`
	// MaxTokens is the maximum number of tokens that a completion or a sample may request.
	MaxTokens int `toml:"max-tokens"`
}

// EntryTiming holds the intervals and timeouts of an entry.
type EntryTiming struct {
	// HelloEvery is the time between two heartbeats to a guard.
	HelloEvery   Duration `toml:"hello-every"`
	HelloTimeout Duration `toml:"hello-timeout"`
	// SpreadEvery is the time between two gossip rounds.
	SpreadEvery Duration `toml:"spread-every"`
	// PollEvery and ListEvery are the times between two reads of the platform's head row
	// and of its instance list.
	PollEvery Duration `toml:"poll-every"`
	ListEvery Duration `toml:"list-every"`
	// StartWithin is the time within which an attempt must start at a guard.
	StartWithin Duration `toml:"start-within"`
	// SettleTimeout limits a query to a guard for the outcome of an attempt or a key.
	SettleTimeout  Duration `toml:"settle-timeout"`
	DefaultTimeout Duration `toml:"default-timeout"`
	// KeyHold is how long guards remember an idempotency key that a caller chose.
	KeyHold Duration `toml:"key-hold"`
	// ReadTimeout limits the time to read the header of a request, and then its body.
	ReadTimeout Duration `toml:"read-timeout"`
	// PoisonLapse is how long a target's death counts against the requests that were in
	// flight at it.
	PoisonLapse Duration `toml:"poison-lapse"`
	// DrainDelay is the minimum time between a stop signal and the end of the process.
	DrainDelay Duration `toml:"drain-delay"`
}

// SamplePlan defines how samples are generated.
type SamplePlan struct {
	// Window is the maximum number of runs in progress of a step.
	Window int `toml:"window"`
	// ExtraShare is the maximum number of extra runs of stragglers, as a share of the
	// slots of a step.
	ExtraShare float64 `toml:"extra-share"`
	// ExtraAfter is the multiple of the typical duration that a run must exceed before an
	// extra run starts.
	ExtraAfter float64 `toml:"extra-after"`
}

// Guard holds the settings of a guard.
type Guard struct {
	// Target is the name of the guard's target.
	Target   string      `toml:"target"`
	Service  string      `toml:"service"`
	Listen   string      `toml:"listen"`
	Place    Place       `toml:"place"`
	Platform Platform    `toml:"platform"`
	Token    Token       `toml:"token"`
	Engine   Engine      `toml:"engine"`
	Limits   GuardLimits `toml:"limits"`
	Timing   GuardTiming `toml:"timing"`
}

// Engine describes the guard's target and how to reach it.
type Engine struct {
	URL string `toml:"url"`
	// Model is set if the target is a model engine, not a plain service.
	Model bool `toml:"model"`
	// Fenced is set if the target refuses orders with an old fencing token.
	Fenced bool `toml:"fenced"`
	// LateReports is set if the engine still reports the old version for some time after
	// a swap of the weights, so that samples in progress during a swap get no labels.
	LateReports bool `toml:"late-reports"`
}

// GuardLimits holds the limits of a guard.
type GuardLimits struct {
	// Capacity is the maximum number of runs in progress on the target.
	Capacity int `toml:"capacity"`
	// AnswerSpace and MaxAnswer are the maximum sizes of all stored answers together and
	// of one stored answer.
	AnswerSpace Size `toml:"answer-space"`
	MaxAnswer   Size `toml:"max-answer"`
	// LoadRate is the number of loads per second that the weight store serves to all
	// targets together.
	LoadRate float64 `toml:"load-rate"`
	// LoadShare is the maximum share of a service's targets that swap weights at once.
	LoadShare float64 `toml:"load-share"`
	// ConnectionMemory bounds what connections take with the heads of their requests.
	ConnectionMemory Size `toml:"connection-memory"`
}

// GuardTiming holds the intervals and timeouts of a guard.
type GuardTiming struct {
	// Grace is how long an attempt is remembered after its deadline.
	Grace Duration `toml:"grace"`
	// KeyHold is the maximum time for which an idempotency key is remembered.
	KeyHold    Duration `toml:"key-hold"`
	LongestRun Duration `toml:"longest-run"`
	// LongestOrder is the maximum time until an order to the target has taken effect.
	LongestOrder Duration `toml:"longest-order"`
	// LostContact is the time without a hello of any entry after which loans with the
	// policy loan.RefuseNewWork admit no new work.
	LostContact Duration `toml:"lost-contact"`
	// ClockSkew is the maximum difference between the clocks of two instances.
	ClockSkew     Duration `toml:"clock-skew"`
	HealthEvery   Duration `toml:"health-every"`
	HealthTimeout Duration `toml:"health-timeout"`
	// DrainNotice is the maximum time that a draining guard waits until its entries know
	// of it. The default covers two hellos of an entry and one second.
	DrainNotice Duration `toml:"drain-notice"`
}

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() Entry {
	return Entry{
		Platform: defaultPlatform(),
		Limits: EntryLimits{
			MaxBody: 8 << 20, MaxHeader: 64 << 10, MaxConnections: 10000, ConnectionMemory: 512 << 20, InnerConnectionMemory: 128 << 20, QueueDepth: 1024,
			MostInFlight: 2048, SubsetSize: 32, RetryShare: 0.1, Attempts: 3,
			MaxTokens: 1 << 17, // covers a long context of the users' models
		},
		Timing: EntryTiming{
			HelloEvery: duration(2 * time.Second), HelloTimeout: duration(500 * time.Millisecond), SpreadEvery: duration(time.Second), PollEvery: duration(5 * time.Second),
			ListEvery: duration(5 * time.Second), StartWithin: duration(5 * time.Second), SettleTimeout: duration(time.Second),
			DefaultTimeout: duration(2 * time.Minute), KeyHold: duration(10 * time.Minute), ReadTimeout: duration(30 * time.Second),
			PoisonLapse: duration(10 * time.Minute), DrainDelay: duration(2 * time.Second),
		},
		Sample: SamplePlan{Window: 256, ExtraShare: 0.05, ExtraAfter: 0.25},
	}
}

// DefaultGuard returns the default settings of a guard.
func DefaultGuard() Guard {
	return Guard{
		Platform: defaultPlatform(),
		Limits:   GuardLimits{Capacity: 32, AnswerSpace: 16 << 20, MaxAnswer: 4 << 20, LoadRate: 400, LoadShare: 0.25, ConnectionMemory: 128 << 20},
		Timing: GuardTiming{
			Grace: duration(30 * time.Second), KeyHold: duration(10 * time.Minute), LongestRun: duration(15 * time.Minute),
			LongestOrder: duration(20 * time.Second), LostContact: duration(15 * time.Second), ClockSkew: duration(2 * time.Second),
			HealthEvery: duration(time.Second), HealthTimeout: duration(time.Second), DrainNotice: duration(5 * time.Second),
		},
	}
}

func defaultPlatform() Platform {
	return Platform{Table: "bilberryshelf", Bucket: "bilberryshelf", KeyID: "bilberryshelf", Timeout: duration(2 * time.Second)}
}

func duration(du time.Duration) Duration { return Duration(du) }
