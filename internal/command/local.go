package command

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net/netip"
	"strings"

	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/settings"
)

func credentialCommand() *command {
	return &command{
		name: "credential", local: true,
		synopsis: "generate a bearer credential and its hash for the settings",
		run: func(_ context.Context, c *command, args []string) error {
			if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
				return err
			}
			credential := rand.Text()
			fmt.Fprintf(c.Out, "credential: %s\nhash: %s\n", credential, settings.FormatHash(settings.HashCredential(credential)))
			return nil
		},
	}
}

func keysCommand() *command {
	var dir, host, zone, ips string
	return &command{
		name: "keys", local: true, usage: "authority|host|retire --dir DIR [--host NAME --zone NAME --ips IP,...]",
		synopsis: "create the operator's authority, issue a host's certificates, or remove old authorities",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&dir, "dir", "", "directory of the authority and the certificates")
			f.StringVar(&host, "host", "", "name of the host")
			f.StringVar(&zone, "zone", "", "availability zone of the host")
			f.StringVar(&ips, "ips", "", "IP addresses of the host, separated by commas")
		},
		run: func(_ context.Context, c *command, args []string) error {
			if err := checkArgs(args, 1, 1, c.usage); err != nil {
				return err
			}
			if dir == "" {
				return inputErrorf("--dir", "is required")
			}
			switch args[0] {
			case "authority":
				return certs.CreateAuthority(c.Now(), dir)
			case "host":
				return issueHostCertificates(c, dir, host, zone, ips)
			case "retire":
				return certs.RemoveOldAuthorities(dir)
			}
			return inputErrorf(args[0], "is not authority, host or retire")
		},
	}
}

// issueHostCertificates issues the certificates of a host's processes.
func issueHostCertificates(c *command, dir, host, zone, ips string) error {
	var found finding.List
	if host == "" {
		found.Add("--host", "is required", "")
	}
	if zone == "" {
		found.Add("--zone", "is required", "")
	}
	var addrs []netip.Addr
	for part := range strings.SplitSeq(ips, ",") {
		addr, err := netip.ParseAddr(strings.TrimSpace(part))
		if err != nil {
			found.Add("--ips", part+" is not an IP address", "")
			continue
		}
		addrs = append(addrs, addr)
	}
	if err := found.Err(); err != nil {
		return err
	}
	roles := []peer.Role{peer.RoleEntry, peer.RoleLead}
	return certs.IssueHost(c.Now(), dir, place.Host(host), place.Zone(zone), roles, addrs)
}

func completionCommand() *command {
	return &command{
		name: "completion", local: true, usage: "bash|zsh",
		synopsis: "print a completion script for the shell",
		run: func(_ context.Context, c *command, args []string) error {
			if err := checkArgs(args, 1, 1, c.usage); err != nil {
				return err
			}
			switch args[0] {
			case "bash":
			case "zsh":
				fmt.Fprintln(c.Out, "autoload -U +X bashcompinit && bashcompinit")
			default:
				return inputErrorf(args[0], "is neither bash nor zsh")
			}
			fmt.Fprint(c.Out, completionScript())
			return nil
		},
	}
}

// completionScript returns a bash script that completes the commands and the flags of
// each command.
func completionScript() string {
	var b strings.Builder
	all := commands()
	names := make([]string, 0, len(all))
	for _, g := range all {
		names = append(names, g.name)
	}
	b.WriteString("_citrontray() {\n  local word=${COMP_WORDS[COMP_CWORD]} words\n  case ${COMP_WORDS[1]} in\n")
	for _, g := range all {
		f := flag.NewFlagSet(g.name, flag.ContinueOnError)
		g.Env = &Env{Getenv: func(string) string { return "" }}
		g.SetFlags(f)
		var flags []string
		f.VisitAll(func(each *flag.Flag) { flags = append(flags, "--"+each.Name) })
		fmt.Fprintf(&b, "    %s) words=%q ;;\n", g.name, strings.Join(flags, " "))
	}
	b.WriteString("  esac\n")
	fmt.Fprintf(&b, "  if [ \"$COMP_CWORD\" -eq 1 ]; then words=%q; fi\n", strings.Join(names, " "))
	b.WriteString("  COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n}\ncomplete -o default -F _citrontray citrontray\n")
	return b.String()
}
