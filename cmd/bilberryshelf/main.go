// Command bilberryshelf runs the daemons of the rollout service and the
// commands of its operators.
package main

import (
	"os"

	"bilberryshelf/subcmd"
)

func main() { os.Exit(subcmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
