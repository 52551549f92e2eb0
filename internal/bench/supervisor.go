package bench

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"

	"citrontray.example/citrontray/internal/place"
)

// Process is a process of a host.
type Process string

// The parts of a host.
const (
	LeadProcess  Process = "lead"
	EntryProcess Process = "entry"
)

// Supervisor asks the script that started the bench to act on the daemons,
// since no process of ours starts another. Each request is one line; the
// script answers each with a line, "ok" or "failed". Safe for concurrent use.
type Supervisor struct {
	mu  sync.Mutex
	out io.Writer
	in  *bufio.Reader
}

// NewSupervisor returns a director that writes to out and reads answers from in.
func NewSupervisor(out io.Writer, in io.Reader) *Supervisor {
	return &Supervisor{out: out, in: bufio.NewReader(in)}
}

// StartAll asks to start all daemons, with the platform being there now and the
// peer addresses that they start from.
func (d *Supervisor) StartAll(seeds []string) error {
	return d.request("started", strings.Join(seeds, ","))
}

// Start asks to start one process.
func (d *Supervisor) Start(host place.Host, part Process) error {
	return d.request("start", string(part), string(host))
}

// Signal asks to send a signal, such as KILL, to one process.
func (d *Supervisor) Signal(signal string, host place.Host, part Process) error {
	return d.request("signal", signal, string(part), string(host))
}

// Stop asks to stop one process as planned and waits for its end.
func (d *Supervisor) Stop(host place.Host, part Process) error {
	return d.request("stop", string(part), string(host))
}

// RunTask asks to run one of the script's operator tasks.
func (d *Supervisor) RunTask(task string, args ...string) error {
	return d.request(append([]string{"operate", task}, args...)...)
}

// StopAll asks to stop all daemons as planned.
func (d *Supervisor) StopAll() error { return d.request("ended") }

func (d *Supervisor) request(words ...string) error {
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
