package edge

import (
	"testing"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/evacuation"
)

// Guards against a detour to an evacuated zone for an instance that does not know of the order.
func TestNoDetourToEvacuatedZone(t *testing.T) {
	is := is.New(t)
	entry := func(id, address, zone string) *discovery.Entry {
		return &discovery.Entry{Target: discovery.Target{ID: id, Address: address, Zone: zone}}
	}
	c := &discovery.Catalogue{Services: map[string][]*discovery.Entry{"s": {entry("t1", "10.0.0.1:80", "a"), entry("t2", "10.0.0.2:80", "b")}}}
	zones := evacuation.NewSet(evacuation.Version{}, "a")
	is.True(!lists(c, zones, "10.0.0.1:80"))
	is.True(lists(c, zones, "10.0.0.2:80"))
	is.True(!lists(c, zones, "10.0.0.3:80"))
}
