// Package setup reads the settings of the daemons from TOML, merges them with
// the defaults, and checks them whole before anything starts.
package setup

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Role is what a holder of a token may do.
type Role string

// The roles.
const (
	Operator Role = "operator"
	Trainer  Role = "trainer"
	Caller   Role = "caller"
	// Node lets entries and guards talk to each other.
	Node Role = "node"
)

// Token lets its holder in under a name. Either Token or TokenEnv is set;
// TokenEnv names a variable of the environment.
type Token struct {
	Name     string `toml:"name"`
	Role     Role   `toml:"role"`
	Token    string `toml:"token"`
	TokenEnv string `toml:"token-env"`
}

// Secret is the text of the token.
func (to Token) Secret() string {
	if to.TokenEnv != "" {
		return os.Getenv(to.TokenEnv)
	}
	return to.Token
}

// Platform says where the platform's services are.
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

// Place is where an instance stands.
type Place struct {
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure-domain"`
}

// Entry is the settings of an entry.
type Entry struct {
	Name string `toml:"name"`
	// Listen is for callers, trainers and operators; InnerListen for other
	// entries and guards.
	Listen      string      `toml:"listen"`
	InnerListen string      `toml:"inner-listen"`
	Place       Place       `toml:"place"`
	Platform    Platform    `toml:"platform"`
	Tokens      []Token     `toml:"tokens"`
	Limits      EntryLimits `toml:"limits"`
	Timing      EntryTiming `toml:"timing"`
	Sample      SamplePlan  `toml:"sample"`
}

// EntryLimits bounds what an entry takes in.
type EntryLimits struct {
	MaxBody        Size `toml:"max-body"`
	MaxHeader      Size `toml:"max-header"`
	MaxConnections int  `toml:"max-connections"`
	QueueDepth     int  `toml:"queue-depth"`
	MostInFlight   int  `toml:"most-in-flight"`
	SubsetSize     int  `toml:"subset-size"`
	// LinkRate is the bytes a second that this entry may spend on the link to
	// other regions; 0B means no bound.
	LinkRate   Size    `toml:"link-rate"`
	RetryShare float64 `toml:"retry-share"`
	Attempts   int     `toml:"attempts"`
}

// EntryTiming is the spans that an entry works by.
type EntryTiming struct {
	HelloEvery     Duration `toml:"hello-every"`
	HelloTimeout   Duration `toml:"hello-timeout"`
	SpreadEvery    Duration `toml:"spread-every"`
	PollEvery      Duration `toml:"poll-every"`
	ListEvery      Duration `toml:"list-every"`
	StartWithin    Duration `toml:"start-within"`
	SettleTimeout  Duration `toml:"settle-timeout"`
	DefaultTimeout Duration `toml:"default-timeout"`
	KeyHold        Duration `toml:"key-hold"`
	ReadTimeout    Duration `toml:"read-timeout"`
	PoisonLapse    Duration `toml:"poison-lapse"`
	DrainDelay     Duration `toml:"drain-delay"`
}

// SamplePlan says how samples are generated.
type SamplePlan struct {
	Window     int     `toml:"window"`
	ExtraShare float64 `toml:"extra-share"`
	ExtraAfter float64 `toml:"extra-after"`
}

// Guard is the settings of a guard.
type Guard struct {
	// Target is the name of the target that the guard stands beside.
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

// Engine says how the guard reaches its target.
type Engine struct {
	URL string `toml:"url"`
	// Model says that the target is a model engine, not a plain service.
	Model bool `toml:"model"`
	// Fenced says that the target refuses orders with an old fencing number.
	Fenced bool `toml:"fenced"`
	// LateReports says that the engine names the version of a token late after
	// a swap, so that samples met by a swap cannot be labelled.
	LateReports bool `toml:"late-reports"`
}

// GuardLimits bounds what a guard takes in.
type GuardLimits struct {
	Capacity    int  `toml:"capacity"`
	AnswerSpace Size `toml:"answer-space"`
	MaxAnswer   Size `toml:"max-answer"`
	// LoadRate is the loads a second that the weight store serves to all.
	LoadRate float64 `toml:"load-rate"`
	// LoadShare is the largest part of a service's targets that swap at once.
	LoadShare float64 `toml:"load-share"`
}

// GuardTiming is the spans that a guard works by.
type GuardTiming struct {
	Grace         Duration `toml:"grace"`
	KeyHold       Duration `toml:"key-hold"`
	LongestRun    Duration `toml:"longest-run"`
	LongestOrder  Duration `toml:"longest-order"`
	LostContact   Duration `toml:"lost-contact"`
	ClockSkew     Duration `toml:"clock-skew"`
	HealthEvery   Duration `toml:"health-every"`
	HealthTimeout Duration `toml:"health-timeout"`
	// DrainNotice is the longest that a guard that leaves waits for its entries to
	// learn of it: two hellos of each and a second.
	DrainNotice Duration `toml:"drain-notice"`
}

// DefaultEntry is the settings of an entry before its file is read.
func DefaultEntry() Entry {
	return Entry{
		Platform: defaultPlatform(),
		Limits: EntryLimits{
			MaxBody: 8 << 20, MaxHeader: 64 << 10, MaxConnections: 10000, QueueDepth: 1024,
			MostInFlight: 2048, SubsetSize: 32, RetryShare: 0.1, Attempts: 3,
		},
		Timing: EntryTiming{
			HelloEvery: span(2 * time.Second), HelloTimeout: span(500 * time.Millisecond), SpreadEvery: span(time.Second), PollEvery: span(5 * time.Second),
			ListEvery: span(5 * time.Second), StartWithin: span(5 * time.Second), SettleTimeout: span(time.Second),
			DefaultTimeout: span(2 * time.Minute), KeyHold: span(10 * time.Minute), ReadTimeout: span(30 * time.Second),
			PoisonLapse: span(10 * time.Minute), DrainDelay: span(2 * time.Second),
		},
		Sample: SamplePlan{Window: 256, ExtraShare: 0.05, ExtraAfter: 0.25},
	}
}

// DefaultGuard is the settings of a guard before its file is read.
func DefaultGuard() Guard {
	return Guard{
		Platform: defaultPlatform(),
		Limits:   GuardLimits{Capacity: 32, AnswerSpace: 16 << 20, MaxAnswer: 4 << 20, LoadRate: 400, LoadShare: 0.25},
		Timing: GuardTiming{
			Grace: span(30 * time.Second), KeyHold: span(10 * time.Minute), LongestRun: span(15 * time.Minute),
			LongestOrder: span(20 * time.Second), LostContact: span(15 * time.Second), ClockSkew: span(2 * time.Second),
			HealthEvery: span(time.Second), HealthTimeout: span(time.Second), DrainNotice: span(5 * time.Second),
		},
	}
}

func defaultPlatform() Platform {
	return Platform{Table: "bilberryshelf", Bucket: "bilberryshelf", KeyID: "bilberryshelf", Timeout: span(2 * time.Second)}
}

func span(du time.Duration) Duration { return Duration(du) }

// Fault is one thing wrong with a settings file.
type Fault struct {
	File string
	Line int
	Key  string
	Text string
}

// Error gives the fault on one line.
func (fa Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", fa.File, fa.Line, fa.Key, fa.Text)
}

// Faults is all that is wrong with a settings file.
type Faults []Fault

// Error gives the faults, one a line.
func (fa Faults) Error() string {
	lines := make([]string, len(fa))
	for at, one := range fa {
		lines[at] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// ReadEntry reads and checks the settings of an entry.
func ReadEntry(file string) (Entry, error) {
	en := DefaultEntry()
	ch, err := read(file, &en)
	if err != nil {
		return en, err
	}
	en.check(ch)
	return en, ch.result()
}

// ReadGuard reads and checks the settings of a guard.
func ReadGuard(file string) (Guard, error) {
	gu := DefaultGuard()
	ch, err := read(file, &gu)
	if err != nil {
		return gu, err
	}
	gu.check(ch)
	return gu, ch.result()
}

// checker collects the faults of one file.
type checker struct {
	file   string
	lines  map[string]int
	faults Faults
}

func read(file string, into any) (*checker, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	ch := &checker{file: file, lines: keyLines(raw)}
	de := toml.NewDecoder(bytes.NewReader(raw))
	de.DisallowUnknownFields()
	if err := de.Decode(into); err != nil {
		return nil, ch.decodeFaults(err)
	}
	return ch, nil
}

func (ch *checker) decodeFaults(err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		for at := range missing.Errors {
			line, _ := missing.Errors[at].Position()
			ch.add(line, strings.Join(missing.Errors[at].Key(), "."), "there is no such setting; docs/OPERATIONS.md lists them")
		}
		return ch.faults
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		ch.add(line, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: "))
		return ch.faults
	}
	ch.add(1, "-", err.Error())
	return ch.faults
}

// keyLines maps each dotted key to its line.
func keyLines(raw []byte) map[string]int {
	lines := map[string]int{}
	var (
		parser unstable.Parser
		table  string
		arrays = map[string]int{}
	)
	parser.Reset(raw)
	for parser.NextExpression() {
		node := parser.Expression()
		key := ""
		it := node.Key()
		for it.Next() {
			if key != "" {
				key += "."
			}
			key += string(it.Node().Data)
		}
		line := lineOf(&parser, node)
		if node.Kind == unstable.ArrayTable {
			key, arrays[key] = fmt.Sprintf("%s[%d]", key, arrays[key]), arrays[key]+1
		}
		if node.Kind != unstable.KeyValue {
			table = key + "."
			lines[key] = line
			continue
		}
		lines[table+key] = line
	}
	return lines
}

func lineOf(parser *unstable.Parser, node *unstable.Node) int {
	it := node.Key()
	if !it.Next() {
		return 1
	}
	return parser.Shape(it.Node().Raw).Start.Line
}

func (ch *checker) add(line int, key, text string) {
	ch.faults = append(ch.faults, Fault{File: ch.file, Line: line, Key: key, Text: text})
}

// need adds a fault at the key unless the condition holds. A key that is not
// in the file is reported at the line of its table, or line 1.
func (ch *checker) need(holds bool, key, text string) {
	if holds {
		return
	}
	line := ch.lines[key]
	if table, _, found := strings.Cut(key, "."); line == 0 && found {
		line = ch.lines[table]
	}
	ch.add(max(line, 1), key, text)
}

func (ch *checker) address(value, key string) {
	host, port, err := net.SplitHostPort(value)
	ok := err == nil && net.ParseIP(host) != nil && port != ""
	ch.need(ok, key, fmt.Sprintf("%q is not an IP number and port such as 10.0.0.7:7000", value))
}

func (ch *checker) url(value, key string) {
	ok := strings.HasPrefix(value, "http://") || strings.HasPrefix(value, "https://")
	ch.need(ok, key, fmt.Sprintf("%q is not a URL such as http://10.0.0.7:8000", value))
}

func (ch *checker) result() error {
	if len(ch.faults) == 0 {
		return nil
	}
	return ch.faults
}

func (pl Place) check(ch *checker) {
	ch.need(pl.Region != "", "place.region", "is missing; the region that the instance stands in")
	ch.need(pl.FailureDomain != "", "place.failure-domain", "is missing; the failure domain that the instance stands in")
}

func (pl Platform) check(ch *checker) {
	ch.url(pl.TablesURL, "platform.tables-url")
	ch.url(pl.ObjectsURL, "platform.objects-url")
	ch.url(pl.InstancesURL, "platform.instances-url")
	ch.need(pl.Timeout > 0, "platform.timeout", "must be more than 0s")
}

func (to Token) check(ch *checker, key string) {
	ch.need(to.Name != "", key+".name", "is missing")
	switch to.Role {
	case Operator, Trainer, Caller, Node:
	default:
		ch.need(false, key+".role", fmt.Sprintf("%q is not operator, trainer, caller or node", to.Role))
	}
	ch.need(to.Token == "" || to.TokenEnv == "", key+".token", "stands beside token-env; set one of the two")
	ch.need(to.Secret() != "", key+".token", "is empty, or the variable that token-env names is not set")
}

func (en Entry) check(ch *checker) {
	ch.need(en.Name != "", "name", "is missing")
	ch.address(en.Listen, "listen")
	ch.address(en.InnerListen, "inner-listen")
	ch.need(en.Listen != en.InnerListen, "inner-listen", "is the same as listen")
	en.Place.check(ch)
	en.Platform.check(ch)
	nodes := 0
	for at, to := range en.Tokens {
		to.check(ch, fmt.Sprintf("tokens[%d]", at))
		if to.Role == Node {
			nodes++
		}
	}
	ch.need(nodes == 1, "tokens", "exactly one token of role node is needed")
	ch.need(en.Limits.MaxBody > 0, "limits.max-body", "must be more than 0B")
	ch.need(en.Limits.MaxHeader > 0, "limits.max-header", "must be more than 0B")
	ch.need(en.Limits.MaxConnections > 0, "limits.max-connections", "must be 1 or more")
	ch.need(en.Limits.MostInFlight > 0, "limits.most-in-flight", "must be 1 or more")
	ch.need(en.Limits.QueueDepth >= 0, "limits.queue-depth", "must be 0 or more")
	ch.need(en.Limits.RetryShare >= 0 && en.Limits.RetryShare <= 1, "limits.retry-share", "must be from 0 to 1")
	ch.need(en.Limits.Attempts >= 1, "limits.attempts", "must be 1 or more")
	ch.need(en.Timing.HelloEvery > 0, "timing.hello-every", "must be more than 0s")
	ch.need(en.Timing.HelloTimeout > 0, "timing.hello-timeout", "must be more than 0s")
	ch.need(en.Timing.SpreadEvery > 0, "timing.spread-every", "must be more than 0s")
	ch.need(en.Timing.PollEvery > 0, "timing.poll-every", "must be more than 0s")
	ch.need(en.Timing.ListEvery > 0, "timing.list-every", "must be more than 0s")
	ch.need(en.Timing.StartWithin > 0, "timing.start-within", "must be more than 0s")
	ch.need(en.Timing.KeyHold > en.Timing.StartWithin, "timing.key-hold", "must be longer than start-within")
	ch.need(en.Sample.Window > 0, "sample.window", "must be 1 or more")
	ch.need(en.Sample.ExtraShare >= 0 && en.Sample.ExtraShare <= 1, "sample.extra-share", "must be from 0 to 1")
}

func (gu Guard) check(ch *checker) {
	ch.need(gu.Target != "", "target", "is missing; the name of the target in the sheet")
	ch.need(gu.Service != "", "service", "is missing; the service that the target belongs to")
	ch.address(gu.Listen, "listen")
	gu.Place.check(ch)
	gu.Platform.check(ch)
	gu.Token.check(ch, "token")
	ch.need(gu.Token.Role == Node, "token.role", "must be node")
	ch.url(gu.Engine.URL, "engine.url")
	ch.need(gu.Limits.Capacity > 0, "limits.capacity", "must be 1 or more")
	ch.need(gu.Limits.LoadShare >= 0 && gu.Limits.LoadShare <= 1, "limits.load-share", "must be from 0 to 1")
	ch.need(gu.Timing.Grace > 0, "timing.grace", "must be more than 0s")
	ch.need(gu.Timing.HealthEvery > 0, "timing.health-every", "must be more than 0s")
	ch.need(gu.Timing.LongestRun > 0, "timing.longest-run", "must be more than 0s")
}
