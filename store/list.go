package store

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
)

// Instance is one entry of the platform's list. The list lags.
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

// targetGroup is one element of the HTTP service discovery format.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// List reads the platform's list of live and leaving instances.
type List struct {
	access Access
	client *http.Client

	mutex  sync.Mutex
	etag   string
	cached []Instance
}

// NewList points at a list.
func NewList(ac Access) *List { return &List{access: ac, client: ac.client()} }

// Fetch reads the list whole. A list that has not changed since the last read,
// by its entity tag, is not sent again.
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
	defer res.Body.Close() // a failed close of a read body loses nothing
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
