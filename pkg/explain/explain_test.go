package explain

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const logText = `
collector 12 {"event":300,"name":"config_applied","instance":"e1","version":7,"from":"store","time":"2026-12-05T10:00:00Z"}
{"event":300,"name":"config_applied","instance":"e1","version":8,"from":"e2","time":"2026-12-05T10:00:09Z"}
{"event":708,"name":"listing_changed","instance":"e1","targets":40,"unsettled":true,"time":"2026-12-05T10:00:03Z"}
{"event":510,"name":"target_limit_named","instance":"e1","target":"t1","time":"2026-12-05T10:00:02Z"}
{"event":507,"name":"target_suspected","instance":"e2","target":"t1","result":"broken","time":"2026-12-05T10:00:02Z"}
{"event":602,"instance":"e2","request_id":"r2","trail":"t1:broken:1000:near,load=1","time":"2026-12-05T10:00:04.5Z"}
{"event":602,"instance":"e1","request_id":"r3","trail":"t1:answered:1000:home","time":"2026-12-05T10:00:04.5Z"}
{"event":602,"instance":"e1","request_id":"r4","trail":"t1:answered:1000:home","time":"2026-12-05T10:00:30Z"}
{"level":"warn","dropped_log_lines":3}
{"event":602,"instance":"e1","request_id":"r1","team":"blue","route":"/pay/","service":"s","config_version":7,"status":504,"elapsed_us":700000,"queued_us":5000,"refusal":"target_timeout","cause":"i/o timeout","trail":"t0:shed:100000:home,load=2,failing=1,listing=300 t1:timed_out:500000:near,load=0,failing=25,listing=421,limit=0.75,new=1,via=e2","time":"2026-12-05T10:00:05Z"}
{"event":600,"name":"outcome_unknown","instance":"e1","request_id":"r1","error":"lost","time":"2026-12-05T10:00:05Z"}
{"event":507,"name":"target_suspected","instance":"e1","target":"t1","result":"timed_out","time":"2026-12-05T10:00:06Z"}
{"event":
`

func source(text string) Source {
	return func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }
}

// Guards against lines that are joined with the wrong request, instance or time.
func TestExplain(t *testing.T) {
	is := is.New(t)
	e, err := Explain("r1", source(logText))
	is.NoErr(err)
	is.Equal(e.Config.Version, int64(7))
	is.Equal(e.Listing.Targets, 40)
	is.Equal(len(e.Further), 1)
	is.Equal(len(e.Attempts), 2)
	first, second := e.Attempts[0], e.Attempts[1]
	is.Equal(first.Began, time.Date(2026, 12, 5, 10, 0, 4, 400_000_000, time.UTC))
	is.Equal(second.Began, time.Date(2026, 12, 5, 10, 0, 4, 500_000_000, time.UTC))
	is.Equal(first.Load, 2)
	is.Equal(second.FailingPercent, 25)
	is.Equal(second.ListingAge, 421*time.Millisecond)
	is.Equal(*second.Limit, 0.75)
	is.Equal(second.Via, "e2")
	is.Equal([2]int{second.Answered, second.Failed}, [2]int{1, 1})
	is.Equal(second.FailedFrom, []string{"e2"})
	is.Equal(len(second.Known), 2)
	is.Equal(second.Known[0].Event, 510)
	is.Equal(e.Logs, Logs{Lines: 13, Unreadable: 1, Dropped: 3})
	text := e.Text()
	for _, part := range []string{
		"target_timeout, the target did not answer", "Cause: i/o timeout", "waited 5ms", "Configuration 7 decided; the instance applied it 5s before, from store",
		"40 targets, and missing ones were retained", "it may have run the request after 500ms", "0.75 requests/s", "1 answered, 1 not, from e2",
		"1s after the end: 507 target_suspected, after the result timed_out", "also logged 600 outcome_unknown: lost", "could not write 3 log lines",
	} {
		is.True(strings.Contains(text, part)) // the text lacks a part
	}
}

// Guards against a missing request that is not told apart from one whose line was dropped.
func TestRequestThatNoLogHas(t *testing.T) {
	is := is.New(t)
	_, err := Explain("r9", source(logText))
	var missing *NotFoundError
	is.True(errors.As(err, &missing))
	is.True(strings.Contains(err.Error(), "could not write 3 lines"))
	is.True(strings.Contains(err.Error(), "a line comes up to 200ms after its request"))
}

// Guards against a line without end that fills the memory.
func TestLongLineIsUnreadable(t *testing.T) {
	is := is.New(t)
	long := `{"event":602,"request_id":"` + strings.Repeat("x", 3*maxLineBytes) + "\"}\n"
	e, err := Explain("r1", source(long+logText))
	is.NoErr(err)
	is.Equal(e.Logs.Unreadable, 2)
}

// Guards against a hedge and its first attempt that seem to follow one another, and against an
// explanation that does not tell which is the hedge.
func TestHedgeRunsBesideTheFirstAttempt(t *testing.T) {
	is := is.New(t)
	end := time.Date(2026, 12, 5, 10, 0, 5, 0, time.UTC)
	for _, tc := range []struct {
		trail         string
		first, hedged time.Duration // before the end
	}{
		{"t0:canceled:500000:home t1:answered:100000:near,hedge=400", 500 * time.Millisecond, 100 * time.Millisecond},
		{"t1:canceled:200000:near,hedge=400 t0:answered:600000:home", 600 * time.Millisecond, 200 * time.Millisecond},
		{"t9:not_sent:1000:home t1:shed:1000:near,hedge=400 t0:answered:600000:home", 600 * time.Millisecond, 200 * time.Millisecond},
	} {
		for _, a := range parseTrail(&Line{Trail: tc.trail, Time: end}) {
			switch a.Target {
			case "t0":
				is.Equal(a.Began, end.Add(-tc.first))
				is.Equal(a.HedgeAfter, time.Duration(0))
			case "t1":
				is.Equal(a.Began, end.Add(-tc.hedged))
				is.Equal(a.HedgeAfter, 400*time.Millisecond)
			}
		}
	}
	e, err := Explain("r7", source(`{"event":602,"instance":"e1","request_id":"r7","trail":"t0:canceled:500000:home t1:answered:100000:near,hedge=400","time":"2026-12-05T10:00:05Z"}`+"\n"))
	is.NoErr(err)
	text := e.Text()
	is.True(strings.Contains(text, "Attempt 1: t0") && strings.Contains(text, "Attempt 2: t1"))
	is.Equal(strings.Count(text, "A hedge: it ran beside the first attempt, which had not responded for 400ms"), 1)
}

// Guards against trails that a fault of the logs has spoiled.
func FuzzParseTrail(f *testing.F) {
	f.Add("t0:shed:100000:home,load=2,failing=1,listing=300 t1:timed_out:500000:near,limit=0.75")
	f.Add("t0:canceled:1:home,hedge=NaN t1:answered:1:near,hedge=1e99")
	f.Add("a:b:c d:e:1: ::-1:far,load=")
	f.Fuzz(func(t *testing.T, trail string) {
		for _, a := range parseTrail(&Line{Trail: trail}) {
			if a.Target == "" {
				t.Errorf("%q gave an attempt without a target", trail)
			}
		}
	})
}
