// Command regress compares the latest score of each deployment in a journal of plays
// with the one before it, of an earlier commit, and fails if one got worse.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	journal := flag.String("journal", "journal", "folder of the entries of plays")
	earlier := flag.String("earlier", "", "commit that the scores to compare with are of; the latest other one of each deployment if empty")
	flag.Parse()
	entries, err := readEntries(*journal)
	if err != nil {
		fmt.Fprintln(os.Stderr, "regress:", err)
		os.Exit(2)
	}
	worse := 0
	for _, c := range compare(entries, *earlier) {
		fmt.Println(c)
		if len(c.Faults) > 0 {
			worse++
		}
	}
	if worse > 0 {
		fmt.Printf("%d deployments got worse\n", worse)
		os.Exit(1)
	}
}
