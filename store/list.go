package store

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
)

// Instance is one element of the platform's list of instances. The list may be out of
// date.
type Instance struct {
	Name    string
	Role    string
	Service string
	Region  string
	Domain  string
	Addr    string
	State   core.State
}

// The roles of an instance.
const (
	RoleEntry = "entry"
	RoleGuard = "guard"
)

// targetGroup is one element in the format of Prometheus HTTP service discovery. Its
// "targets" are addresses of instances.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// List is a client of the platform's list of live and draining instances. It is safe for
// concurrent use.
type List struct {
	access Access
	client *http.Client

	mutex  sync.Mutex
	etag   string
	cached []Instance
}

// NewList returns a client of the list at a URL.
func NewList(ac Access) *List { return &List{access: ac, client: ac.client()} }

// Fetch returns the complete list. If the list has not changed since the last call,
// according to its entity tag, the cached one is returned.
func (li *List) Fetch(ctx context.Context) ([]Instance, error) {
	li.mutex.Lock()
	defer li.mutex.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, li.access.URL, nil)
	if err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	if li.etag != "" {
		req.Header.Set("If-None-Match", li.etag)
	}
	res, err := li.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	defer res.Body.Close() // the body has been read; a failed close loses nothing
	if res.StatusCode == http.StatusNotModified {
		return li.cached, nil
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.Newf("list of instances: status %d", res.StatusCode)
	}
	var groups []targetGroup
	if err := json.NewDecoder(res.Body).Decode(&groups); err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	li.etag, li.cached = res.Header.Get("ETag"), instances(groups)
	return li.cached, nil
}

func instances(groups []targetGroup) []Instance {
	var out []Instance
	for _, gr := range groups {
		for _, addr := range gr.Targets {
			out = append(out, Instance{
				Name:    gr.Labels["name"],
				Role:    gr.Labels["role"],
				Service: gr.Labels["service"],
				Region:  gr.Labels["region"],
				Domain:  gr.Labels["failure-domain"],
				State:   core.State(gr.Labels["state"]),
				Addr:    addr,
			})
		}
	}
	return out
}
