package config

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func sample() *Config {
	c := Empty()
	c.Batches["spring"] = Batch{Share: 1, Expires: time.Date(2027, 3, 31, 22, 0, 0, 0, time.UTC)}
	c.Teams["school"] = Team{Batch: "spring", RatePerSecond: 50, Burst: 20}
	c.Services["portal"] = Service{
		FloorPercent: 70, Profile: ProfileCareful, HealthPath: "/health", ProbeIntervalMS: 1000,
		Targets: map[string]Target{"p1": {Address: "127.0.0.1:9001", Zone: "a", Slots: 2, MaxConnections: 400}},
	}
	c.Routes["preview"] = Route{
		PathPrefix: "/preview", Methods: []string{"GET"}, Service: "portal", OpenToAll: true,
		Idempotent: true, TimeoutMS: 2000, MaxAttempts: 3,
	}
	return c
}

// Guards against an invalid patch being accepted or partly applied, and against
// an error that names the wrong field.
func TestApplyRejectsInvalidPatchesWhole(t *testing.T) {
	cases := []struct{ name, mediaType, patch, path string }{
		{"unknown reference", MergePatchType, `{"teams":{"school":{"batch":"autumn"}}}`, "$.teams.school.batch"},
		{"burst of zero", MergePatchType, `{"teams":{"school":{"burst":0}}}`, "$.teams.school.burst"},
		{"retries of a non-idempotent route", JSONPatchType, `[{"op":"replace","path":"/routes/preview/idempotent","value":false}]`, "$.routes.preview.max_attempts"},
		{"host name as address", MergePatchType, `{"services":{"portal":{"targets":{"p1":{"address":"host:80"}}}}}`, "$.services.portal.targets.p1.address"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := sample().Apply(tc.mediaType, []byte(tc.patch))
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Fields[0].Path, tc.path)
		})
	}
}

// Guards against a misspelled field name being ignored.
func TestParseRejectsUnknownFields(t *testing.T) {
	is := is.New(t)
	_, err := sample().Apply(MergePatchType, []byte(`{"teams":{"school":{"rate":5}}}`))
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Fields[0].Path, "$.teams.school.rate")
}

// Guards against an invalid value being accepted because the rest of the
// document is in canonical form, for which the check of its shape is skipped.
func TestCanonicalFormIsCheckedAsStrictly(t *testing.T) {
	document, err := sample().Encode()
	if err != nil {
		t.Fatal(err)
	}
	is.New(t).True(func() bool { _, ok := decodeCanonical(document); return ok }())
	cases := []struct{ from, to, path string }{
		{`"burst":20`, `"burst":20,"rate":5`, "$.teams.school.rate"},
		{`"burst":20`, `"Burst":20`, "$.teams.school.Burst"},
		{`"burst":20`, `"burst":2.5`, "$.teams.school.burst"},
		{`"burst":20`, `"burst":null`, "$.teams.school.burst"},
		{`"burst":20`, `"burst":0`, "$.teams.school.burst"},
		{`"keys":{}`, `"keys":null`, "$.keys"},
		{`"leaving":false}}`, `"leaving":false},"p2":null}`, "$.services.portal.targets.p2"},
		{`"zone":"a"`, `"zone":7`, "$.services.portal.targets.p1.zone"},
	}
	for _, tc := range cases {
		t.Run(tc.to, func(t *testing.T) {
			is := is.New(t)
			changed := strings.Replace(string(document), tc.from, tc.to, 1)
			is.True(changed != string(document))
			_, err := Parse([]byte(changed))
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Fields[0].Path, tc.path)
		})
	}
	targets := regexp.MustCompile(`"targets":\{.*?\}\}`).ReplaceAllString(string(document), `"targets":null`)
	_, err = Parse([]byte(targets))
	var invalid *InvalidError
	is.New(t).True(errors.As(err, &invalid)) // a null section is not the same as an empty one
}

// Guards against a key being accepted with a wrong secret or after its removal.
func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	c := sample()
	key, stored := GenerateKey("k1", "school")
	c.Keys["k1"] = stored
	snapshot := NewSnapshot(1, c)
	_, team, ok := snapshot.Authenticate(key)
	is.True(ok)
	is.Equal(team, "school")
	for _, wrong := range []string{"", "al_", "al_k1", key + "x", "al_k2" + key[5:]} {
		_, _, ok := snapshot.Authenticate(wrong)
		is.True(!ok)
	}
	delete(c.Keys, "k1")
	_, _, ok = NewSnapshot(2, c).Authenticate(key)
	is.True(!ok)
}

// Guards against a path prefix matching part of a path segment.
func TestMatchUsesWholeSegments(t *testing.T) {
	is := is.New(t)
	s := NewSnapshot(1, sample())
	_, ok := s.Match("", "GET", "/preview/7")
	is.True(ok)
	_, ok = s.Match("", "GET", "/previews")
	is.True(!ok)
	_, ok = s.Match("", "POST", "/preview")
	is.True(!ok)
}

// Guards against a shorter prefix, or a route for all methods, hiding a more
// specific route.
func TestMatchPrefersTheMostSpecificRoute(t *testing.T) {
	c := sample()
	add := func(id, prefix string, methods ...string) {
		c.Routes[id] = Route{PathPrefix: prefix, Methods: methods, Service: "portal", OpenToAll: true, TimeoutMS: 1, MaxAttempts: 1}
	}
	add("all", "/")
	add("orders", "/orders/")
	add("order-lines", "/orders/lines")
	add("order-lines-post", "/orders/lines", "POST")
	cases := []struct{ method, path, want string }{
		{"GET", "/", "all"},
		{"GET", "/other/x", "all"},
		{"GET", "/orders", "all"},
		{"GET", "/orders/7", "orders"},
		{"GET", "/orders/lines/7", "order-lines"},
		{"POST", "/orders/lines", "order-lines-post"},
		{"POST", "/preview/1", "all"},
		{"GET", "/preview//x", "preview"},
	}
	s := NewSnapshot(1, c)
	for _, tc := range cases {
		t.Run(tc.method+tc.path, func(t *testing.T) {
			is := is.New(t)
			m, ok := s.Match("", tc.method, tc.path)
			is.True(ok)
			is.Equal(m.ID, tc.want)
		})
	}
}

// Guards against admission after the end of the contract, also when the clock is slow.
func TestBatchActive(t *testing.T) {
	is := is.New(t)
	s := NewSnapshot(1, sample())
	end := time.Date(2027, 3, 31, 22, 0, 0, 0, time.UTC)
	is.True(s.BatchActive("school", end.Add(-time.Second), 500*time.Millisecond))
	is.True(!s.BatchActive("school", end.Add(-time.Second), time.Second))
	is.True(!s.BatchActive("school", end, 0))
}
