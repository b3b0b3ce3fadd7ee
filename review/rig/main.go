// Command rig plays the scripts of the second review: it starts the hosts of a small system
// as the deploy file does, with stand-ins for the operator, the clients and the minions.
//
//	rig CASE RECORD
//
// It writes what happened to the file RECORD. Its exit status is 0 if the rule held, 1 if it
// was broken and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	usageErr = 2
)

// cases holds the function of each case. It returns an error if the case could not run.
var cases = map[string]func(rec *record, trouble bool) (ruleBroken string, err error){
	"first-ack":    firstAck,
	"entry-killed": entryKilled,
	"attempts":     attempts,
	"copied-ping":  copiedPing,
	"reborn":       reborn,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return usageErr
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption %v", os.Args[1], trouble)
	ruleBroken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	case ruleBroken != "":
		rec.printf("rule broken: %s", ruleBroken)
		fmt.Println("rule broken:", ruleBroken)
		return broken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return held
}
