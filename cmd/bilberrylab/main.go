// Command bilberrylab runs the stand-ins as processes, puts load on the
// system, and measures it. It is scaffolding: nothing here is deployed.
package main

import (
	"os"

	"bilberryshelf/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
