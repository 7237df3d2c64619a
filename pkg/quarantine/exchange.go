package quarantine

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// changeTTL is how long each message repeats a change, in case one is lost.
	changeTTL = 3 * time.Second
	// maxRecentPerMessage and maxOlderPerMessage bound the requests in a message, which
	// take about 30 bytes each. Older ones take turns: they are for instances that
	// have started since.
	maxRecentPerMessage = 64
	maxOlderPerMessage  = 8
)

// HasNews reports whether something has changed that other instances may not know yet.
func (l *List) HasNews() bool {
	if l.Empty() {
		return false
	}
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.recent.Front()
	return first != nil && now-first.Value.(*entry).changedAt < changeTTL
}

// Messages returns what another instance should know: the recent changes and some of the
// older ones.
func (l *List) Messages() []*peerpb.SuspectRequest {
	if l.Empty() {
		return nil
	}
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	var messages []*peerpb.SuspectRequest
	for el := l.recent.Front(); el != nil && len(messages) < maxRecentPerMessage; el = el.Next() {
		e := el.Value.(*entry)
		if now-e.changedAt >= changeTTL {
			break
		}
		messages = append(messages, e.message(now))
	}
	older := 0
	// The order of a map's iteration is random.
	for _, el := range l.entries {
		if older >= maxOlderPerMessage {
			break
		}
		if e := el.Value.(*entry); now-e.changedAt >= changeTTL && now-e.seenAt < forgetAfter {
			messages = append(messages, e.message(now))
			older++
		}
	}
	return messages
}

func (e *entry) message(now time.Duration) *peerpb.SuspectRequest {
	return &peerpb.SuspectRequest{
		Digest: e.digest[:], Clearings: e.Clearings, Crashes: e.Crashes,
		ChangedAgeS: seconds(now - e.changedAt), SeenAgeS: seconds(now - e.seenAt),
	}
}

// seconds returns a duration in whole seconds, at least 0.
func seconds(d time.Duration) uint32 { return uint32(max(0, d/time.Second)) }

// Merge applies what another instance knows.
func (l *List) Merge(from string, messages []*peerpb.SuspectRequest) {
	if len(messages) == 0 {
		return
	}
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range messages {
		seenAge := time.Duration(m.SeenAgeS) * time.Second
		if len(m.Digest) != len(Digest{}) || seenAge >= forgetAfter || (m.Clearings == 0 && m.Crashes == 0) {
			continue
		}
		d := Digest(m.Digest)
		changedAt, seenAt := now-time.Duration(m.ChangedAgeS)*time.Second, now-seenAge
		l.raise(d, Suspicion{Clearings: m.Clearings, Crashes: m.Crashes}, changedAt, now, from)
		if e := l.find(d, now); e != nil {
			e.seenAt = max(e.seenAt, seenAt)
		}
	}
}
