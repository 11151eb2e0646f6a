// Command standin plays one case of the review against the project's own programs.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is how long a case may take.
const maxTime = 118 * time.Second

// cases are the cases by name. Each returns whether the rule was broken; trouble tells whether to
// play the disruption.
var cases = map[string]func(log *record, trouble bool) (broken bool, err error){
	"lateheartbeat": lateHeartbeat,
	"crashed":       crashed,
	"failed503":     failed503,
	"staleorder":    staleOrder,
	"earlyanswer":   earlyAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go endOnSignal(log)
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case %s, disruption %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](log, trouble)
	switch {
	case err != nil:
		log.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		log.add("the rule was broken")
		fmt.Println("broken")
		os.Exit(1)
	}
	log.add("the rule held")
	fmt.Println("held")
}

// endOnSignal ends the processes of the case on a signal, or when it takes too long.
func endOnSignal(log *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	killStarted()
	log.add("the case was ended before it could tell")
	os.Exit(2)
}
