package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/limit"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

func options() Options { return Options{Params: limit.DefaultParams(2 * time.Second)} }

// view returns a view with 24 members in 4 zones and a team with 3 issuers.
func view() *control.View {
	var members []membership.Member
	for i := range 24 {
		members = append(members, membership.Member{
			Incarnation: fmt.Sprintf("i%02d", i), Zone: fmt.Sprint(i % 4), CallerAddress: fmt.Sprintf("10.0.0.%d:80", i),
		})
	}
	c := config.Empty()
	c.Teams["school"] = config.Team{RatePerSecond: 10, Burst: 6}
	m := (&membership.Membership{}).NextVersion(members, nil, 5)
	return &control.View{Config: config.NewSnapshot(1, c), Membership: m, Self: m.Members[0], Member: true}
}

// Guards against callers being sent to instances that do not hold their team's
// tokens, or to another zone unnecessarily.
func TestIssuersThenOwnZone(t *testing.T) {
	is := is.New(t)
	v := view()
	a := options().Answer(v, "school", "caller", State{MayServe: true})
	is.Equal(len(a.Addresses), DefaultAddresses)
	var issuers []string
	for _, m := range options().Params.Issuers(v.Membership, "school", v.Config.Config.Teams["school"]) {
		issuers = append(issuers, m.CallerAddress)
	}
	for n, address := range a.Addresses {
		is.Equal(slices.Contains(issuers, address), n < len(issuers))
		i := slices.IndexFunc(v.Membership.Members, func(m membership.Member) bool { return m.CallerAddress == address })
		if n >= len(issuers) {
			is.Equal(v.Membership.Members[i].Zone, v.Self.Zone) // 5 of the 6 members in this zone
		}
	}
	is.Equal(a.Preferred, 1)
	is.Equal(a.Addresses[0], issuers[0]) // the same at every instance in any zone
	data, err := Answer{Version: 1, LifetimeMS: 5000, Preferred: 1, Addresses: []string{"10.0.0.1:80"}}.JSON()
	is.NoErr(err)
	is.Equal(string(data), `{"version":1,"lifetime_ms":5000,"preferred":1,"addresses":["10.0.0.1:80"]}`)
}

// Guards against all callers using the same instance first, and against the answer
// to a caller changing while the membership does not.
func TestCallersSpread(t *testing.T) {
	is := is.New(t)
	v := view()
	first := map[string]int{}
	for n := range 600 {
		caller := fmt.Sprint("caller", n)
		a := options().Answer(v, "unknown", caller, State{MayServe: true})
		is.Equal(a, options().Answer(v, "unknown", caller, State{MayServe: true}))
		// An unknown team has one issuer; the others are spread.
		first[a.Addresses[1]]++
	}
	is.True(len(first) >= 5)
	for _, n := range first {
		is.True(n < 200)
	}
}

// Guards against callers being sent to an instance that would refuse them.
func TestNotFreshOrLeavingListsOnlyOthers(t *testing.T) {
	is := is.New(t)
	v := view()
	o := options()
	o.Addresses = 100
	is.Equal(len(o.Answer(v, "school", "c", State{MayServe: true}).Addresses), 24)
	for _, s := range []State{{MayServe: false}, {MayServe: true, Leaving: true}} {
		a := o.Answer(v, "school", "c", s)
		is.Equal(len(a.Addresses), 23)
		is.True(!slices.Contains(a.Addresses, v.Self.CallerAddress))
	}
}
