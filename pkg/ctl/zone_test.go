package ctl

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// Guards against a zone command that changes nothing or another zone, and against a status
// that hides an order.
func TestZoneCommands(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet()
	f.members = api.MemberList{Members: []api.Member{{Zone: "a"}}}
	url := serveAPI(t, f)
	code, out, _ := run(t, url, "zone", "evacuate", "--version", "3", "--dry-run", "a")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "evacuated_zones") && f.version == 3)
	code, _, errOut := run(t, url, "zone", "evacuate", "--version", "3", "--dry-run", "b")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errOut, "$.evacuated_zones.b"))
	code, _, _ = run(t, url, "zone", "evacuate", "--version", "3", "a")
	is.Equal(code, ExitOK)
	is.Equal(f.config.Evacuated(), []string{"a"})
	_, out, _ = run(t, url, "status")
	is.True(strings.Contains(out, "evacuated   a\n"))
	code, _, _ = run(t, url, "zone", "restore", "--version", "4", "a")
	is.Equal(code, ExitOK)
	is.Equal(len(f.config.Evacuated()), 0)
	_, out, _ = run(t, url, "status")
	is.True(strings.Contains(out, "evacuated   no zone\n"))
	code, _, _ = run(t, url, "zone", "evacuate", "--version", "5")
	is.Equal(code, ExitUsage)
}
