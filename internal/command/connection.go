package command

import (
	"flag"
	"net/netip"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/operator"
	"citrontray.example/citrontray/internal/platform"
)

// defaultTimeout bounds a command's calls.
const defaultTimeout = 10 * time.Second

// The forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// connection holds the flags that say whom to reach and how to answer.
type connection struct {
	operators, platform, daemons string
	authority                    string
	credential, output           string
	timeout                      time.Duration

	operatorAddrs, platformAddrs, daemonAddrs []netip.AddrPort
}

func (c *connection) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.operators, "operators", "", "addresses of the operators' API of entry hosts, IP:PORT with commas between")
	f.StringVar(&c.credential, "credential", "", "bearer credential for --operators; best set by the environment")
	f.StringVar(&c.authority, "authority", "", "file with the authority's certificate, ca.pem, that the hosts' certificates come from")
	f.StringVar(&c.platform, "platform", "", "addresses of the platform's service, to reach it directly instead of --operators")
	f.StringVar(&c.daemons, "daemons", "", "admin addresses of the daemons, for status, explain and top")
	f.StringVar(&c.output, "output", outputTable, "table or json")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "bound on each call")
}

// check parses the addresses and reports all bad flags together.
func (c *connection) check() error {
	var found finding.List
	c.operatorAddrs = addresses(&found, "--operators", c.operators)
	c.platformAddrs = addresses(&found, "--platform", c.platform)
	c.daemonAddrs = addresses(&found, "--daemons", c.daemons)
	if c.output != outputTable && c.output != outputJSON {
		found.Add("--output", c.output+" is not a form", "table or json")
	}
	if c.timeout <= 0 {
		found.Add("--timeout", "is not above zero", "")
	}
	if len(c.operatorAddrs) > 0 && c.credential == "" {
		found.Add("--credential", "is required with --operators", "set CITRONTRAY_CREDENTIAL")
	}
	for _, addr := range c.operatorAddrs {
		if c.authority == "" && !addr.Addr().IsLoopback() {
			found.Add("--authority", "is required to reach "+addr.String(), "the credential would go out in the clear")
			break
		}
	}
	return found.Err()
}

func addresses(found *finding.List, place, list string) []netip.AddrPort {
	var out []netip.AddrPort
	for part := range strings.SplitSeq(list, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			found.Add(place, part+" is not an address", "write IP:PORT, such as 10.0.0.1:7000")
			continue
		}
		out = append(out, addr)
	}
	return out
}

// store returns a client of the platform's service.
func (c *connection) store() (platform.Store, error) {
	if len(c.platformAddrs) == 0 {
		return nil, inputErrorf("--platform", "is required here")
	}
	return platform.NewClient(platform.ClientConfig{Addrs: c.platformAddrs, Timeout: c.timeout}), nil
}

// api returns where settings are read and written: the operators' API, or the
// platform's service where only that is given.
func (c *command) api() (operator.API, error) {
	if len(c.operatorAddrs) > 0 {
		return c.client()
	}
	if len(c.platformAddrs) == 0 {
		return nil, inputErrorf("--operators", "is required, or --platform to reach the store directly")
	}
	store, err := c.store()
	if err != nil {
		return nil, err
	}
	return operator.NewDirect(store, "direct:"+c.User), nil
}

// client returns a client of the operators' API.
func (c *connection) client() (*operator.Client, error) {
	config := operator.ClientConfig{Addrs: c.operatorAddrs, Credential: c.credential, Timeout: c.timeout}
	if c.authority != "" {
		pool, err := certs.AuthorityPool(c.authority)
		if err != nil {
			return nil, inputErrorf("--authority", "%s", err.Error())
		}
		config.Authority = pool
	}
	return operator.NewClient(config), nil
}
