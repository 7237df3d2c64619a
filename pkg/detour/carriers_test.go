package detour

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func names(peers []Peer) string {
	var b strings.Builder
	for _, p := range peers {
		b.WriteString(p.Instance)
	}
	return b.String()
}

// Guards against detours that lead only through instances that the cut concerns as well.
func TestInstancesThatKeptTheirConnectionsAreTried(t *testing.T) {
	is := is.New(t)
	peers := []Peer{{Instance: "r", Zone: "a", Reaches: true}, {Instance: "R", Zone: "b", Reaches: true}, {Instance: "o", Zone: "a"}, {Instance: "O", Zone: "b"}}
	var c carriers
	now := time.Minute
	for range 20 {
		is.Equal(names(c.order(peers, "a", now)), "roRO")
	}
	c.record("r", false, now)
	c.record("O", true, now)
	for range 20 {
		order := names(c.order(peers, "a", now))
		is.True(order[1] == 'o' && (order[0] == 'R' || order[0] == 'O')) // O reaches targets now, r failed
	}
	is.Equal(names(c.order(peers[:1], "a", now)), "r") // nobody is left out
	c.record("r", true, now+time.Second)
	is.Equal(names(c.order(peers, "a", now+time.Second))[:2], "ro")
	is.Equal(names(c.order(peers, "a", now+time.Hour)), "roRO")
}

// Guards against detours that are never used again, and against those through lost paths.
func TestUsableDetours(t *testing.T) {
	is := is.New(t)
	var c carriers
	now := time.Minute
	c.record("connected", true, now)
	c.record("failed", true, now-time.Second)
	c.record("failed", false, now)
	for _, row := range []struct {
		instance                   string
		listed, reaches, anyOthers bool
		usable                     bool
	}{
		{"unknown", false, false, false, false},
		{"connected", false, false, true, false},
		{"unknown", true, false, false, true},
		{"unknown", true, false, true, false},
		{"unknown", true, true, true, true},
		{"connected", true, false, true, true},
		{"failed", true, false, true, false},
	} {
		t.Run(fmt.Sprint(row), func(t *testing.T) {
			is := is.New(t)
			peers := []Peer{{Instance: "other", Reaches: row.anyOthers}}
			if row.listed {
				peers = append(peers, Peer{Instance: row.instance, Reaches: row.reaches})
			}
			is.Equal(c.usable(row.instance, peers, now), row.usable)
		})
	}
	is.True(!c.usable("connected", []Peer{{Instance: "connected"}, {Instance: "other", Reaches: true}}, now+WitnessMemory))
}
