package bench

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"

	"citrontray.example/citrontray/internal/place"
)

// Process is the name of a process of a host.
type Process string

// Processes of a host.
const (
	LeadProcess  Process = "lead"
	EntryProcess Process = "entry"
)

// Supervisor controls the daemons through the script that started the bench, as no
// process of this system starts another. Each request is one line, which the script
// answers by a line "ok" or "failed". It is safe for concurrent use.
type Supervisor struct {
	mu  sync.Mutex
	out io.Writer
	in  *bufio.Reader
}

// NewSupervisor returns a supervisor that writes requests to out and reads the script's
// responses from in.
func NewSupervisor(out io.Writer, in io.Reader) *Supervisor {
	return &Supervisor{out: out, in: bufio.NewReader(in)}
}

// StartAll starts all daemons with the given peer addresses to contact first. The fake
// platform must be running.
func (d *Supervisor) StartAll(seeds []string) error {
	return d.request("started", strings.Join(seeds, ","))
}

// Start starts one process.
func (d *Supervisor) Start(host place.Host, process Process) error {
	return d.request("start", string(process), string(host))
}

// Signal sends a signal, such as KILL, to one process.
func (d *Supervisor) Signal(signal string, host place.Host, process Process) error {
	return d.request("signal", signal, string(process), string(host))
}

// Stop stops one process gracefully and waits for its end.
func (d *Supervisor) Stop(host place.Host, process Process) error {
	return d.request("stop", string(process), string(host))
}

// RunTask runs one of the script's operator tasks.
func (d *Supervisor) RunTask(task string, args ...string) error {
	return d.request(append([]string{"operate", task}, args...)...)
}

// StopAll stops all daemons gracefully.
func (d *Supervisor) StopAll() error { return d.request("ended") }

func (d *Supervisor) request(words ...string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := strings.Join(words, " ")
	if _, err := fmt.Fprintln(d.out, line); err != nil {
		return fmt.Errorf("bench: request %q: %w", line, err)
	}
	response, err := d.in.ReadString('\n')
	if err != nil {
		return fmt.Errorf("bench: response to %q: %w", line, err)
	}
	if response = strings.TrimSpace(response); response != "ok" {
		return fmt.Errorf("bench: request %q: the script responded %q", line, response)
	}
	return nil
}
