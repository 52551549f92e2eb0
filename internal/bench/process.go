package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc on Linux.
const clockTick = 10 * time.Millisecond

// The fields of /proc/<pid>/stat after the command's name.
const (
	userField   = 11
	systemField = 12
)

// Usage is what one process has used so far.
type Usage struct {
	CPU      time.Duration
	RSSBytes uint64
	// IOBytes is what went through read and write: TCP, files and logs. The
	// UDP packets between the daemons go other ways and are not in it.
	IOBytes uint64
}

// readUsage reads the usage of the process whose id is in a pid file.
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

// cpuTicks returns user and system time; the command's name stands in brackets
// and may itself hold spaces and brackets, as in "(a name) with)".
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

// procField returns the number in the line that starts with name, or zero.
func procField(text, name string) uint64 {
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return n
		}
	}
	return 0
}
