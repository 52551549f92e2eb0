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

// defaultTimeout limits each call of a command.
const defaultTimeout = 10 * time.Second

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// connection holds the flags for the addresses to call and for the output.
type connection struct {
	operators, platform, daemons string
	authority                    string
	credential, output           string
	timeout                      time.Duration

	operatorAddrs, platformAddrs, daemonAddrs []netip.AddrPort
}

func (c *connection) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.operators, "operators", "", "addresses of the operators' API of entry hosts, IP:PORT[,IP:PORT]")
	f.StringVar(&c.credential, "credential", "", "bearer credential for --operators; preferably set in the environment")
	f.StringVar(&c.authority, "authority", "", "file with the certificate of the authority that issued the hosts' certificates, ca.pem")
	f.StringVar(&c.platform, "platform", "", "addresses of the platform's service, to call it directly instead of --operators")
	f.StringVar(&c.daemons, "daemons", "", "admin addresses of the daemons, for status, explain and top")
	f.StringVar(&c.output, "output", outputTable, "table or json")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout of each call")
}

// check parses the addresses and reports all invalid flags together.
func (c *connection) check() error {
	var found finding.List
	c.operatorAddrs = addresses(&found, "--operators", c.operators)
	c.platformAddrs = addresses(&found, "--platform", c.platform)
	c.daemonAddrs = addresses(&found, "--daemons", c.daemons)
	if c.output != outputTable && c.output != outputJSON {
		found.Add("--output", c.output+" is not an output format", "table or json")
	}
	if c.timeout <= 0 {
		found.Add("--timeout", "must be positive", "")
	}
	if len(c.operatorAddrs) > 0 && c.credential == "" {
		found.Add("--credential", "is required with --operators", "set CITRONTRAY_CREDENTIAL")
	}
	for _, addr := range c.operatorAddrs {
		if c.authority == "" && !addr.Addr().IsLoopback() {
			found.Add("--authority", "is required to reach "+addr.String(), "the credential would be sent unencrypted")
			break
		}
	}
	return found.Err()
}

func addresses(found *finding.List, location, list string) []netip.AddrPort {
	var out []netip.AddrPort
	for part := range strings.SplitSeq(list, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			found.Add(location, part+" is not an address", "write IP:PORT, such as 10.0.0.1:7000")
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

// api returns a client of the operators' API, or direct access to the platform's service
// if only --platform is given.
func (c *command) api() (operator.API, error) {
	if len(c.operatorAddrs) > 0 {
		return c.client()
	}
	if len(c.platformAddrs) == 0 {
		return nil, inputErrorf("--operators", "is required, or --platform to access the store directly")
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
