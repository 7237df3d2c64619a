package config_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/lab/capacity"
)

// The benchmarks use a configuration of the expected scale, 53,000 teams and
// 5,700 routes. Every instance parses all of it for each change.

// targetSizeConfig returns the configuration and its JSON form, and resets the timer.
func targetSizeConfig(b *testing.B) (*config.Config, []byte) {
	c := capacity.ExpectedSize.Config(1, time.Unix(1_800_000_000, 0))
	raw, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	return c, raw
}

// BenchmarkParse measures the cost of a new version at every instance.
func BenchmarkParse(b *testing.B) {
	_, raw := targetSizeConfig(b)
	for b.Loop() {
		if _, err := config.Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkValidate measures the part of Parse that checks values and references.
func BenchmarkValidate(b *testing.B) {
	c, _ := targetSizeConfig(b)
	for b.Loop() {
		if err := c.Validate(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApply measures the cost of a patch at the instance that proposes it.
func BenchmarkApply(b *testing.B) {
	c, _ := targetSizeConfig(b)
	for b.Loop() {
		if _, err := c.Apply(config.MergePatchType, []byte(`{"teams":{"team-0":{"burst":77}}}`)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkNewSnapshot measures the compilation of the lookup tables.
func BenchmarkNewSnapshot(b *testing.B) {
	c, _ := targetSizeConfig(b)
	for b.Loop() {
		config.NewSnapshot(1, c)
	}
}

// BenchmarkApplyAllKeys measures the cost of a patch that sets 53,000 keys.
func BenchmarkApplyAllKeys(b *testing.B) {
	c, _ := targetSizeConfig(b)
	patch, err := json.Marshal(map[string]any{"keys": c.Keys})
	if err != nil {
		b.Fatal(err)
	}
	base := *c
	base.Keys = map[string]config.Key{}
	b.ResetTimer()
	for b.Loop() {
		if _, err := base.Apply(config.MergePatchType, patch); err != nil {
			b.Fatal(err)
		}
	}
}
