package quarantine

import (
	"container/list"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// maxCrashes is the number of targets, one after the other, from which on a request
	// that has crashed them is in quarantine. Two would include requests that happened
	// to be open twice where another one crashed the target.
	maxCrashes = 3
	// maxCrashesForRetry is the number of crashes up to which an instance sends a request
	// that lost its target to another one by itself.
	maxCrashesForRetry = 1
	// firstTrialDelay is the time after which a request in quarantine is tried once more.
	// Each further crash multiplies it by trialDelayFactor. After maxTrials the request
	// stays in quarantine.
	firstTrialDelay  = 10 * time.Minute
	trialDelayFactor = 6
	maxTrials        = 3
	// trialRetryAfter is what callers are told that come to another instance while a trial
	// is due.
	trialRetryAfter = time.Second
	// forgetAfter is the time without such a request after which it is forgotten.
	forgetAfter = 24 * time.Hour
	// maxEntries bounds the known requests, which take about 200 bytes each. A target
	// that ends makes all requests suspect that it had open, mostly fewer than ten.
	maxEntries = 1024
)

// Suspicion is what is known of a request. Instances merge what they know: the greater
// value holds.
type Suspicion struct {
	// Clearings counts how often a success has cleared the request.
	Clearings uint32
	// Crashes counts the targets that the request has crashed since then. Each of them
	// got it from an instance that knew of the crashes before: targets that end at the
	// same moment for another reason count as one.
	Crashes uint32
}

// exceeds reports whether s replaces other.
func (s Suspicion) exceeds(other Suspicion) bool {
	return s.Clearings > other.Clearings || (s.Clearings == other.Clearings && s.Crashes > other.Crashes)
}

// quarantined reports whether the request must not be sent to targets.
func (s Suspicion) quarantined() bool { return s.Crashes >= maxCrashes }

// MayRetry reports whether an instance may send the request to another target by itself
// after it has lost the connection to one.
func (s Suspicion) MayRetry() bool { return s.Crashes <= maxCrashesForRetry }

// trialDelay returns the time from the last crash of a request in quarantine to its next
// trial. ok is false if there is none.
func (s Suspicion) trialDelay() (delay time.Duration, ok bool) {
	trials := s.Crashes - maxCrashes
	if trials >= maxTrials {
		return 0, false
	}
	delay = firstTrialDelay
	for range trials {
		delay *= trialDelayFactor
	}
	return delay, true
}

// QuarantinedError says that a request is in quarantine.
type QuarantinedError struct {
	Digest  Digest
	Crashes uint32
	// RetryAfter is the time until the request may be tried again.
	RetryAfter time.Duration
}

// Error names the request and the crashes.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %s has crashed %d targets one after the other", e.Digest, e.Crashes)
}

// entry is a request that may crash targets.
type entry struct {
	digest Digest
	Suspicion
	// changedAt is the time since boot of the last crash or clearing, or of the last
	// trial; seenAt that of the last arrival.
	changedAt, seenAt time.Duration
	// unwritten says that the store may lack the last change, as far as it concerns the
	// quarantine.
	unwritten bool
}

// List holds the requests that may crash targets. It is safe for concurrent use.
type List struct {
	// Owns reports whether this instance is the one that tries a request of this digest
	// again. With nil, it is.
	Owns func(Digest) bool
	// OnChange, if not nil, is called when other instances should be told at once.
	OnChange func()

	clock clock.Clock
	log   *zerolog.Logger
	// size is the number of entries, readable without mu.
	size atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// entries holds elements of recent by digest. recent holds the *entry values; those
	// that changed within changeTTL are in front, the last one first.
	entries map[Digest]*list.Element
	recent  *list.List
}

// New returns an empty list.
func New(c clock.Clock, log *zerolog.Logger) *List {
	return &List{clock: c, log: log, entries: map[Digest]*list.Element{}, recent: list.New()}
}

// Empty reports whether no request is known that may crash targets.
func (l *List) Empty() bool { return l.size.Load() == 0 }

// Admit returns what is known of a request that arrives. Errors: *QuarantinedError. Some
// requests in quarantine are admitted as a trial, which ends the next one's.
func (l *List) Admit(d Digest) (s Suspicion, trial bool, err error) {
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(d, now)
	if e == nil {
		return Suspicion{}, false, nil
	}
	e.seenAt = now
	if !e.quarantined() {
		return e.Suspicion, false, nil
	}
	if wait := l.trialWait(e, now); wait > 0 {
		return e.Suspicion, false, errors.WithStack(&QuarantinedError{Digest: d, Crashes: e.Crashes, RetryAfter: wait})
	}
	e.changedAt = now
	event.RequestTried.Log(l.log).Stringer("digest", d).Uint32("crashes", e.Crashes).Send()
	return e.Suspicion, true, nil
}

// trialWait returns the time until this instance may try a request in quarantine, 0 if it
// may now.
func (l *List) trialWait(e *entry, now time.Duration) time.Duration {
	delay, ok := e.trialDelay()
	wait := e.changedAt + delay - now
	switch {
	case !ok:
		return forgetAfter
	case wait > 0:
		return wait
	case !l.owns(e):
		return trialRetryAfter
	default:
		return 0
	}
}

// owns reports whether this instance is responsible for a request.
func (l *List) owns(e *entry) bool { return l.Owns == nil || l.Owns(e.digest) }

// Lookup returns what is known of a request that has been admitted. Errors:
// *QuarantinedError, if it was not for a trial and must not be sent any more.
func (l *List) Lookup(d Digest) (Suspicion, error) {
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(d, now)
	switch {
	case e == nil:
		return Suspicion{}, nil
	case e.quarantined():
		return e.Suspicion, errors.WithStack(&QuarantinedError{Digest: d, Crashes: e.Crashes, RetryAfter: max(l.trialWait(e, now), trialRetryAfter)})
	default:
		return e.Suspicion, nil
	}
}

// Loss is a request that lost the connection to its target.
type Loss struct {
	Digest Digest
	// Known is what was known of the request when it was sent.
	Known Suspicion
}

// RecordCrash records that a target ended while it had these requests. Only those that
// have crashed most targets so far are held responsible.
func (l *List) RecordCrash(losses []Loss) {
	now := l.clock.SinceBoot()
	most := uint32(0)
	for _, loss := range losses {
		most = max(most, loss.Known.Crashes)
	}
	changed := false
	l.mu.Lock()
	for _, loss := range losses {
		if loss.Known.Crashes == most {
			changed = l.recordCrash(loss, now) || changed
		}
	}
	l.mu.Unlock()
	if changed && l.OnChange != nil {
		l.OnChange()
	}
}

// recordCrash records one request that a target had when it ended. The caller holds mu.
func (l *List) recordCrash(loss Loss, now time.Duration) (changed bool) {
	next := Suspicion{Clearings: loss.Known.Clearings, Crashes: loss.Known.Crashes + 1}
	if e := l.find(loss.Digest, now); e != nil && e.Clearings > next.Clearings {
		next = Suspicion{Clearings: e.Clearings, Crashes: 1}
	}
	return l.raise(loss.Digest, next, now, now, "own")
}

// RecordSuccess records that a target has run a request without a crash. known is what was
// known when it was sent: a success that began before a crash says nothing about it.
func (l *List) RecordSuccess(d Digest, known Suspicion) {
	if known.Crashes == 0 {
		return
	}
	now := l.clock.SinceBoot()
	l.mu.Lock()
	changed := l.raise(d, Suspicion{Clearings: known.Clearings + 1}, now, now, "own")
	l.mu.Unlock()
	if changed && l.OnChange != nil {
		l.OnChange()
	}
}

// raise applies knowledge of a request if it exceeds what is known. from is who has it, for
// the log. The caller holds mu.
func (l *List) raise(d Digest, next Suspicion, changedAt, now time.Duration, from string) (changed bool) {
	e := l.find(d, now)
	if e == nil {
		e = &entry{digest: d, seenAt: changedAt}
		l.insert(e)
	} else if !next.exceeds(e.Suspicion) {
		return false
	}
	before := e.Suspicion
	e.Suspicion, e.changedAt, e.seenAt = next, changedAt, max(e.seenAt, changedAt)
	if now-changedAt < changeTTL {
		l.recent.MoveToFront(l.entries[d])
	}
	e.unwritten = e.unwritten || e.quarantined() || before.quarantined()
	switch {
	case e.quarantined() && !before.quarantined():
		event.RequestQuarantined.Log(l.log).Stringer("digest", d).Uint32("crashes", e.Crashes).Str("from", from).Send()
	case before.quarantined() && !e.quarantined():
		event.RequestCleared.Log(l.log).Stringer("digest", d).Str("from", from).Send()
	}
	return true
}

// find returns the entry of a request, or nil. It drops one that is to be forgotten. The
// caller holds mu.
func (l *List) find(d Digest, now time.Duration) *entry {
	element := l.entries[d]
	if element == nil {
		return nil
	}
	e := element.Value.(*entry)
	if now-e.seenAt < forgetAfter {
		return e
	}
	l.remove(element)
	return nil
}

// insert adds an entry. If there are too many, the oldest that is not in quarantine goes,
// or the oldest. The caller holds mu.
func (l *List) insert(e *entry) {
	if l.recent.Len() >= maxEntries {
		oldest := l.recent.Back()
		for el := oldest; el != nil; el = el.Prev() {
			if !el.Value.(*entry).quarantined() {
				oldest = el
				break
			}
		}
		l.remove(oldest)
	}
	l.entries[e.digest] = l.recent.PushBack(e)
	l.size.Store(int64(l.recent.Len()))
}

func (l *List) remove(element *list.Element) {
	delete(l.entries, element.Value.(*entry).digest)
	l.recent.Remove(element)
	l.size.Store(int64(l.recent.Len()))
}

// State is a request in quarantine in a dump.
type State struct {
	Digest  string `json:"digest"`
	Crashes uint32 `json:"crashes"`
	// TrialInSeconds is the time until this instance would try the request.
	TrialInSeconds float64 `json:"trial_in_seconds"`
}

// Dump returns the requests in quarantine, the last one first, and the number of others that
// may crash targets.
func (l *List) Dump() (quarantined []State, suspects int) {
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	for el := l.recent.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		if !e.quarantined() {
			suspects++
			continue
		}
		quarantined = append(quarantined, State{Digest: e.digest.String(), Crashes: e.Crashes, TrialInSeconds: l.trialWait(e, now).Seconds()})
	}
	return quarantined, suspects
}
