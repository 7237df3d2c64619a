// Package evacuation holds the set of availability zones whose targets get no requests
// because an operator has ordered so.
package evacuation

import (
	"maps"
	"slices"
)

// Version orders the sets that one store has held. Eras come first: they count the restores
// of the store from a copy, which give out numbers again.
type Version struct {
	Era, Number int64
}

// Before reports whether v is older than other.
func (v Version) Before(other Version) bool {
	if v.Era != other.Era {
		return v.Era < other.Era
	}
	return v.Number < other.Number
}

// Set is the set of evacuated zones as of one version of the store. It is immutable. A nil
// Set is unknown: no store and no instance has told it; no zone counts as evacuated then.
type Set struct {
	version Version
	zones   map[string]bool
}

// NewSet returns the set of the given zones as of a version.
func NewSet(version Version, zones ...string) *Set {
	s := &Set{version: version, zones: make(map[string]bool, len(zones))}
	for _, zone := range zones {
		s.zones[zone] = true
	}
	return s
}

// Evacuated reports whether the targets of a zone get no requests.
func (s *Set) Evacuated(zone string) bool { return s != nil && s.zones[zone] }

// Version returns the version of the store at which the set was read.
func (s *Set) Version() Version {
	if s == nil {
		return Version{}
	}
	return s.version
}

// Zones returns the evacuated zones in alphabetical order.
func (s *Set) Zones() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.zones))
}

// Supersedes reports whether the set holds instead of another one, which may be nil.
func (s *Set) Supersedes(other *Set) bool {
	return s != nil && (other == nil || other.version.Before(s.version))
}

// Equal reports whether two sets have the same zones, whatever their versions.
func (s *Set) Equal(other *Set) bool { return slices.Equal(s.Zones(), other.Zones()) }

// Change is what a read of the store tells of the set.
type Change struct {
	// Version is the version of the store that the change leads to.
	Version Version
	// Complete means that Evacuated holds all evacuated zones. Otherwise Evacuated and
	// Restored hold the zones whose last change since an earlier read was of that kind.
	Complete  bool
	Evacuated []string
	Restored  []string
}

// Apply returns the set after a change; nil if that is still unknown. A change that is not
// complete may begin at any version up to that of the set, since the last change of a zone
// decides.
func (s *Set) Apply(c Change) *Set {
	if c.Complete {
		return NewSet(c.Version, c.Evacuated...)
	}
	if s == nil || s.version.Era != c.Version.Era {
		return nil
	}
	next := NewSet(c.Version, s.Zones()...)
	for _, zone := range c.Evacuated {
		next.zones[zone] = true
	}
	for _, zone := range c.Restored {
		delete(next.zones, zone)
	}
	return next
}

// Difference returns the zones that are evacuated in next and not in s, and those of the
// other way round.
func (s *Set) Difference(next *Set) (evacuated, restored []string) {
	for _, zone := range next.Zones() {
		if !s.Evacuated(zone) {
			evacuated = append(evacuated, zone)
		}
	}
	for _, zone := range s.Zones() {
		if !next.Evacuated(zone) {
			restored = append(restored, zone)
		}
	}
	return evacuated, restored
}
