package edge

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// maxPendingLogBytes bounds the log lines that wait to be written.
const maxPendingLogBytes = 512 << 10

// logWriter writes log lines in the background, so that a slow reader of the log
// never delays traffic. Lines beyond maxPendingLogBytes are dropped and counted; the
// next write reports their number.
type logWriter struct {
	out io.Writer
	// wake starts a write, done is closed after the last one.
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks on the output and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPendingLogBytes {
		w.dropped++
		return len(line), nil
	}
	if len(w.pending) == 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

func (w *logWriter) run() {
	defer close(w.done)
	var batch []byte
	for {
		<-w.wake
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			time.Sleep(event.WriteInterval)
		}
		w.mu.Lock()
		batch, w.pending = w.pending, batch[:0]
		if w.dropped > 0 {
			batch = append(batch, `{"level":"warn","dropped_log_lines":`+strconv.Itoa(w.dropped)+"}\n"...)
			w.dropped = 0
		}
		closed = w.closed
		w.mu.Unlock()
		// A failure to write the log cannot be reported anywhere.
		_, _ = w.out.Write(batch)
		if closed {
			return
		}
	}
}

// Close writes the pending lines and stops the writer.
func (w *logWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	<-w.done
}
