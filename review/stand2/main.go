// Command stand2 runs one case of the second review: it starts citrontray-host processes, plays
// the platform, the servers and the clients, and checks one rule by what these have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotReady is returned if the deployment did not serve before the disruption.
var errNotReady = errors.New("the deployment does not serve")

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"planned-stop": plannedStop,
	"token-space":  tokenSpace,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("host", "target/citrontray-host", "program of a host")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	broken, err := runCase(play, *binary, *recordPath, *trouble)
	switch {
	case err != nil:
		fmt.Fprintf(os.Stderr, "not run: %v\n", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// runCase runs a case in a temporary folder, in which the logs of the hosts are. They are kept
// if KEEP is set.
func runCase(play func(*deployment, bool) (bool, error), binary, recordPath string, trouble bool) (bool, error) {
	program, err := filepath.Abs(binary)
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return false, err
	}
	defer r.close()
	d, err := newDeployment(r, program, dir)
	if err != nil {
		return false, err
	}
	defer d.close()
	return play(d, trouble)
}
