package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
)

// members returns all instances.
func (tf *testFleet) members() (members []Member) {
	for _, n := range tf.instances {
		members = append(members, n.Self)
	}
	return members
}

// join writes and reads the roster as a process does at its start.
func (n *testInstance) join(ctx context.Context) {
	for r := (rosterSync{self: n.Self}); !n.rosterWasRead(); {
		n.callRoster(ctx, &r)
	}
}

// modelStore models the platform's store as far as the roster needs it, in virtual time.
type modelStore struct {
	rows         map[string]modelRow
	history      []modelRow
	version, era int64
	// trimmed is the newest version that the history no longer covers.
	trimmed int64
	late    []lateWrite
	copies  []storeCopy
	// away fails all calls without effect; loses performs writes, lateBy later, and answers none;
	// hangs says that calls that wait during a restore get no answer.
	away, loses, hangs bool
	lateBy             time.Duration
	// latency is the time between the effect of a call and its answer.
	latency time.Duration
}

type modelRow struct {
	Member
	version int64
	removed bool
}

// lateWrite is a write that the store performs seconds after the call, if its condition still holds.
type lateWrite struct {
	at   time.Duration
	name string
	// expected is the version that the row must have; 0 means that there is no condition.
	expected int64
	row      modelRow
}

type storeCopy struct {
	rows    map[string]modelRow
	version int64
}

var errStore = errors.New("the store does not answer")

func newModelStore() *modelStore { return &modelStore{rows: map[string]modelRow{}, era: 1} }

// write performs a write now or later, and reports whether it is answered.
func (s *modelStore) write(w lateWrite, now time.Duration) error {
	switch {
	case s.away:
		return errStore
	case s.loses && s.lateBy > 0:
		w.at = now + s.lateBy
		s.late = append(s.late, w)
		return errStore
	}
	s.apply(w)
	if s.loses {
		return errStore
	}
	return nil
}

func (s *modelStore) apply(w lateWrite) {
	if w.expected != 0 && s.rows[w.name].version != w.expected {
		return
	}
	s.version++
	w.row.version, w.row.Instance = s.version, w.name
	if w.row.removed {
		delete(s.rows, w.name)
	} else {
		s.rows[w.name] = w.row
	}
	s.history = append(s.history, w.row)
}

// tick performs the late writes that are due.
func (s *modelStore) tick(now time.Duration) {
	due := s.late
	s.late = nil
	for _, w := range due {
		if w.at <= now {
			s.apply(w)
		} else {
			s.late = append(s.late, w)
		}
	}
}

func (s *modelStore) copyRows() {
	rows := map[string]modelRow{}
	for name, r := range s.rows {
		rows[name] = r
	}
	s.copies = append(s.copies, storeCopy{rows, s.version})
}

// restore goes back to the nth copy from the end; versions are given out again.
func (s *modelStore) restore(n int) {
	c := s.copies[max(0, len(s.copies)-1-n)]
	s.rows, s.version, s.trimmed, s.history = map[string]modelRow{}, c.version, c.version, nil
	for name, r := range c.rows {
		s.rows[name] = r
	}
	s.copies = []storeCopy{c}
	s.era++
}

func (s *modelStore) dropHistory() { s.history, s.trimmed = nil, s.version }

func (s *modelStore) read() RosterUpdate {
	u := RosterUpdate{Cursor: RosterCursor{Version: s.version, Era: s.era}}
	for _, r := range s.rows {
		u.Entries = append(u.Entries, RosterEntry{Member: r.Member})
	}
	return u
}

// changesAfter returns the changes after a cursor, or an error if there is none of its era.
func (s *modelStore) changesAfter(after RosterCursor) (RosterUpdate, error) {
	if after.Era != s.era || after.Version < s.trimmed {
		return RosterUpdate{}, &StaleCursorError{Cause: errStore}
	}
	u := RosterUpdate{Cursor: RosterCursor{Version: s.version, Era: s.era}}
	for _, r := range s.history {
		if r.version > after.Version {
			u.Entries = append(u.Entries, RosterEntry{Member: r.Member, Removed: r.removed})
		}
	}
	return u, nil
}

// noSleep is a clock on which nobody waits.
type noSleep struct{ *clock.Manual }

func (noSleep) Sleep(context.Context, time.Duration) error { return nil }

// modelInstance is an instance that makes its calls of the roster in virtual time.
type modelInstance struct {
	*testInstance
	m    *model
	sync rosterSync
	// inCall says that a call is under way, which began at beganAt, and that its answer has been
	// made and arrives at doneAt unless that is 0.
	inCall          bool
	beganAt, doneAt time.Duration
	// beganEra is the era in which the call began.
	beganEra int64
	update   RosterUpdate
	err      error
	// nextAt is the time of the next call.
	nextAt time.Duration
	// startedAt is the start of the process.
	startedAt time.Duration
	// old says that the process is of the build before the roster was followed: it reads it once,
	// and enters it again after a restore. rejoinedEra is the era for which it has done so.
	old         bool
	rejoinedEra int64
	// seenEra is the newest era that the process has noticed, calledSince when it was selected to
	// serve.
	seenEra     int64
	calledSince time.Duration
	// joinCount counts the writes of the own entry.
	joinCount int
}

func (i *modelInstance) Join(context.Context, Member) error {
	i.joinCount++
	return i.err
}

func (i *modelInstance) ReadRoster(context.Context) (RosterUpdate, error) {
	return i.update, i.err
}

func (i *modelInstance) AwaitRoster(context.Context, RosterCursor, time.Duration) (RosterUpdate, error) {
	return i.update, i.err
}

// Leave removes the entry as the adapter does: in the version in which it was read.
func (i *modelInstance) Leave(context.Context, Member) error {
	s := i.m.store
	if s.away {
		return errStore
	}
	row, ok := s.rows[i.Self.Instance]
	if !i.old && (!ok || row.Incarnation != i.Self.Incarnation) {
		return nil
	}
	w := lateWrite{name: i.Self.Instance, expected: row.version, row: modelRow{removed: true}}
	if i.old {
		w.expected = 0
	}
	return s.write(w, i.m.now())
}

// model is a fleet with its store.
type model struct {
	*testFleet
	store     *modelStore
	processes map[string]*modelInstance
	// incarnation is that of the last start.
	incarnation uint64
}

func newModel() *model {
	tf := &testFleet{clock: clock.NewManual(time.Unix(0, 0)), instances: map[string]*testInstance{}, drop: func(string, string) bool { return false }}
	tf.clock.Advance(time.Hour)
	return &model{testFleet: tf, store: newModelStore(), processes: map[string]*modelInstance{}}
}

func (m *model) now() time.Duration { return m.clock.SinceBoot() }

// start starts a process of an instance.
func (m *model) start(name, zone string, old bool) {
	m.incarnation++
	i := &modelInstance{testInstance: m.add(name, zone, m.incarnation), m: m, old: old, startedAt: m.now(), nextAt: m.now(), calledSince: m.now(), rejoinedEra: m.store.era, seenEra: m.store.era}
	i.Fleet.Options.Roster, i.Fleet.Options.Clock = i, noSleep{m.clock}
	i.sync = rosterSync{self: i.Self}
	m.processes[name] = i
}

// stop ends a process in a planned way, kill without one.
func (m *model) stop(name string) {
	i := m.processes[name]
	i.AnnounceLeave()
	_ = i.LeaveRoster(context.Background())
	m.kill(name)
}

func (m *model) kill(name string) {
	m.processes[name].down = true
	delete(m.processes, name)
	delete(m.instances, name)
}

// modelTick is the resolution of virtual time.
const modelTick = 50 * time.Millisecond

// run advances the time; heartbeats are sent each checkInterval.
func (m *model) run(d time.Duration) {
	for end := m.now() + d; m.now() < end; {
		m.clock.Advance(modelTick)
		now := m.now()
		m.store.tick(now)
		for _, i := range m.sorted() {
			i.tick(now)
			if now%checkInterval == 0 {
				i.step()
			}
		}
	}
}

func (m *model) sorted() (list []*modelInstance) {
	for _, i := range m.processes {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b *modelInstance) int { return int(a.Self.Incarnation) - int(b.Self.Incarnation) })
	return list
}

// tick begins a call that is due, or ends one that is answered.
func (i *modelInstance) tick(now time.Duration) {
	if i.leaving.Load() {
		return
	}
	call, s := i.sync.next(), i.m.store
	if i.old && call == awaitRoster {
		i.rejoinAsOldBuild(now)
		return
	}
	if !i.View().Called {
		i.calledSince = now
	}
	if i.seenEra != s.era && !s.away && i.View().Called {
		// Its other calls of the store notice the restore; a standby makes none.
		i.seenEra = s.era
		i.Rejoin()
	}
	if !i.inCall {
		if now < i.nextAt || (!i.old && !i.rosterCallDue(&i.sync)) {
			return
		}
		call = i.sync.next()
		i.inCall, i.beganAt, i.beganEra, i.doneAt = true, now, s.era, 0
	}
	if i.doneAt == 0 {
		i.answer(call, now)
	}
	if i.doneAt == 0 || now < i.doneAt {
		return
	}
	i.inCall = false
	i.nextAt = now + i.callRoster(context.Background(), &i.sync)
	if i.old {
		// Its first read was not compared with the own entry.
		i.sync.written = i.sync.written || call == readRoster
	}
}

// answer makes the answer to a call if it is due.
func (i *modelInstance) answer(call rosterCall, now time.Duration) {
	s := i.m.store
	i.update, i.err = RosterUpdate{}, nil
	switch call {
	case writeEntry:
		i.err = s.write(lateWrite{name: i.Self.Instance, row: modelRow{Member: i.Self}}, now)
	case readRoster:
		if s.away {
			i.err = errStore
		} else {
			i.update = s.read()
		}
	case awaitRoster:
		timedOut := now-i.beganAt >= rosterWaitTimeout
		switch {
		case timedOut, s.away && now == i.beganAt:
			i.err = errStore
		case s.away, s.era != i.beganEra && s.hangs:
			return
		default:
			i.update, i.err = s.changesAfter(i.sync.cursor)
			if i.err == nil && len(i.update.Entries) == 0 && now-i.beganAt < rosterWait {
				return
			}
		}
	}
	i.doneAt = now + s.latency
}

// rejoinAsOldBuild writes the entry again once after a restore, as the build before does.
func (i *modelInstance) rejoinAsOldBuild(now time.Duration) {
	s := i.m.store
	if s.era == i.rejoinedEra || s.away || now < i.nextAt {
		return
	}
	i.nextAt = now + maxRosterRetryDelay
	if s.write(lateWrite{name: i.Self.Instance, row: modelRow{Member: i.Self}}, now) == nil {
		i.rejoinedEra = s.era
	}
}

// strangers returns the pairs of instances that do not know each other, among those for which
// included returns true.
func (m *model) strangers(included func(*modelInstance) bool) (pairs []string) {
	for _, a := range m.sorted() {
		for _, b := range m.sorted() {
			if a == b || !included(a) || !included(b) {
				continue
			}
			k := a.members[b.Self.Instance]
			if k == nil || !k.heard || k.Incarnation != b.Self.Incarnation {
				pairs = append(pairs, fmt.Sprintf("%s does not know %s", a.Self.Instance, b.Self.Instance))
				continue
			}
			listed := slices.ContainsFunc(a.View().Peers, func(p Member) bool { return p.Instance == b.Self.Instance })
			if a.View().Serving && listed != b.View().Serving {
				pairs = append(pairs, fmt.Sprintf("%s takes %s for serving: %t", a.Self.Instance, b.Self.Instance, listed))
			}
		}
	}
	return pairs
}
