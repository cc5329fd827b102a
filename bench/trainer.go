package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/client"
	"bilberryshelf/fake"
	"bilberryshelf/sample"
)

type trainerCommand struct {
	tokenFlags
	URLs      []string      `long:"url" required:"yes" description:"an entry; give several to take turns when one fails"`
	Service   string        `long:"service" required:"yes"`
	Step      string        `long:"step" default:"step" description:"name of the first step"`
	Steps     int           `long:"steps" default:"1"`
	Groups    int           `long:"groups" default:"16"`
	GroupSize int           `long:"group-size" default:"8"`
	MaxTokens int           `long:"max-tokens" default:"64"`
	Staleness uint64        `long:"staleness" default:"1"`
	Version   uint64        `long:"version" default:"1" description:"the version of the first step"`
	Timeout   time.Duration `long:"timeout" default:"5m"`
	out       io.Writer
}

// stepReport is one line of output: the result of a step.
type stepReport struct {
	Step      string         `json:"step"`
	Seconds   float64        `json:"seconds"`
	Samples   int            `json:"samples"`
	Doubled   int            `json:"doubled"`
	WrongText int            `json:"wrong-text"`
	TooOld    int            `json:"too-old"`
	Versions  map[uint64]int `json:"tokens-by-version"`
}

// Execute runs the steps and checks every sample.
func (co *trainerCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), co.Timeout)
	defer cancel()
	for at := range co.Steps {
		re, err := co.run(ctx, at)
		if err != nil {
			return err
		}
		if err := printJSON(co.out, re); err != nil {
			return err
		}
		if re.Doubled+re.WrongText+re.TooOld > 0 {
			return errors.New("a promise to the trainer was broken")
		}
	}
	return nil
}

func (co *trainerCommand) run(ctx context.Context, at int) (stepReport, error) {
	version := co.Version + uint64(at)
	re := stepReport{Step: fmt.Sprintf("%s-%d", co.Step, at), Versions: map[uint64]int{}}
	sp := sample.Spec{
		Step: re.Step, Service: co.Service, GroupSize: co.GroupSize, MaxTokens: co.MaxTokens,
		Staleness: co.Staleness, Version: version,
	}
	for gr := range co.Groups {
		sp.Prompts = append(sp.Prompts, fmt.Sprintf("prompt %d of %s", gr, re.Step))
	}
	st := client.Step{
		Client: &client.Client{URL: co.URLs[0], Token: co.token(), HTTP: &http.Client{Transport: &failoverTransport{urls: co.URLs}}},
		Spec:   sp, Wait: 2 * time.Second,
	}
	began := time.Now()
	seen := map[sample.Slot]bool{}
	err := st.Run(ctx, func(sa sample.Sample) error {
		re.addSample(sp, sa, seen[sa.Slot])
		seen[sa.Slot] = true
		return nil
	})
	re.Seconds = time.Since(began).Seconds()
	return re, err
}

// addSample counts a sample and checks it against the text that the fake engine must
// have generated.
func (re *stepReport) addSample(sp sample.Spec, sa sample.Sample, again bool) {
	re.Samples++
	if again {
		re.Doubled++
	}
	if sa.Text != fake.Answer(sp.Prompts[sa.Slot.Group], sa.Slot.Index+1, sp.MaxTokens) {
		re.WrongText++
	}
	if sa.OldestVersion()+sp.Staleness < sp.Version {
		re.TooOld++
	}
	for _, se := range sa.Segments {
		re.Versions[se.Version] += se.Tokens
	}
}

// failoverTransport sends requests to one of several entries, and switches to the next
// when a request fails.
type failoverTransport struct {
	urls  []string
	index int
}

// RoundTrip sends a request to the current entry. If that fails, it tries each of the
// others and returns the last error if all fail.
func (ft *failoverTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var last error
	for range ft.urls {
		next := req.Clone(req.Context())
		if req.GetBody != nil {
			body, err := req.GetBody()
			if err != nil {
				return nil, err
			}
			next.Body = body
		}
		url := ft.urls[ft.index%len(ft.urls)]
		next.URL.Host = url[len("http://"):]
		next.Host = ""
		res, err := http.DefaultTransport.RoundTrip(next)
		if err == nil {
			return res, nil
		}
		last = err
		ft.index++
	}
	return nil, last
}
