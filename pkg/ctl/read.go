package ctl

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

type configCommand struct{ app *app }

// Execute prints the configuration document.
func (c *configCommand) Execute([]string) error {
	if c.app.opts.Store != "" {
		return c.app.storeConfig()
	}
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	var doc api.Document
	if err := cl.get(api.ConfigPath, nil, &doc); err != nil {
		return err
	}
	return c.app.print(doc, nil)
}

type historyCommand struct {
	app   *app
	Since int64 `long:"since" description:"list changes after this version"`
}

// Execute lists changes, newest first.
func (c *historyCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	var history api.History
	query := url.Values{api.ParameterSince: {strconv.FormatInt(c.Since, 10)}}
	if err := cl.get(api.HistoryPath, query, &history); err != nil {
		return err
	}
	return c.app.print(history, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(table, "VERSION\tAUTHOR\tTIME\tCHANGE")
		for _, ch := range history.Changes {
			_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", ch.Version, ch.Author, ch.Time.Format(time.RFC3339), strings.Join(ch.Differences, "; "))
		}
		_ = table.Flush()
	})
}

type statusCommand struct{ app *app }

// Execute prints the status of the instance, or of the fleet with --store.
func (c *statusCommand) Execute([]string) error {
	if c.app.opts.Store != "" {
		return c.app.storeStatus()
	}
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	var status api.Status
	if err := cl.get(api.StatusPath, nil, &status); err != nil {
		return err
	}
	return c.app.print(status, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "instance    %s (%s)\n", status.Instance, status.Incarnation)
		_, _ = fmt.Fprintf(w, "config      version %d, %s\n", status.ConfigVersion, status.ConfigState)
		_, _ = fmt.Fprintf(w, "membership  version %d, %d members, %d witnesses\n", status.MembershipVersion, status.Members, status.Witnesses)
		_, _ = fmt.Fprintf(w, "member      %t\nfresh       %t\n", status.Member, status.Fresh)
		_, _ = fmt.Fprintf(w, "evacuated   %s\n", zoneList(status.EvacuatedZones))
	})
}

// zoneList returns the names of zones for one line.
func zoneList(zones []string) string {
	if len(zones) == 0 {
		return "no zone"
	}
	return strings.Join(zones, ", ")
}

type membersCommand struct{ app *app }

// Execute lists the members.
func (c *membersCommand) Execute([]string) error {
	if c.app.opts.Store != "" {
		return c.app.storeMembers()
	}
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	var list api.MemberList
	if err := cl.get(api.MembershipPath, nil, &list); err != nil {
		return err
	}
	return c.app.print(list, func(w io.Writer) { printMembers(w, list) })
}

func printMembers(w io.Writer, list api.MemberList) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "membership version %d\nINSTANCE\tINCARNATION\tZONE\tCALLERS\tPEERS\tWITNESS\n", list.Version)
	for _, m := range list.Members {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%t\n", m.Instance, m.Incarnation, m.Zone, m.CallerAddress, m.PeerAddress, m.Witness)
	}
	_ = table.Flush()
}

type replaceCommand struct {
	app  *app
	Gone []string `long:"gone" required:"true" description:"incarnation of a member that is certainly gone; repeat for each"`
}

// Execute declares members gone. Use it only if the platform's instance list does not
// show whether they still run: a member that does keeps admitting requests on an
// old configuration.
func (c *replaceCommand) Execute([]string) error {
	cl, err := c.app.client()
	if err != nil {
		return err
	}
	var list api.MemberList
	if err := cl.post(api.ReplacePath, api.Replacement{Gone: c.Gone}, &list); err != nil {
		return err
	}
	return c.app.print(list, func(w io.Writer) { printMembers(w, list) })
}
