package main

import "time"

// movedRoute has a step in progress when the operator moves its route to another service with
// workers of the same model, and takes the workers of the old service away.
func movedRoute(cl *cluster, trouble bool) (int, error) {
	const (
		drain  = 3 * time.Second
		stable = 4 * time.Second
	)
	for _, service := range []string{"blend-lm", "blend-lm-2"} {
		if err := cl.addEngines(service, 2); err != nil {
			return failed, err
		}
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
	st := cl.newStep("7c41e09b52d6a3f8", 120, 27, cl.entries)
	if err := st.submit(0); err != nil {
		return failed, err
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		cl.store.put("op", "config", trainingConfig(5, "blend-lm-2"))
		cl.note("operator: configuration 5 is acknowledged, it moves the route to blend-lm-2")
		for _, wo := range cl.workers[:2] {
			wo.leave(cl, drain)
		}
	}
	steady := time.Now().Add(stable)
	if st.await() || !st.starved(steady) {
		return held, nil
	}
	next := cl.newStep("7c41e09b52d6a3f9", 4, 1, cl.entries)
	if next.submit(1) == nil {
		next.await()
	}
	return broken, nil
}
