package bench

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"

	"citrontray.example/citrontray/internal/place"
)

// Part is a process of a host.
type Part string

// The parts of a host.
const (
	LeadPart  Part = "lead"
	EntryPart Part = "entry"
)

// Director asks the script that started the bench to act on the daemons,
// since no process of ours starts another. Each request is one line; the
// script answers each with a line, "ok" or "failed". Safe for concurrent use.
type Director struct {
	mu  sync.Mutex
	out io.Writer
	in  *bufio.Reader
}

// NewDirector returns a director that writes to out and reads answers from in.
func NewDirector(out io.Writer, in io.Reader) *Director {
	return &Director{out: out, in: bufio.NewReader(in)}
}

// Started asks to start all daemons, with the platform being there now and the
// peer addresses that they start from.
func (d *Director) Started(seeds []string) error {
	return d.ask("started", strings.Join(seeds, ","))
}

// Start asks to start one process.
func (d *Director) Start(host place.Host, part Part) error {
	return d.ask("start", string(part), string(host))
}

// Signal asks to send a signal, such as KILL, to one process.
func (d *Director) Signal(signal string, host place.Host, part Part) error {
	return d.ask("signal", signal, string(part), string(host))
}

// Stop asks to stop one process as planned and waits for its end.
func (d *Director) Stop(host place.Host, part Part) error {
	return d.ask("stop", string(part), string(host))
}

// Operate asks to run one of the script's operator tasks.
func (d *Director) Operate(task string, args ...string) error {
	return d.ask(append([]string{"operate", task}, args...)...)
}

// Ended asks to stop all daemons as planned.
func (d *Director) Ended() error { return d.ask("ended") }

func (d *Director) ask(words ...string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := strings.Join(words, " ")
	if _, err := fmt.Fprintln(d.out, line); err != nil {
		return fmt.Errorf("bench: ask for %q: %w", line, err)
	}
	answer, err := d.in.ReadString('\n')
	if err != nil {
		return fmt.Errorf("bench: answer to %q: %w", line, err)
	}
	if answer = strings.TrimSpace(answer); answer != "ok" {
		return fmt.Errorf("bench: %q: %s", line, answer)
	}
	return nil
}
