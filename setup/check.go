package setup

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"bilberryshelf/loan"
)

// Fault describes one error in a settings file. Line counts from 1.
type Fault struct {
	File string
	Line int
	Key  string
	Text string
}

// Error returns the file, line, key and text on one line.
func (fa Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", fa.File, fa.Line, fa.Key, fa.Text)
}

// Faults holds all faults of a settings file.
type Faults []Fault

// Error returns the faults, one per line.
func (fa Faults) Error() string {
	lines := make([]string, len(fa))
	for at, fault := range fa {
		lines[at] = fault.Error()
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

// keyLines maps each dotted key to its line number.
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

// require adds a fault at the key unless the condition holds. A key that is not in the
// file is reported at the line of its table, or at line 1.
func (ch *checker) require(holds bool, key, text string) {
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
	ch.require(ok, key, fmt.Sprintf("%q is not an IP address and port such as 10.0.0.7:7000", value))
}

func (ch *checker) url(value, key string) {
	ok := strings.HasPrefix(value, "http://") || strings.HasPrefix(value, "https://")
	ch.require(ok, key, fmt.Sprintf("%q is not a URL such as http://10.0.0.7:8000", value))
}

func (ch *checker) result() error {
	if len(ch.faults) == 0 {
		return nil
	}
	return ch.faults
}

// keyHold requires that the target that a key ran on is known for as long as the key is
// remembered.
func (ch *checker) keyHold(hold Duration) {
	ch.require(hold.Std() <= loan.SupersededRetention, "timing.key-hold",
		fmt.Sprintf("must be at most %v, since removed targets are forgotten then", loan.SupersededRetention))
}

func (pl Place) check(ch *checker) {
	ch.require(pl.Region != "", "place.region", "is missing; set it to the region of the instance")
	ch.require(pl.FailureDomain != "", "place.failure-domain", "is missing; set it to the failure domain of the instance")
}

func (pl Platform) check(ch *checker) {
	ch.url(pl.TablesURL, "platform.tables-url")
	ch.url(pl.ObjectsURL, "platform.objects-url")
	ch.url(pl.InstancesURL, "platform.instances-url")
	ch.require(pl.Timeout > 0, "platform.timeout", "must be more than 0s")
}

func (to Token) check(ch *checker, key string) {
	ch.require(to.Name != "", key+".name", "is missing")
	switch to.Role {
	case Operator, Trainer, Caller, Node:
	default:
		ch.require(false, key+".role", fmt.Sprintf("%q is not operator, trainer, caller or node", to.Role))
	}
	ch.require(to.Token == "" || to.TokenEnv == "", key+".token", "is set together with token-env; set only one of them")
	ch.require(to.Secret() != "", key+".token", "is empty, or the environment variable of token-env is not set")
}

func (en Entry) check(ch *checker) {
	ch.require(en.Name != "", "name", "is missing")
	ch.address(en.Listen, "listen")
	ch.address(en.InnerListen, "inner-listen")
	ch.require(en.Listen != en.InnerListen, "inner-listen", "is the same as listen")
	en.Place.check(ch)
	en.Platform.check(ch)
	nodes := 0
	for at, to := range en.Tokens {
		to.check(ch, fmt.Sprintf("tokens[%d]", at))
		if to.Role == Node {
			nodes++
		}
	}
	ch.require(nodes == 1, "tokens", "exactly one token of role node is needed")
	ch.require(en.Limits.MaxBody > 0, "limits.max-body", "must be more than 0B")
	ch.require(en.Limits.MaxHeader > 0, "limits.max-header", "must be more than 0B")
	ch.require(en.Limits.MaxConnections > 0, "limits.max-connections", "must be 1 or more")
	ch.require(en.Limits.MostInFlight > 0, "limits.most-in-flight", "must be 1 or more")
	ch.require(en.Limits.QueueDepth >= 0, "limits.queue-depth", "must be 0 or more")
	ch.require(en.Limits.RetryShare >= 0 && en.Limits.RetryShare <= 1, "limits.retry-share", "must be from 0 to 1")
	ch.require(en.Limits.Attempts >= 1, "limits.attempts", "must be 1 or more")
	ch.require(en.Limits.MaxTokens >= 1, "limits.max-tokens", "must be 1 or more")
	ch.require(en.Timing.HelloEvery > 0, "timing.hello-every", "must be more than 0s")
	ch.require(en.Timing.HelloTimeout > 0, "timing.hello-timeout", "must be more than 0s")
	ch.require(en.Timing.SpreadEvery > 0, "timing.spread-every", "must be more than 0s")
	ch.require(en.Timing.PollEvery > 0, "timing.poll-every", "must be more than 0s")
	ch.require(en.Timing.ListEvery > 0, "timing.list-every", "must be more than 0s")
	ch.require(en.Timing.StartWithin > 0, "timing.start-within", "must be more than 0s")
	ch.require(en.Timing.KeyHold > en.Timing.StartWithin, "timing.key-hold", "must be longer than start-within")
	ch.keyHold(en.Timing.KeyHold)
	ch.require(en.Sample.Window > 0, "sample.window", "must be 1 or more")
	ch.require(en.Sample.ExtraShare >= 0 && en.Sample.ExtraShare <= 1, "sample.extra-share", "must be from 0 to 1")
}

func (gu Guard) check(ch *checker) {
	ch.require(gu.Target != "", "target", "is missing; set it to the name of the target in the sheet")
	ch.require(gu.Service != "", "service", "is missing; set it to the service of the target")
	ch.address(gu.Listen, "listen")
	gu.Place.check(ch)
	gu.Platform.check(ch)
	gu.Token.check(ch, "token")
	ch.require(gu.Token.Role == Node, "token.role", "must be node")
	ch.url(gu.Engine.URL, "engine.url")
	ch.require(gu.Limits.Capacity > 0, "limits.capacity", "must be 1 or more")
	ch.require(gu.Limits.LoadShare >= 0 && gu.Limits.LoadShare <= 1, "limits.load-share", "must be from 0 to 1")
	ch.require(gu.Timing.Grace > 0, "timing.grace", "must be more than 0s")
	ch.require(gu.Timing.HealthEvery > 0, "timing.health-every", "must be more than 0s")
	ch.require(gu.Timing.HealthTimeout > 0, "timing.health-timeout", "must be more than 0s")
	ch.require(gu.Timing.LongestOrder > 0, "timing.longest-order", "must be more than 0s")
	ch.keyHold(gu.Timing.KeyHold)
	ch.require(gu.Timing.DrainNotice >= 0, "timing.drain-notice", "must be 0s or more")
	ch.require(gu.Timing.LongestRun > 0, "timing.longest-run", "must be more than 0s")
}
