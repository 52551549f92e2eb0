package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/<pid>/stat that follow the command name.
const (
	userField   = 11
	systemField = 12
)

// Usage is the resource usage of a process so far.
type Usage struct {
	CPU      time.Duration
	RSSBytes uint64
	// IOBytes counts bytes passed to read and write: TCP, files and logs. It does not
	// include the UDP packets between daemons, which use other system calls.
	IOBytes uint64
}

// readUsage reads the usage of the process that a pid file names.
func readUsage(pidFile string) (Usage, error) {
	body, err := os.ReadFile(pidFile)
	if err != nil {
		return Usage{}, err
	}
	dir := filepath.Join("/proc", strings.TrimSpace(string(body)))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return Usage{}, err
	}
	ticks, err := cpuTicks(string(stat))
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return Usage{}, err
	}
	io, err := os.ReadFile(filepath.Join(dir, "io"))
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		CPU:      time.Duration(ticks) * clockTick,
		RSSBytes: procField(string(status), "VmRSS:") << 10,
		IOBytes:  procField(string(io), "rchar:") + procField(string(io), "wchar:"),
	}, nil
}

// cpuTicks returns the sum of user and system time in clock ticks. The command name is in
// parentheses and may itself contain spaces and parentheses, as in "(a name) with)".
func cpuTicks(stat string) (uint64, error) {
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(fields) <= systemField {
		return 0, fmt.Errorf("bench: unreadable process state %q", stat)
	}
	user, errUser := strconv.ParseUint(fields[userField], 10, 64)
	system, errSystem := strconv.ParseUint(fields[systemField], 10, 64)
	if errUser != nil || errSystem != nil {
		return 0, fmt.Errorf("bench: unreadable process state %q", stat)
	}
	return user + system, nil
}

// procField returns the number on the line that starts with name, or zero.
func procField(text, name string) uint64 {
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return n
		}
	}
	return 0
}
