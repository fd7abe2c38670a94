// Command standin3 runs the scripted cases of the third review: it starts stand-ins of the platform and instances of
// the system as separate processes, disturbs them, and judges what callers, executors and the platform saw.
//
//	standin3 CASE RECORD
//
// RECORD is the path of the file to which it writes what was sent, answered and run.
// The variable TROUBLE is 0 for a run without the disruption. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the scripted cases by the number of their folder.
var cases = map[string]func(w *world, trouble bool) (verdict, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return 2
	}
	// run.sh starts this program in the root of the repository.
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(os.Args[2], root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.rec.note("test", "begins", "case", os.Args[1], "trouble", trouble)
	result, err := cases[os.Args[1]](w, trouble)
	switch {
	case err != nil:
		w.rec.note("test", "could not run", "cause", err)
		fmt.Println("could not run:", err)
		return 2
	case result.broken:
		w.rec.note("test", "RULE BROKEN: "+result.text)
		fmt.Println("rule broken:", result.text)
		return 1
	default:
		w.rec.note("test", "rule held: "+result.text)
		fmt.Println("rule held:", result.text)
		return 0
	}
}
