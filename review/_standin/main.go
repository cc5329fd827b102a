// Command standin holds the stand-ins of the review's cases: the platform's store, workers,
// and clients. It starts the system's own programs as processes.
package main

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases maps the name of a case to its script. trouble tells whether to disrupt.
var cases = map[string]func(cl *cluster, trouble bool) (verdict string, isBroken bool){
	"once":   caseOnce,
	"large":  caseLarge,
	"spoil":  caseSpoil,
	"small":  caseSmall,
	"mixed":  caseMixed,
	"joined": caseJoined,
	"again":  caseAgain,
	"extra":  caseExtra,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1]))
}

func play(name string) (code int) {
	const record = "record.txt"
	var cl *cluster
	defer func() {
		cause := recover()
		if cl != nil {
			cl.stop()
			sortRecord(record)
		}
		if cause == nil {
			return
		}
		var cannot errCannotRun
		if err, ok := cause.(error); ok && errors.As(err, &cannot) {
			fmt.Println("cannot run:", cannot.error)
			code = cannotRun
			return
		}
		panic(cause)
	}()
	cl = newCluster(record)
	trouble := os.Getenv("TROUBLE") != "0"
	verdict, isBroken := cases[name](cl, trouble)
	cl.note("verdict: %s", verdict)
	fmt.Println(verdict)
	if isBroken {
		return broken
	}
	return held
}
