package main

// cases holds the plays by name.
var cases = map[string]func(la *lab){"condemned": condemned, "poison": poison, "renamed": renamed, "models": models, "first-event": firstEvent}
