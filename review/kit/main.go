// Command play plays one case of the review: it starts the programs of the deploy file as
// separate processes on loopback addresses, beside stand-ins for clients, servers and the
// platform. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// plays maps the name of a case to what plays it. trouble is false where the disruption is
// left out.
var plays = map[string]func(p *platform, trouble bool) int{
	"memory":    playMemory,
	"bootstrap": playBootstrap,
	"quorum":    playQuorum,
	"leave":     playLeave,
	"cut":       playCut,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE REPOSITORY RECORD")
		return couldNot
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	p, err := newPlatform(root, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer p.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		p.close()
		os.Exit(couldNot)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	result := plays[os.Args[1]](p, trouble)
	r.line("result: %d (trouble: %v)", result, trouble)
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule was broken", couldNot: "the case could not run"}[result])
	return result
}
