// Command regress compares the latest score of each deployment in a journal with the previous
// one of another commit, and fails if a deployment got worse.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	journal := flag.String("journal", "journal", "directory of the journal")
	earlier := flag.String("earlier", "", "commit to compare with, or the start of its hash; if empty, the latest other commit of each deployment")
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
