package fence

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a fence that is valid without a majority of recent replies
// that name no newer versions than the applied ones, in whatever order the
// replies arrive.
func TestDeadlineNeedsRecentMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		witnesses := names[:rapid.IntRange(0, 5).Draw(t, "witnesses")]
		self := rapid.SampledFrom([]string{"a", "x"}).Draw(t, "self")
		applied := Versions{Config: 3, Membership: 2}
		f := New(2 * time.Second)
		f.SetMembership(0, self, witnesses, applied)
		latest := map[string]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(0, 30).Draw(t, "answers") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "step")) * time.Millisecond
			startedAt := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond
			w := rapid.SampledFrom(names).Draw(t, "witness")
			v := Versions{Config: rapid.Int64Range(2, 4).Draw(t, "config"), Membership: rapid.Int64Range(1, 3).Draw(t, "membership")}
			f.RecordReply(now, w, startedAt, v)
			if !v.NewerThan(applied) {
				if t, ok := latest[w]; !ok || startedAt > t {
					latest[w] = startedAt
				}
			}
		}
		f.Renew(now)
		recent := 0
		for _, w := range witnesses {
			if startedAt, ok := latest[w]; w == self || (ok && now < startedAt+2*time.Second) {
				recent++
			}
		}
		if want := 2*recent > len(witnesses); f.Valid(now) != want {
			t.Fatalf("valid %v, want %v", f.Valid(now), want)
		}
		if f.Valid(now + 2*time.Second) {
			t.Fatal("valid for longer than the validity time without a reply")
		}
	})
}

// Guards against a change of the applied versions invalidating the fence, and
// against a reply that named a newer version counting before that version is
// applied.
func TestNewerAnswerCountsOnceApplied(t *testing.T) {
	is := is.New(t)
	f := New(2 * time.Second)
	witnesses := []string{"a", "b", "c"}
	f.SetMembership(0, "x", witnesses, Versions{Config: 1, Membership: 1})
	newer := Versions{Config: 2, Membership: 1}
	f.RecordReply(time.Second, "a", time.Second, newer)
	f.RecordReply(time.Second, "b", time.Second, newer)
	is.True(!f.Valid(time.Second))
	f.SetMembership(time.Second, "x", witnesses, newer)
	is.Equal(f.Deadline(), 3*time.Second)
	f.SetMembership(time.Second, "x", []string{"b", "c", "d"}, Versions{Config: 2, Membership: 2})
	is.True(!f.Valid(time.Second))
}
