package capacity

import (
	"bytes"
	"compress/gzip"
	"context"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// EncodeError reports that a document could not be encoded or compressed.
type EncodeError struct{ Cause error }

// Error returns the message with the cause.
func (e *EncodeError) Error() string { return "encode a document: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// smallPatch changes one value of one team.
var smallPatch = []byte(`{"teams":{"team-0":{"burst":77}}}`)

var documentColumns = []string{
	"bytes", "gzip bytes", "encode ms", "parse ms", "compile ms", "patch ms", "difference ms", "live MB",
}

// measureDocument measures the processing of a configuration inside this process,
// as one of its sections grows and as all of them grow together.
func measureDocument(_ context.Context, o *Options) ([]*Table, error) {
	small := Size{Teams: 8, Routes: 3, Services: 2, Targets: 38}
	series := []struct {
		name  string
		sizes []int
		size  func(n int) Size
	}{
		{"teams", []int{8, 1000, 10_000, ExpectedSize.Teams}, func(n int) Size { s := small; s.Teams = n; return s }},
		{"routes", []int{3, 500, ExpectedSize.Routes}, func(n int) Size { s := small; s.Routes = n; return s }},
		{"targets", []int{30, 500, ExpectedSize.Targets}, func(n int) Size {
			s := small
			s.Targets, s.Services = n, max(1, n*ExpectedSize.Services/ExpectedSize.Targets)
			return s
		}},
		{"percent of the expected scale", []int{1, 10, 50, 100}, func(n int) Size { return scaled(float64(n) / 100) }},
	}
	var tables []*Table
	for _, one := range series {
		t := &Table{Title: "configuration: " + one.name, Columns: append([]string{one.name}, documentColumns...)}
		for _, n := range one.sizes {
			o.progress("%s %d", one.name, n)
			row, err := measureDocumentRow(one.size(n))
			if err != nil {
				return nil, err
			}
			t.add(append([]float64{float64(n)}, row...)...)
		}
		t.fit()
		tables = append(tables, t)
	}
	return tables, nil
}

// measureDocumentRow returns the measurements of a configuration of the size, in
// the order of documentColumns.
func measureDocumentRow(s Size) ([]float64, error) {
	c := s.Config(1, time.Now())
	raw, err := c.Encode()
	if err != nil {
		return nil, err
	}
	compressed, err := compress(raw)
	if err != nil {
		return nil, err
	}
	var patched *config.Config
	steps := []func() error{
		func() error { _, err := c.Encode(); return err },
		func() error { _, err := config.Parse(raw); return err },
		func() error { config.NewSnapshot(1, c); return nil },
		func() error { patched, err = c.Apply(config.MergePatchType, smallPatch); return err },
		func() error { _, err := config.Diff(c, patched); return err },
	}
	row := []float64{float64(len(raw)), float64(compressed)}
	for _, step := range steps {
		took, err := timeCPU(step)
		if err != nil {
			return nil, err
		}
		row = append(row, milliseconds(took))
	}
	live, err := snapshotHeapBytes(raw)
	return append(row, megabytes(live)), err
}

// snapshotHeapBytes returns the heap memory of the parsed and compiled document
// without its JSON text.
func snapshotHeapBytes(raw []byte) (int64, error) {
	before := liveHeapBytes()
	parsed, err := config.Parse(raw)
	if err != nil {
		return 0, err
	}
	snapshot := config.NewSnapshot(1, parsed)
	size := liveHeapBytes() - before
	runtime.KeepAlive(snapshot)
	runtime.KeepAlive(raw)
	return size, nil
}

// compress returns the size of raw after gzip compression.
func compress(raw []byte) (int, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(raw)
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		return 0, errors.WithStack(&EncodeError{Cause: err})
	}
	return out.Len(), nil
}
