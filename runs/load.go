package runs

// Demand is the number of items of one service that need a slot of an engine.
type Demand struct {
	Running, Waiting int
}

// demand returns the demand of a job.
func (jo *job) demand() Demand {
	var de Demand
	for _, it := range jo.items {
		switch {
		case it.state == running:
			de.Running++
		case it.state == waiting && !it.complete:
			de.Waiting++
		}
	}
	return de
}

// Demand returns the demand of the jobs of this owner by service.
func (ow *Owner) Demand() map[string]Demand {
	demands := map[string]Demand{}
	ow.Loop.Do(func() {
		for _, jo := range ow.jobs {
			sum, de := demands[jo.service], jo.demand()
			demands[jo.service] = Demand{Running: sum.Running + de.Running, Waiting: sum.Waiting + de.Waiting}
		}
	})
	return demands
}
