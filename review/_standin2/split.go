package main

import (
	"strings"
	"time"
)

// splitRoute has the operator split the route of the steps between a new service with one worker,
// a tenth, and the present one with eleven. A step is submitted 4 s after the change.
func splitRoute(cl *cluster, trouble bool) (int, error) {
	if err := cl.addEngines("blend-lm", 11); err != nil {
		return failed, err
	}
	if err := cl.addEngines("blend-lm-2", 1); err != nil {
		return failed, err
	}
	for _, wo := range cl.workers {
		wo.pause = 80 * time.Millisecond
	}
	cl.store.put("op", "config", trainingConfig(3, "blend-lm"))
	for _, name := range entryNames {
		if _, err := cl.addEntry(name, 0.8, 384, cl.storeAddr); err != nil {
			return failed, err
		}
	}
	if err := cl.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		text := strings.Replace(trainingConfig(5, "blend-lm"), `"priority":1,"service":"blend-lm"`,
			`"priority":1,"split":[{"service":"blend-lm-2","weight":10},{"service":"blend-lm","weight":90}]`, 1)
		cl.store.put("op", "config", text)
		cl.note("operator: configuration 5 is acknowledged, it splits the route: blend-lm-2 10, blend-lm 90")
	}
	time.Sleep(4 * time.Second) // config_apply_ms, and stable_ms
	st := cl.newStep("7c41e09b52d6a3f8", 120, 27, cl.entries)
	if err := st.submit(0); err != nil {
		return failed, err
	}
	if st.await() || !st.starved(st.submitted) {
		return held, nil
	}
	return broken, nil
}
