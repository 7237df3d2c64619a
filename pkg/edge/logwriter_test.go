package edge

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuckWriter blocks each write until release is closed.
type stuckWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// Guards against a slow reader of the log that blocks requests, and against lines
// that are dropped without being counted.
func TestLogWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &stuckWriter{release: make(chan struct{})}
	w := newLogWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	began := time.Now()
	for range 4 * maxPendingLogBytes / len(line) {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(time.Since(began) < time.Second)
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.written.String(), "dropped_log_lines"))
	is.True(out.written.Len() < 3*maxPendingLogBytes)
}

// Guards against losing the last log lines of a process.
func TestLogWriterFlushesOnClose(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := newLogWriter(&out)
	_, err := w.Write([]byte("last line\n"))
	is.NoErr(err)
	w.Close()
	is.Equal(out.String(), "last line\n")
}
