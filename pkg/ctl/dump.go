package ctl

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

type dumpCommand struct {
	app *app
	All bool `long:"all" description:"ask every member and compare"`
}

// fleetDump is the output of dump: the dumps by instance (by operator URL when
// they are read through the API, by instance name with --store), the errors of
// those that did not answer, and how the instances differ.
type fleetDump struct {
	Instances   map[string]json.RawMessage `json:"instances"`
	Unreachable map[string]string          `json:"unreachable,omitempty"`
	Differences []string                   `json:"differences,omitempty"`
}

// Execute prints the dump of the instance, or with --all the dumps of all members
// and their differences.
func (c *dumpCommand) Execute([]string) error {
	if c.app.opts.Store != "" {
		return c.app.storeDump()
	}
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	servers, err := c.servers(cl)
	if err != nil {
		return err
	}
	result := fleetDump{Instances: map[string]json.RawMessage{}, Unreachable: map[string]string{}}
	statuses := map[string]api.Status{}
	for _, server := range servers {
		instance := &client{server: server, token: cl.token, http: cl.http}
		var dump json.RawMessage
		var status api.Status
		err := instance.get(api.DumpPath, nil, &dump)
		if err == nil {
			err = instance.get(api.StatusPath, nil, &status)
		}
		if err != nil {
			if !c.All {
				return err
			}
			result.Unreachable[server] = err.Error()
			continue
		}
		result.Instances[server] = dump
		statuses[server] = status
	}
	if len(result.Instances) == 0 {
		return &RefusedError{Failure: api.Failure{Message: "no instance answered"}}
	}
	result.Differences = differencesBetween(statuses)
	return c.app.print(result, nil)
}

// servers returns the operator URLs of the instances to read.
func (c *dumpCommand) servers(cl *client) ([]string, error) {
	if !c.All {
		return []string{cl.server}, nil
	}
	var list api.MemberList
	if err := cl.get(api.MembershipPath, nil, &list); err != nil {
		return nil, err
	}
	scheme, _, _ := strings.Cut(cl.server, "://")
	servers := make([]string, 0, len(list.Members))
	for _, m := range list.Members {
		servers = append(servers, scheme+"://"+m.OperatorAddress)
	}
	return servers, nil
}

// differencesBetween lists the values of the versions, Fresh and Member that only
// some of the instances report.
func differencesBetween(statuses map[string]api.Status) []string {
	groups := map[string][]string{}
	for server, s := range statuses {
		for _, property := range []string{
			fmt.Sprintf("config version %d", s.ConfigVersion),
			fmt.Sprintf("membership version %d", s.MembershipVersion),
			fmt.Sprintf("fresh %t", s.Fresh),
			fmt.Sprintf("member %t", s.Member),
		} {
			groups[property] = append(groups[property], server)
		}
	}
	var differences []string
	for property, servers := range groups {
		if len(servers) < len(statuses) {
			slices.Sort(servers)
			differences = append(differences, fmt.Sprintf("%s only at %v", property, servers))
		}
	}
	slices.Sort(differences)
	return differences
}
