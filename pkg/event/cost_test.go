package event_test

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// BenchmarkTargetLine is the cost of one of the lines that each instance writes for each target
// when all targets are listed again, at most 400 in 10 s.
func BenchmarkTargetLine(b *testing.B) {
	log := zerolog.New(io.Discard).With().Timestamp().Str("instance", "front-1").Logger()
	e := event.TargetListed
	for b.Loop() {
		log.WithLevel(e.Level).Int("event", e.ID).Str("name", e.Name).Str("target", "i-0123456789").Str("service", "order-portal").
			Bool("draining", false).Dur("warmup", 3*time.Second).Send()
	}
}
