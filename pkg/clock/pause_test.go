package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pause that goes unnoticed, and against taking the time between two
// observations for one.
func TestPauseDetector(t *testing.T) {
	is := is.New(t)
	c := NewManual(time.Unix(0, 0))
	c.Advance(time.Hour)
	d := NewPauseDetector(c, time.Second)
	is.True(!d.Observe()) // the start is no pause
	c.Advance(900 * time.Millisecond)
	is.True(!d.Observe())
	is.Equal(d.ResumedAt(), time.Duration(0))
	c.Advance(3 * time.Second)
	is.True(d.Observe())
	is.True(!d.Observe())
	is.Equal(d.ResumedAt(), c.SinceBoot())
}
