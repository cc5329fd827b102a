// Command bilberryshelf runs the daemons of the rollout service and its
// operator commands.
package main

import (
	"os"

	"bilberryshelf/subcmd"
)

func main() { os.Exit(subcmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
