package ctl

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/evacuation"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/follow"
)

// fakeStore is a platform's store with three instances, the second of which serves no dump.
type fakeStore struct {
	dumpAddress, otherDumpAddress string
	err                           error
}

func (s *fakeStore) Await(context.Context, follow.Cursor) (follow.Update, error) {
	c := config.Empty()
	c.Teams["red"] = config.Team{Batch: "default"}
	return follow.Update{Version: 7, Config: c, Evacuations: evacuation.Change{Complete: true, Evacuated: []string{"b"}}}, s.err
}

func (s *fakeStore) Targets(context.Context) (discovery.Listed, error) {
	return discovery.Listed{Targets: []discovery.Target{
		{ID: "t1", Service: "pay", Slots: 2}, {ID: "t2", Service: "pay", Slots: 4}, {ID: "t3", Service: "pay", Slots: 4, Draining: true},
	}}, s.err
}

func (s *fakeStore) Members(context.Context) ([]fleet.Member, error) {
	return []fleet.Member{
		{Instance: "e1", Zone: "a", DiagnosticsAddress: s.dumpAddress},
		{Instance: "e2", Zone: "b"},
		{Instance: "e3", Zone: "b", DiagnosticsAddress: s.otherDumpAddress},
	}, s.err
}

// Guards against commands with --store that fail to show the configuration, the
// targets or the instances recorded in the platform's store.
func TestStoreCommands(t *testing.T) {
	is := is.New(t)
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/dump")
		_, err := w.Write([]byte(`{"config_version":7,"instance":"e1"}`))
		is.NoErr(err)
	}))
	defer instance.Close()
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(`{"config_version":7,"instance":"e3","evacuations":{"zones":["b"]}}`))
		is.NoErr(err)
	}))
	defer other.Close()
	store := &fakeStore{otherDumpAddress: strings.TrimPrefix(other.URL, "http://"), dumpAddress: strings.TrimPrefix(instance.URL, "http://")}
	run := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := Run(append([]string{"--store", "10.0.0.1:80"}, args...), &out, &errOut, func(address string) Store {
			is.Equal(address, "10.0.0.1:80")
			return store
		})
		return code, out.String(), errOut.String()
	}
	for command, wants := range map[string][]string{
		"status":  {"version 7, 1 teams", "evacuated  b", "pay", "2      1         6"},
		"members": {"e1", "e2", store.dumpAddress},
		"config":  {`"version": 7`, `"red"`},
		"dump":    {`"instance": "e1"`, `"e2": "the instance serves no dump"`, "evacuated b only at [e3]", "evacuated zones unknown only at [e1]"},
	} {
		code, out, errOut := run(command)
		is.Equal(errOut, "")
		is.Equal(code, ExitOK)
		for _, want := range wants {
			if !strings.Contains(out, want) {
				t.Errorf("%s prints %q, which lacks %q", command, out, want)
			}
		}
	}
	code, _, errOut := run("history")
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(errOut, "--store"))
	store.err = errors.New("down")
	code, _, errOut = run("status")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errOut, "10.0.0.1:80"))
}
