package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/traffic"
)

func checkCommand() *command {
	var inForce string
	return &command{
		name: "check", local: true, usage: "FILE [--in-force FILE]",
		synopsis: "check a configuration of citrontray-host before it is submitted",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&inForce, "in-force", "", "file with the configuration in force, to list the differences")
		},
		run: func(_ context.Context, c *command, args []string) error {
			if err := checkArgs(args, 1, 1, c.usage); err != nil {
				return err
			}
			return c.checkConfig(args[0], inForce)
		},
	}
}

// checkConfig prints what is wrong with the configuration in a file, and its differences from
// the one in force if that is given. It returns the errors.
func (c *command) checkConfig(file, inForce string) error {
	var found finding.List
	config := c.readConfig(file, &found)
	var old *traffic.Config
	if inForce != "" {
		old = c.readConfig(inForce, &found)
	}
	if config == nil {
		return found.Err()
	}
	report := traffic.Check(config, old)
	c.printFindings("never matches:", &report.Unmatched)
	c.printFindings("differs from the configuration in force:", &report.Differences)
	for _, f := range report.Errors.Sorted() {
		found.Add(f.Location, f.Text, f.Hint)
	}
	if found.Empty() {
		fmt.Fprintln(c.Out, "no errors")
	}
	return found.Err()
}

// readConfig reads and decodes a configuration. It returns nil, and adds a finding, if it can't.
func (c *command) readConfig(file string, found *finding.List) *traffic.Config {
	body, err := os.ReadFile(file)
	if err != nil {
		found.Add(file, err.Error(), "")
		return nil
	}
	config, err := c.DecodeConfig(body)
	if err != nil {
		found.Add(file, err.Error(), "")
		return nil
	}
	return config
}

// printFindings prints findings under a heading, nothing if there are none.
func (c *command) printFindings(heading string, l *finding.List) {
	if l.Empty() {
		return
	}
	fmt.Fprintln(c.Out, heading)
	for _, f := range l.Sorted() {
		fmt.Fprintln(c.Out, "  "+f.String())
	}
}
