package runs

// Demand is the number of items of one service that need a slot of an engine.
type Demand struct {
	Running, Waiting int
}

// Demand returns the demand of the jobs of this owner by service.
func (ow *Owner) Demand() map[string]Demand {
	demands := map[string]Demand{}
	ow.Loop.Do(func() {
		for _, jo := range ow.jobs {
			de := demands[jo.service]
			for _, it := range jo.items {
				switch {
				case it.state == running:
					de.Running++
				case it.state == waiting && !it.complete:
					de.Waiting++
				}
			}
			demands[jo.service] = de
		}
	})
	return demands
}
