package config

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// patchValue draws the patch of one entry, valid or not. names are the members
// that it may have.
func patchValue(t *rapid.T, names []string) json.RawMessage {
	values := []string{"null", "7", `"x"`, `"spring"`, "[]", "{}", "true", `{"burst":null}`, `{"p1":{"slots":3}}`, `{"p1":null}`, `{"p2":{"zone":null}}`}
	members := map[string]json.RawMessage{}
	for _, name := range rapid.SliceOfN(rapid.SampledFrom(names), 0, 3).Draw(t, "members") {
		members[name] = json.RawMessage(rapid.SampledFrom(values).Draw(t, "value"))
	}
	if rapid.IntRange(0, 5).Draw(t, "scalar") == 0 {
		return json.RawMessage(rapid.SampledFrom(values).Draw(t, "entry"))
	}
	data, _ := json.Marshal(members)
	return data
}

// Guards against mergeEntries giving another result than a merge of the whole
// document, accepting a patch that the merge of the whole document rejects, or
// changing the document that the patch is applied to.
func TestMergeEntriesEqualsMergeOfWholeDocument(t *testing.T) {
	sections := map[string][]string{
		"batches": {"share", "expires"}, "teams": {"batch", "burst", "rate_per_second", "Burst", "rate"},
		"keys": {"team", "sha256"}, "services": {"floor_percent", "targets", "profile"},
		"routes": {"service", "teams", "methods", "max_attempts", "idempotent"}, "other": {"x"},
	}
	ids := []string{"spring", "school", "portal", "preview", "new", "Not valid"}
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		patch := map[string]any{}
		for _, section := range rapid.SliceOfN(rapid.SampledFrom([]string{"batches", "teams", "keys", "services", "routes", "other"}), 0, 2).Draw(t, "sections") {
			entries := map[string]json.RawMessage{}
			for _, id := range rapid.SliceOfN(rapid.SampledFrom(ids), 0, 2).Draw(t, "ids") {
				entries[id] = patchValue(t, sections[section])
			}
			patch[section] = entries
			if rapid.IntRange(0, 9).Draw(t, "null section") == 0 {
				patch[section] = nil
			}
		}
		data, err := json.Marshal(patch)
		is.NoErr(err)
		base := sample()
		before, err := base.Encode()
		is.NoErr(err)
		got, gotErr := base.Apply(MergePatchType, data)
		want, wantErr := base.applyWhole(MergePatchType, data)
		if (gotErr == nil) != (wantErr == nil) || (wantErr != nil && gotErr.Error() != wantErr.Error()) {
			t.Fatalf("patch %s: %v, want %v", data, gotErr, wantErr)
		}
		after, err := base.Encode()
		is.NoErr(err)
		is.Equal(string(after), string(before))
		if wantErr != nil {
			return
		}
		accepted++
		a, err := got.Encode()
		is.NoErr(err)
		b, err := want.Encode()
		is.NoErr(err)
		if string(a) != string(b) {
			t.Fatalf("patch %s: %s, want %s", data, a, b)
		}
	})
	is.New(t).True(accepted > 0)
}
