package command

import (
	"context"
	"fmt"
	"strings"

	"citrontray.example/citrontray/internal/settings"
)

const referenceHead = `# Settings reference

This page is the output of ` + "`citrontray reference`" + `; a test compares them.

A settings file is a YAML mapping of paths to fields; comments are allowed, the
order does not matter. ` + "`path: null`" + ` deletes a setting. A file
sets the whole value of each path in it and leaves all other paths unchanged.
Names in paths consist of lower-case letters, digits and ` + "`.` `_` `-`" + ` (not at either end), at most
63 bytes. A file has at most 1 MiB, all settings together at most 1 MB as kept in the
platform's service, compressed and with their history.

In addition, these rules must hold, or nothing is written:

- names of services and of callers are unique in the deployment;
- a route refers to an existing service, and to callers of its own team;
- a route to another team's service needs a share in that service, and its prefix
  starts with the share's prefix;
- keys of routes to one service do not overlap if teams or tenants differ;
- a caller's method and path match only one route;
- a route that takes GET is idempotent;
- a team's delegation covers only paths of the team;
- no two callers or operators share a credential.

`

// reference returns the reference page of all settings.
func reference() string {
	var b strings.Builder
	b.WriteString(referenceHead)
	for _, k := range settings.Kinds() {
		fmt.Fprintf(&b, "## `%s`\n\n%s\n\n| field | value | default | meaning |\n|---|---|---|---|\n", k.Pattern, k.Description)
		for _, f := range k.Fields {
			fallback := f.Default
			switch {
			case f.Required:
				fallback = "required"
			case fallback == "":
				fallback = "none"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Name, f.Type, fallback, f.Description)
		}
		b.WriteByte('\n')
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func referenceCommand() *command {
	return &command{
		name: "reference", local: true,
		synopsis: "print the reference of all settings, in Markdown",
		run: func(_ context.Context, c *command, args []string) error {
			if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
				return err
			}
			fmt.Fprint(c.Out, reference())
			return nil
		},
	}
}
