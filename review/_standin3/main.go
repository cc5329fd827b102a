// Command standin3 plays the cases of a review: it starts the project's own programs as
// processes, with stand-ins of the platform, its workers and its clients around them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases maps the name of a case to its play, which returns the broken rules.
var cases = map[string]func(wo *world, trouble bool) []string{
	"small": small,
	"slash": slash,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	check(err)
	wo := newWorld(file)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cleanUp()
		os.Exit(2)
	}()
	broken := cases[os.Args[1]](wo, os.Getenv("TROUBLE") != "0")
	cleanUp()
	for _, text := range broken {
		wo.log("BROKEN %s", text)
		fmt.Println("broken:", text)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	wo.log("held")
	fmt.Println("held")
}
