package edge

import (
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// logBuffer bounds the bytes of log lines that wait to be written.
	logBuffer = 512 << 10
	// logInterval is the time between two writes; one write carries many lines.
	logInterval = 200 * time.Millisecond
)

// logWriter writes log lines in the background, so that a slow reader of the
// log never holds up traffic. Lines beyond logBuffer are dropped and counted.
type logWriter struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	waiting []byte
	dropped int
	closed  bool
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never waits and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.waiting)+len(line) > logBuffer {
		w.dropped++
		return len(line), nil
	}
	if len(w.waiting) == 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.waiting = append(w.waiting, line...)
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
			time.Sleep(logInterval)
		}
		w.mu.Lock()
		batch, w.waiting = w.waiting, batch[:0]
		if w.dropped > 0 {
			batch = append(batch, `{"level":"warn","dropped_log_lines":`+strconv.Itoa(w.dropped)+"}\n"...)
			w.dropped = 0
		}
		closed = w.closed
		w.mu.Unlock()
		// There is nowhere to report a log that cannot be written.
		_, _ = w.out.Write(batch)
		if closed {
			return
		}
	}
}

// Close writes what waits.
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
