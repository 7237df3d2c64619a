package config

import (
	"maps"
	"slices"
	"strings"
)

// Evacuation is an operator's order that the targets of a zone get no requests.
type Evacuation struct{}

// Evacuated returns the evacuated zones in alphabetical order.
func (c *Config) Evacuated() []string { return slices.Sorted(maps.Keys(c.EvacuatedZones)) }

// CheckEvacuations checks the zones that are evacuated here and not in before: each must be
// that of a target, or one of the given zones of instances. It is no part of Validate, because
// a document must stay valid when the last target or instance of an evacuated zone is removed.
// Errors: *InvalidError.
func (c *Config) CheckEvacuations(before *Config, instanceZones []string) error {
	known := map[string]bool{}
	for _, zone := range instanceZones {
		known[zone] = true
	}
	for _, s := range c.Services {
		for _, t := range s.Targets {
			known[t.Zone] = true
		}
	}
	v := &validator{}
	for zone := range c.EvacuatedZones {
		_, already := before.EvacuatedZones[zone]
		v.Check(already || known[zone], "$.evacuated_zones."+zone, zone,
			"the zone of a target or of an instance: "+strings.Join(slices.Sorted(maps.Keys(known)), ", "))
	}
	return v.Err()
}

// withEvacuations returns the configuration with Target.Evacuated set by EvacuatedZones. It
// does not change c.
func (c *Config) withEvacuations() *Config {
	var services map[string]Service
	for name, s := range c.Services {
		var targets map[string]Target
		for id, t := range s.Targets {
			if _, evacuated := c.EvacuatedZones[t.Zone]; evacuated != t.Evacuated {
				if targets == nil {
					targets = maps.Clone(s.Targets)
				}
				t.Evacuated = evacuated
				targets[id] = t
			}
		}
		if targets != nil {
			if services == nil {
				services = maps.Clone(c.Services)
			}
			s.Targets = targets
			services[name] = s
		}
	}
	if services == nil {
		return c
	}
	next := *c
	next.Services = services
	return &next
}
