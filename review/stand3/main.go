// Command stand3 runs the scripts of the review in REPORT-3.md: a small deployment of real host
// processes on loopback addresses, with the project's own stand-ins of the store and the
// servers.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is returned by a case that could not run.
var errNotRun = errors.New("the case could not run")

// runLimit bounds a case. At its end all processes are ended.
const runLimit = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*cluster, bool) ([]string, error){"moved": runMoved}
	const wantArgs = 3
	if len(os.Args) != wantArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCluster(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
		done <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var end outcome
	select {
	case end = <-done:
	case <-interrupted:
		end.err = fmt.Errorf("%w: interrupted", errNotRun)
	case <-time.After(runLimit):
		end.err = fmt.Errorf("%w: not done after %v", errNotRun, runLimit)
	}
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		c.keepLogs(dir)
	}
	if end.err != nil {
		r.printf("not run: %v", end.err)
		fmt.Fprintln(os.Stderr, end.err)
		return exitNotRun
	}
	for _, line := range end.broken {
		r.printf("BROKEN %s", line)
		fmt.Println(line)
	}
	if len(end.broken) > 0 {
		return exitBroken
	}
	r.printf("held")
	fmt.Println("held")
	return exitHeld
}
