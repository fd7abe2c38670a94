// Command standin2 plays the cases of review 2: stand-ins of the platform, its executors and its clients, and instances as
// separate processes. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var atExit []func()

func finish(code int) {
	for _, f := range atExit {
		f()
	}
	os.Exit(code)
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	finish(2)
}

// limit is the longest time for a case.
const limit = 110 * time.Second

var cases = map[string]func(dir string, trouble bool) *recorder{
	"unlimited-affinity": unlimitedAffinity, "late-start": lateStart,
	"large-bodies": largeBodies, "late-upkeep": lateUpkeep, "pending-after-restart": pendingAfterRestart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal("usage: standin2 CASE DIRECTORY")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		finish(2)
	}()
	time.AfterFunc(limit, func() { fatal("the case takes too long") })
	rec := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	code := 0
	for _, text := range rec.broken {
		fmt.Println("RULE BROKEN:", text)
		code = 1
	}
	if code == 0 {
		fmt.Println("the rules held")
	}
	finish(code)
}
