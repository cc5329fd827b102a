package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

const trainConfig = `{"version":3,"routes":[
{"name":"r-train","host":"ficu95.example","path_prefix":"/pule252/","kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"deadline_ms":%d,"item_ttl_s":%d,"priority":1,"service":"blend-lm","max_attempts":3},
{"name":"r-look","host":"ficu95.example","path_prefix":"/lohu930/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":250,"priority":2,"service":"ink-desk","max_attempts":2}],
"services":[{"name":"blend-lm","health_path":"/health","max_conns":150,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":102618,"models":[{"name":"daka510000"}]}},
{"name":"ink-desk","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

var entryNames = []string{"front-0", "front-1", "front-2"}

// trainingConfig returns a configuration that sends the steps to a service.
func trainingConfig(version int, service string) string {
	text := strings.Replace(fmt.Sprintf(trainConfig, 7500, 20), `"version":3`, fmt.Sprintf(`"version":%d`, version), 1)
	text = strings.Replace(text, `"priority":1,"service":"blend-lm"`, fmt.Sprintf(`"priority":1,"service":%q`, service), 1)
	engine := `{"name":"blend-lm","health_path":"/health","max_conns":150,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":102618,"models":[{"name":"daka510000"}]}}`
	return strings.Replace(text, engine, engine+","+strings.Replace(engine, "blend-lm", "blend-lm-2", 1), 1)
}

// addEngines starts model workers of a service with their guards.
func (cl *cluster) addEngines(service string, count int) error {
	for at := range count {
		wo := newWorker(fmt.Sprintf("i-%s-%d", service, at), service, "daka510000", cl.note)
		wo.pause = 40 * time.Millisecond
		if err := cl.addWorker(wo); err != nil {
			return err
		}
		if err := cl.addGuard(fmt.Sprintf("side-%s-%d", service, at), wo); err != nil {
			return err
		}
	}
	return nil
}

const host = "ficu95.example"

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

// newItems returns the items of a job in the form of the example of the platform's pages. Their
// prompts have the given number of parts.
func newItems(job string, count, parts int) []item {
	items := make([]item, count)
	for at := range items {
		var prefix []string
		for pa := range parts {
			prefix = append(prefix, fmt.Sprintf("%06x:30", 0x9c2e41+17*pa+at/4))
		}
		items[at] = item{
			ID: fmt.Sprintf("%s-%06d", job, at), Path: "/pule252/3/91c4", Body: []byte(fmt.Sprintf("prompt-%06d", at)), Tokens: 940, Group: fmt.Sprintf("g%06d", at/4),
			Headers: map[string]string{
				"Bilberryshelf-Model": "daka510000", "Bilberryshelf-Token-Count": "540,400", "Bilberryshelf-Prompt-Prefix": strings.Join(prefix, ","),
			},
		}
	}
	return items
}

func jobBody(step int, minVersion uint64, groups int, items []item) []byte {
	raw, err := json.Marshal(map[string]any{"step": step, "model": "daka510000", "min_version": minVersion, "target_groups": groups, "requests": items})
	if err != nil {
		panic(err)
	}
	return raw
}
