package edge

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

const settingsText = `{"instance":"e-1","availability_zone":"a","caller_address":"10.0.0.1:1","ready_address":"10.0.0.1:2",
 "directory_address":"10.0.0.1:3","gossip_address":"10.0.0.1:4","store_address":"10.0.0.9:6","hedge_percent":3}`

// Guards against a change of the settings file that needs a signal, against a file that is read
// without a change, and against an invalid file that takes effect.
func TestSettingsFollowTheFile(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := zerolog.New(&out)
	file := filepath.Join(t.TempDir(), "edge.json")
	write := func(text string, modified time.Time) {
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		is.NoErr(os.Chtimes(file, modified, modified))
	}
	began := time.Now()
	write(settingsText, began)
	var applied []float64
	r := &reloader{file: file, apply: func(s *settings.Edge) { applied = append(applied, s.HedgePercent) }, clock: clock.System{}, log: &log}
	var err error
	r.seen, err = stampOf(file)
	is.NoErr(err)
	r.reloadIfChanged()
	is.Equal(applied, nil)
	write(strings.Replace(settingsText, `:3}`, `:5}`, 1), began.Add(time.Second))
	r.reloadIfChanged()
	r.reloadIfChanged()
	is.Equal(applied, []float64{5})
	write(strings.Replace(settingsText, `:3}`, `:50}`, 1), began.Add(2*time.Second))
	r.reloadIfChanged()
	r.reloadIfChanged()
	is.Equal(applied, []float64{5})
	is.Equal(strings.Count(out.String(), `"event":705`), 1)
	is.NoErr(os.Remove(file))
	r.reloadIfChanged()
	is.Equal(strings.Count(out.String(), `"event":705`), 1)

	write(strings.Replace(settingsText, `:3}`, `:0}`, 1), began.Add(3*time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), 3*settingsPollInterval)
	defer cancel()
	done := make(chan float64, 1)
	r.apply = func(s *settings.Edge) { done <- s.HedgePercent }
	go r.run(ctx, nil)
	select {
	case percent := <-done:
		is.Equal(percent, 0.0)
	case <-ctx.Done():
		t.Error("the change was not noticed")
	}
}
