// Command bilberrylab runs fakes of the platform, engines and services as
// processes, runs load tests and measures the system. It is a test tool and is
// never deployed.
package main

import (
	"os"

	"bilberryshelf/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
