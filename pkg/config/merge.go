package config

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/arbutuslink/arbutuslink/pkg/document"
)

// mergeEntries applies a merge patch that names entries of sections to these
// entries alone. The time grows with the patch: the library compares the keys
// of a whole document pairwise, which took 12 s for 53,000 keys. It gives false
// for any other patch, which is then applied to the whole document and whose
// faults are named there.
func (c *Config) mergeEntries(patch []byte) (*Config, bool, error) {
	var sections map[string]map[string]json.RawMessage
	if json.Unmarshal(patch, &sections) != nil || sections == nil {
		return nil, false, nil
	}
	changed := map[string]map[string]json.RawMessage{}
	for name, entries := range sections {
		if !isSection(name) {
			return nil, false, nil
		}
		section := make(map[string]json.RawMessage, len(entries))
		for id, entry := range entries {
			merged, ok, err := c.mergeEntry(name, id, entry)
			if !ok || err != nil {
				return nil, ok, err
			}
			if merged != nil {
				section[id] = merged
			}
		}
		changed[name] = section
	}
	data, err := json.Marshal(changed)
	if err != nil {
		return nil, false, nil
	}
	touched := Empty()
	if err := document.Decode(data, touched); err != nil {
		return nil, true, err
	}
	next := &Config{
		Batches: replaced(c.Batches, touched.Batches, sections, "batches"),
		Teams:   replaced(c.Teams, touched.Teams, sections, "teams"),
		Keys:    replaced(c.Keys, touched.Keys, sections, "keys"), Services: replaced(c.Services, touched.Services, sections, "services"),
		Routes: replaced(c.Routes, touched.Routes, sections, "routes"),
	}
	return next, true, next.Validate()
}

// mergeEntry returns the entry after the patch, or nil when it is removed.
func (c *Config) mergeEntry(section, id string, patch json.RawMessage) (json.RawMessage, bool, error) {
	if bytes.Equal(patch, []byte("null")) {
		return nil, true, nil
	}
	if len(patch) == 0 || patch[0] != '{' {
		return nil, false, nil
	}
	var entry any
	var exists bool
	switch section {
	case "batches":
		entry, exists = lookup(c.Batches, id)
	case "teams":
		entry, exists = lookup(c.Teams, id)
	case "keys":
		entry, exists = lookup(c.Keys, id)
	case "services":
		entry, exists = lookup(c.Services, id)
	case "routes":
		entry, exists = lookup(c.Routes, id)
	default:
		return nil, false, nil
	}
	before := []byte("{}")
	if exists {
		var err error
		if before, err = json.Marshal(entry); err != nil {
			return nil, true, errors.WithStack(&SyntaxError{Offset: -1, Cause: err})
		}
	}
	merged, err := jsonpatch.MergePatch(before, patch)
	return merged, true, wrapPatch(err)
}

func isSection(name string) bool {
	switch name {
	case "batches", "teams", "keys", "services", "routes":
		return true
	default:
		return false
	}
}

func lookup[V any](section map[string]V, id string) (any, bool) {
	v, ok := section[id]
	return v, ok
}

// replaced returns a section with the entries of the patch replaced or removed.
func replaced[V any](before, touched map[string]V, patch map[string]map[string]json.RawMessage, name string) map[string]V {
	entries, named := patch[name]
	if !named {
		return before
	}
	if entries == nil { // the patch removes the section
		return map[string]V{}
	}
	next := maps.Clone(before)
	for id := range entries {
		if v, ok := touched[id]; ok {
			next[id] = v
		} else {
			delete(next, id)
		}
	}
	return next
}
