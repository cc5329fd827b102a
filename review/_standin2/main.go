package main

import (
	"fmt"
	"os"
)

// cases maps the number of a case to its function, which returns an exit code.
var cases = map[string]func(cl *cluster, trouble bool) (int, error){
	"busyend":  busyEnd,
	"lateterm": lateTerm,
	"split":    splitRoute,
	"bodies":   bodies,
	"adopted":  adopted,
	"moved":    movedRoute,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin2 CASE PROGRAM RECORD")
		os.Exit(failed)
	}
	cl, err := newCluster(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](cl, os.Getenv("TROUBLE") != "0")
	if err != nil {
		cl.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		code = failed
	}
	cl.stop()
	os.Exit(code)
}
