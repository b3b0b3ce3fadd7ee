// Command casekit plays one case of the review: it starts the project's programs as
// separate processes on loopback addresses, with stand-ins for clients, minions and the
// platform, and checks one rule. Its exit status is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns whether the rule was broken, and an error if
// it could not run.
var cases = map[string]func(log *record, trouble bool) (broken bool, err error){
	"zero-cpu":    zeroCPU,
	"cancel":      cancelled,
	"first-start": firstStart,
	"lost-cancel": lostCancel,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casekit CASE FOLDER")
		os.Exit(2)
	}
	go guard()
	os.Exit(play(os.Args[1], os.Args[2]))
}

// timeLimit is the longest time that a case may take.
const timeLimit = 117 * time.Second

// guard ends the processes of the case and this one on a signal or after timeLimit.
func guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	if f := started.Load(); f != nil {
		f.close()
	}
	fmt.Println("could not run: stopped, or out of time")
	os.Exit(2)
}

func play(name, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := cases[name](log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		log.printf("result: the rule was broken")
		fmt.Println("broken")
		return 1
	}
	log.printf("result: the rule held")
	fmt.Println("held")
	return 0
}
