// Package option reads a program's options from flags and environment variables and
// reports all invalid ones together.
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

// EnvPrefix is the prefix of the flags' environment variables: CITRONTRAY_PEER_ADDRESS
// sets --peer-address.
const EnvPrefix = "CITRONTRAY"

// ExitUsage is the exit code for invalid input, before anything was started.
const ExitUsage = 2

// ErrHelp is returned if --help was given.
var ErrHelp = flag.ErrHelp

// Set is a flag set that collects findings.
type Set struct {
	*flag.FlagSet

	Findings finding.List

	summary string
	out     io.Writer
}

// New returns a flag set for the program. Its help goes to out; synopsis is one
// sentence on what the program does.
func New(program, synopsis string, out io.Writer) *Set {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Usage = func() {} // Read prints the help, on --help only
	return &Set{FlagSet: fs, summary: synopsis, out: out}
}

// Read parses args and the environment. It returns ErrHelp after printing the help,
// and a *finding.Error for an unknown flag or an invalid value.
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

// printHelp prints the summary and the flags.
func (s *Set) printHelp() {
	fmt.Fprintf(s.out, "%s: %s\n\n", s.Name(), s.summary)
	fmt.Fprintf(s.out, "Each flag can also be set by an environment variable: %s_ and the flag's\n", EnvPrefix)
	fmt.Fprintf(s.out, "name in upper case with _ for -. A flag overrides its variable.\n\n")
	s.SetOutput(s.out)
	s.PrintDefaults()
}

// Address parses the value of a flag as an IP address and port. A host name is a
// finding, as hosts address each other by IP only.
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

// Required records a finding if the value is empty.
func (s *Set) Required(name, value string) {
	if value == "" {
		s.Findings.Add("--"+name, "is required", "set it or "+EnvName(name))
	}
}

// EnvName returns the name of a flag's environment variable.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
