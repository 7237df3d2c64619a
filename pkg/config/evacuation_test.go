package config

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const evacuationBase = `{"services":{"s":{"floor_percent":50,"profile":"fast","health_path":"/health","probe_interval_ms":1000,"targets":{
	"t0":{"address":"10.0.0.1:80","zone":"a","slots":2,"max_connections":9},"t1":{"address":"10.0.0.2:80","zone":"b","slots":2,"max_connections":9}}}}}`

// Guards against an order that is lost or that cannot be withdrawn by a patch of either kind,
// and against a document without orders that earlier releases reject.
func TestEvacuationPatches(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(evacuationBase))
	is.NoErr(err)
	for _, patches := range [][2]string{
		{MergePatchType + ` {"evacuated_zones":{"a":{}}}`, MergePatchType + ` {"evacuated_zones":{"a":null}}`},
		{MergePatchType + ` {"evacuated_zones":{"a":{}}}`, MergePatchType + ` {"evacuated_zones":null}`},
		{JSONPatchType + ` [{"op":"add","path":"/evacuated_zones","value":{"a":{}}}]`, JSONPatchType + ` [{"op":"remove","path":"/evacuated_zones/a"}]`},
	} {
		current := c
		for step, patch := range patches {
			mediaType, body, _ := strings.Cut(patch, " ")
			// As an instance holds it: with Target.Evacuated from the version before.
			current, err = NewSnapshot(1, current).Config.Apply(mediaType, []byte(body))
			is.NoErr(err)
			s := NewSnapshot(2, current)
			is.Equal(len(s.Config.Evacuated()), 1-step)
			is.Equal(s.Config.Services["s"].Targets["t0"].OutOfUse(), step == 0)
			is.True(!s.Config.Services["s"].Targets["t1"].OutOfUse())
			stored, err := current.Encode()
			is.NoErr(err)
			is.Equal(strings.Contains(string(stored), "vacuated"), step == 0)
			parsed, err := Parse(stored)
			is.NoErr(err)
			is.Equal(parsed.Evacuated(), current.Evacuated())
		}
	}
	is.True(!c.Services["s"].Targets["t0"].Evacuated) // published values do not change
	_, err = c.Apply(MergePatchType, []byte(`{"evacuated_zones":{"A b":{}}}`))
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
}

// Guards against an order for a misspelt zone, and against one that makes it impossible to
// remove the last target or instance of the zone.
func TestUnknownZoneIsRejected(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(evacuationBase))
	is.NoErr(err)
	evacuate := func(zone string) *Config {
		next, err := c.Apply(MergePatchType, []byte(`{"evacuated_zones":{"`+zone+`":{}}}`))
		is.NoErr(err)
		return next
	}
	is.NoErr(evacuate("a").CheckEvacuations(c, nil))
	is.NoErr(evacuate("c").CheckEvacuations(c, []string{"c"}))
	var invalid *InvalidError
	is.True(errors.As(evacuate("c").CheckEvacuations(c, []string{"d"}), &invalid))
	is.Equal(invalid.Fields[0].Path, "$.evacuated_zones.c")
	before := evacuate("a")
	next, err := before.Apply(MergePatchType, []byte(`{"services":{"s":{"targets":{"t0":null}}}}`))
	is.NoErr(err)
	is.NoErr(next.CheckEvacuations(before, nil))
}
