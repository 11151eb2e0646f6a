// Command second plays the scripts of the second review: it starts the project's programs as separate
// processes, with small stand-ins of clients, servers and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a script.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// Scenario is one case. It returns whether the rule was broken.
type Scenario func(e *Environment) (broken bool, err error)

// Environment is what a scenario gets.
type Environment struct {
	// Trouble tells that the disruption is played.
	Trouble bool
	// Dir is a temporary folder.
	Dir    string
	Record *Record
}

var scenarios = map[string]Scenario{
	"pipelined-stop":  pipelinedStop,
	"broken-ahead":    brokenAhead,
	"limited-servers": limitedServers,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second SCENARIO FOLDER")
		os.Exit(couldNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

// endOnSignal removes the temporary folder and ends the program on a signal; its processes end with it.
func endOnSignal(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		_ = os.RemoveAll(dir)
		os.Exit(couldNotRun)
	}()
}

func run(play Scenario, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Say("could not run: %v", err)
		return couldNotRun
	}
	defer os.RemoveAll(dir)
	endOnSignal(dir)
	broken, err := play(&Environment{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, Record: record})
	switch {
	case err != nil:
		record.Say("could not run: %v", err)
		return couldNotRun
	case broken:
		record.Say("the rule was broken")
		return ruleBroken
	}
	record.Say("the rule held")
	return ruleHeld
}
