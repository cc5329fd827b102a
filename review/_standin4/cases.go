package main

// cases holds the plays by name.
var cases = map[string]func(la *lab){
	"lost-owner": lostOwner, "condemned": condemned, "split": split, "poison": poison, "bodies": bodies, "joined": joined, "mixed-body": mixedBody,
}
