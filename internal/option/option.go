// Package option reads a program's settings from flags and environment
// variables once, at start, and reports all bad ones together.
package option

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/peterbourgon/ff/v3"

	"citrontray.example/citrontray/internal/finding"
)

// EnvPrefix starts the environment variable of each flag: --peer-address is
// CITRONTRAY_PEER_ADDRESS.
const EnvPrefix = "CITRONTRAY"

// ExitUsage is the exit code for bad input; nothing was started.
const ExitUsage = 2

// ErrHelp is returned where the caller asked for --help.
var ErrHelp = flag.ErrHelp

// Set is a flag set whose findings are collected.
type Set struct {
	*flag.FlagSet

	Findings finding.List

	summary string
	out     io.Writer
}

// New returns a set for the program, whose help goes to out. The about line
// says in one sentence what the program does.
func New(program, about string, out io.Writer) *Set {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Usage = func() {} // Read prints the help, and only where it was asked for
	return &Set{FlagSet: fs, summary: about, out: out}
}

// Read parses args and the environment. It returns ErrHelp after printing the
// help, or a *finding.Error for an unknown or unparsable flag.
func (s *Set) Read(args []string) error {
	err := ff.Parse(s.FlagSet, args, ff.WithEnvVarPrefix(EnvPrefix))
	if err == nil {
		return nil
	}
	if errors.Is(err, flag.ErrHelp) {
		s.printHelp()
		return ErrHelp
	}
	s.Findings.Add(s.Name(), err.Error(), "see --help")
	return s.Findings.Err()
}

// printHelp prints what the program does and its flags.
func (s *Set) printHelp() {
	fmt.Fprintf(s.out, "%s: %s\n\n", s.Name(), s.summary)
	fmt.Fprintf(s.out, "Each flag can also be set by an environment variable, %s_ and the flag's\n", EnvPrefix)
	fmt.Fprintf(s.out, "name in capitals with _ for -; a flag goes before its variable.\n\n")
	s.SetOutput(s.out)
	s.PrintDefaults()
}

// Address parses the value of a flag as an IP address and port. Host names are
// a finding: hosts meet by IP number.
func (s *Set) Address(name, value string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		s.Findings.Add("--"+name, fmt.Sprintf("%q is not an address", value), "write IP:PORT, such as 10.0.0.1:7000")
	}
	return addr
}

// Addresses parses a comma-separated list of addresses.
func (s *Set) Addresses(name, value string) []netip.AddrPort {
	var out []netip.AddrPort
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, s.Address(name, part))
		}
	}
	return out
}

// Required records a finding where the value is empty.
func (s *Set) Required(name, value string) {
	if value == "" {
		s.Findings.Add("--"+name, "is required", "set it or "+EnvName(name))
	}
}

// EnvName returns the environment variable of a flag.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
