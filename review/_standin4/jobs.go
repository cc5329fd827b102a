package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

// config returns a configuration with the limits of the users' example.
func config(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// trainRoute returns a route of batch jobs with the times of harmattan-grit.
func trainRoute(name, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": "rollout", "service": service, "timeout_ms": 10000,
		"target_latency_ms": 400, "deadline_ms": 7500, "item_ttl_s": 40, "max_attempts": 3, "priority": 1,
	}
}

// engineService returns a service of model workers.
func engineService(name string, models ...string) map[string]any {
	list := []any{}
	for _, model := range append([]string{"m0"}, models...) {
		list = append(list, map[string]any{"name": model})
	}
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 150,
		"engine": map[string]any{"slots": 12, "kv_capacity": 78763, "models": list},
	}
}

// call sends a request on a new connection, as clients of batch jobs do.
func call(pr *proc, method, path, id string, body []byte, timeout time.Duration) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+pr.callers+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	req.Host = "h.example"
	if id != "" {
		req.Header.Set("Bilberryshelf-Request-Id", id)
		req.Header.Set("Content-Type", "application/json")
	}
	cl := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := cl.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, raw, err
}

func itemID(job string, group, at int) string { return fmt.Sprintf("%s-%d-%d", job, group, at) }

// jobBody returns a batch job of groups of items, each with a body of the given size.
func jobBody(job, model string, minVersion, groups, size, itemBytes int) []byte {
	raw := make([]byte, itemBytes)
	_, _ = rand.New(rand.NewSource(1)).Read(raw)
	var items []any
	for group := range groups {
		for at := range size {
			items = append(items, map[string]any{
				"id": itemID(job, group, at), "path": "/train/x",
				"headers": map[string]string{"Bilberryshelf-Model": model, "Bilberryshelf-Token-Count": "1016,2000"},
				"body":    base64.StdEncoding.EncodeToString(raw), "tokens": 3016, "group": fmt.Sprintf("%s-%d", job, group),
			})
		}
	}
	out, _ := json.Marshal(map[string]any{"step": 0, "model": model, "min_version": minVersion, "target_groups": groups, "requests": items})
	return out
}
