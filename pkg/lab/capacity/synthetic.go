package capacity

import (
	"fmt"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// incarnationID returns the n-th synthetic incarnation id, as long as a real one.
func incarnationID(n int) string { return fmt.Sprintf("%024x.0", uint64(n)*0x9e3779b97f4a7c15) }

// member returns the n-th synthetic member.
func member(n int) membership.Member {
	address := func(port int) string { return fmt.Sprintf("10.20.%d.%d:%d", n>>8, n&0xff, port) }
	return membership.Member{
		Incarnation: incarnationID(n), Instance: fmt.Sprintf("entry-%03d", n), Zone: zoneID(n % expectedZones),
		PeerAddress: address(7003), CallerAddress: address(7001), OperatorAddress: address(7002),
	}
}

// members returns a membership of count synthetic members.
func members(count int) *membership.Membership {
	var add []membership.Member
	for n := range count {
		add = append(add, member(n))
	}
	return (&membership.Membership{}).NextVersion(add, nil, maxWitnesses)
}

// fixedView provides a control view that does not change.
type fixedView struct{ view *control.View }

// View returns the view.
func (f *fixedView) View() *control.View { return f.view }

// MayServe is always true.
func (f *fixedView) MayServe() bool { return true }

// viewOf returns the view of the member self.
func viewOf(m *membership.Membership, self membership.Member, c *config.Config) *fixedView {
	return &fixedView{&control.View{Config: config.NewSnapshot(1, c), Membership: m, Self: self, Member: true, DeliveredAt: 1}}
}
