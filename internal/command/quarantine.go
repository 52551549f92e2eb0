package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"

	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/status"
)

func quarantineCommand() *command {
	return &command{
		name: "quarantine", usage: "[list | lift FINGERPRINT | forbid FINGERPRINT]",
		synopsis: "list the requests that are refused since targets end under them, lift a refusal, or forbid a request",
		run: func(ctx context.Context, c *command, args []string) error {
			if len(args) == 0 {
				args = []string{"list"}
			}
			switch action := args[0]; action {
			case "list":
				if err := checkArgs(args, 1, 1, c.usage); err != nil {
					return err
				}
				return c.listQuarantined(ctx)
			case quarantine.ActionLift, quarantine.ActionForbid:
				if err := checkArgs(args, 2, 2, c.usage); err != nil {
					return err
				}
				f, err := quarantine.ParseFingerprint(args[1])
				if err != nil {
					return inputErrorf(args[1], "is not a fingerprint: it has 16 hexadecimal digits")
				}
				return c.decideQuarantine(ctx, action, f)
			}
			return inputErrorf(args[0], "is not list, lift or forbid")
		},
	}
}

// listQuarantined prints the requests that any host refuses.
func (c *command) listQuarantined(ctx context.Context) error {
	responses, err := c.collect(ctx, status.Query{})
	if err != nil {
		return err
	}
	list := status.MergeQuarantined(responses)
	if c.output == outputJSON {
		return c.printJSON(list)
	}
	if len(list) == 0 {
		fmt.Fprintln(c.Out, "no request is quarantined")
	}
	c.printQuarantined(list, "")
	return nil
}

// decideQuarantine sends a decision to the first daemon that responds, which tells the
// others.
func (c *command) decideQuarantine(ctx context.Context, action string, f quarantine.Fingerprint) error {
	if len(c.daemonAddrs) == 0 {
		return inputErrorf("--daemons", "is required: the admin addresses of the daemons")
	}
	client := &http.Client{Timeout: c.timeout}
	var errs []error
	for _, addr := range c.daemonAddrs {
		code, err := postDecision(ctx, client, addr, action, f)
		switch {
		case err != nil:
			errs = append(errs, err)
			continue
		case code == http.StatusOK:
			fmt.Fprintf(c.Out, "%s %s: accepted by %s\n", action, f, addr)
			return nil
		case code == http.StatusNotFound && action == quarantine.ActionLift:
			return fmt.Errorf("nothing is held against %s on %s", f, addr)
		}
		errs = append(errs, fmt.Errorf("%s: status %d", addr, code))
	}
	return fmt.Errorf("%w: no daemon accepted it: %w", platform.ErrUnavailable, errors.Join(errs...))
}

func postDecision(ctx context.Context, client *http.Client, addr netip.AddrPort, action string, f quarantine.Fingerprint) (int, error) {
	path := strings.NewReplacer("{fingerprint}", f.String(), "{action}", action).Replace(quarantine.DecisionPath)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// printQuarantined prints the refused requests for one service, or for all if the name is
// empty.
func (c *command) printQuarantined(list []status.Quarantined, service string) {
	for _, r := range list {
		if service != "" && service != r.Service {
			continue
		}
		if r.Forbidden {
			fmt.Fprintf(c.Out, "quarantined: request %s, forbidden %s ago\n", r.Fingerprint, c.formatAge(r.Since))
			continue
		}
		next := "is not tried again"
		if !r.Until.IsZero() {
			next = "tried again in " + c.formatAge(c.Now().Add(-r.Until.Sub(c.Now())))
		}
		fmt.Fprintf(c.Out, "quarantined: request %s of %s, %d targets ended under it (%s), the last %s ago, %s\n",
			r.Fingerprint, r.Service, r.Ends, strings.Join(r.Targets, ", "), c.formatAge(r.Since), next)
	}
}
