// Command play2 plays the cases of the second review: it starts the project's own programs as
// processes on loopback addresses, with stand-ins for clients, servers and the platform, and
// checks one rule from what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// maxPlay bounds a case, with time left for its end.
const maxPlay = 110 * time.Second

// cases holds the cases by name. Each reports whether the rule held.
var cases = map[string]func(*play) bool{}

// play is one run of a case.
type play struct {
	*record
	*system
	// trouble is false for a run without the disruption.
	trouble bool
}

// cannotRun ends the case with notRun.
func cannotRun(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play2 CASE REPOSITORY RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, path string) (code int) {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	p := &play{record: r, system: &system{root: root, log: r}, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		if e := recover(); e != nil {
			p.note("the case could not run: %v", e)
			code = notRun
		}
		p.endAll()
		p.note("exit %d", code)
	}()
	p.prepare()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxPlay):
		}
		p.note("ended before the case was over")
		p.endAll()
		os.Exit(notRun)
	}()
	p.note("case %s, with the disruption: %t", name, p.trouble)
	if cases[name](p) {
		p.note("the rule held")
		return ruleHeld
	}
	p.note("the rule was broken")
	return ruleBroken
}
