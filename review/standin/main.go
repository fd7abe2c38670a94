// Command standin plays one case of the review: it starts stand-ins of the platform, of its executors and of the
// clients, runs instances of the system against them as separate processes, and checks one rule by what these
// stand-ins see.
//
// The environment variable PROGRAM names the program of the system, RECORD the file for the record, and TROUBLE=0
// leaves out the disruption. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by their names. Each returns whether the rule was broken.
var cases = make(map[string]func(b *bed) (broken bool, err error))

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-standin CASE")
		return 2
	}
	b, err := newBed(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer b.close()
	// A script that is ended early ends its processes, too.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		b.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](b)
	switch {
	case err != nil:
		b.say("cannot run: %v", err)
		return 2
	case broken:
		b.say("the rule was broken")
		return 1
	default:
		b.say("the rule held")
		return 0
	}
}
