package lab

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/google/subcommands"

	"citrontray.example/citrontray/internal/bench"
	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
)

// maxPorts bounds the ports that the command ports prints, portAttempts the ports that
// freePorts tries.
const (
	maxPorts     = 1000
	portAttempts = 10 * maxPorts
)

// Ports are chosen from firstPort to lastPort-1.
const (
	firstPort = 10000
	lastPort  = 32000
)

// presetCommand prints the settings file of a preset.
type presetCommand struct{ name string }

// Name implements subcommands.Command.
func (*presetCommand) Name() string { return "preset" }

// Synopsis implements subcommands.Command.
func (*presetCommand) Synopsis() string { return "print the settings file of a preset" }

// Usage implements subcommands.Command.
func (*presetCommand) Usage() string {
	return "preset --name agency|consortium|SERVICESxTARGETSxSHARDS\n"
}

// SetFlags implements subcommands.Command.
func (c *presetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.name, "name", string(preset.Agency), "name of the preset")
}

// Execute implements subcommands.Command.
func (c *presetCommand) Execute(_ context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := outputOf(args)
	var findings finding.List
	p, _ := readPreset(&findings, c.name)
	if err := findings.Err(); err != nil {
		return o.exit(err)
	}
	_, err := o.out.Write(p.File)
	return o.exit(err)
}

// readPreset returns the preset or sized deployment of that name, with its settings. An
// invalid name is a finding.
func readPreset(findings *finding.List, name string) (preset.Preset, *settings.Settings) {
	p, ok := sizedPreset(name)
	if !ok {
		var err error
		if p, err = preset.Get(preset.Name(name)); err != nil {
			findings.Add("--preset", err.Error(), "see citrontray-lab preset --help")
			return p, nil
		}
	}
	s, err := p.Settings()
	if err != nil {
		findings.Add("--preset", err.Error(), "")
	}
	return p, s
}

// portsCommand prints free ports.
type portsCommand struct{ count int }

// Name implements subcommands.Command.
func (*portsCommand) Name() string { return "ports" }

// Synopsis implements subcommands.Command.
func (*portsCommand) Synopsis() string {
	return "print ports that are free on loopback for TCP and UDP"
}

// Usage implements subcommands.Command.
func (*portsCommand) Usage() string { return "ports --count N\n" }

// SetFlags implements subcommands.Command.
func (c *portsCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.count, "count", 1, "number of ports")
}

// Execute implements subcommands.Command.
func (c *portsCommand) Execute(_ context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := outputOf(args)
	ports, err := freePorts(min(c.count, maxPorts))
	if err != nil {
		return o.exit(err)
	}
	for _, port := range ports {
		fmt.Fprintln(o.out, port)
	}
	return o.exit(nil)
}

// freePorts returns ports that are free for TCP and UDP. They are below the system's
// range for outgoing connections, which could take a port before its daemon listens. All
// ports are held open until the last one is found, so that they differ.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range portAttempts {
		if len(ports) == count {
			return ports, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		defer listener.Close() //nolint:errcheck // only reserves the port
		packets, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		defer packets.Close() //nolint:errcheck // only reserves the port
		ports = append(ports, port)
	}
	return nil, fmt.Errorf("lab: found only %d of %d free ports", len(ports), count)
}

// scenariosCommand lists the scenarios of the bench.
type scenariosCommand struct{}

// Name implements subcommands.Command.
func (*scenariosCommand) Name() string { return "scenarios" }

// Synopsis implements subcommands.Command.
func (*scenariosCommand) Synopsis() string { return "list the scenarios of the bench" }

// Usage implements subcommands.Command.
func (*scenariosCommand) Usage() string { return "scenarios\n" }

// SetFlags implements subcommands.Command.
func (*scenariosCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*scenariosCommand) Execute(_ context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := outputOf(args)
	for _, s := range bench.All() {
		fmt.Fprintf(o.out, "%-20s %s\n", s.Name, s.Description)
	}
	return o.exit(nil)
}
