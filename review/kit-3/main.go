// Command play3 plays the scripts of the third review: it starts the project's own programs as
// separate processes on loopback addresses, with stand-ins for the platform, the servers, the
// operator and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for the record")
	name := flag.String("case", "", "case to play")
	delay := flag.Duration("delay", 0, "overrides the moment of the disruption, for trials")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	rec := &record{start: time.Now()}
	c, err := newCluster(*root, rec)
	code := exitNotRun
	if err == nil {
		code, err = play(c, trouble, *delay)
		c.stop()
	}
	if err != nil {
		rec.add("not run: %v", err)
		code = exitNotRun
	}
	rec.add("result %d", code)
	if err := rec.write(*recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	os.Exit(code)
}

var cases = map[string]func(c *cluster, trouble bool, delay time.Duration) (int, error){
	"recover":      recovery,
	"young-leader": youngLeader,
	"odd-entries":  oddEntries,
}
