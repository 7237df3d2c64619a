package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// soonKnown is the time within which instances that serve find each other while the store answers
// at once: a pause between calls, the spread of the reads after a restore, and the heartbeats.
const soonKnown = minRosterPause + rereadPeriod + time.Second

// everyone includes all instances of a model.
func everyone(*modelInstance) bool { return true }

// Guards against a split that lasts after the store has performed a removal late, of the process
// before, and an instance is added while the entry of the next process is missing.
func TestEntryRemovedLateIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.start("e-1", "a", false)
	m.start("e-2", "a", true) // of the build before: it removes its entry without a condition
	m.run(2 * time.Second)
	m.store.loses, m.store.lateBy = true, 4*time.Second
	m.stop("e-2")
	m.store.loses = false
	m.run(time.Second)
	m.start("e-2", "a", false)
	m.run(3 * time.Second)
	_, listed := m.store.rows["e-2"]
	is.True(!listed)
	m.start("e-3", "a", false)
	m.run(soonKnown)
	is.Equal(m.strangers(everyone), nil)
	is.Equal(m.processes["e-2"].RosterState().EntryLosses, int64(1))
}

// Guards against a split that lasts after a restore of the store has removed the entry of an added
// instance, and another one has read the roster before that entry was written again.
func TestInstanceAddedRightAfterARestoreIsFound(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.start("e-1", "a", false)
	m.run(2 * time.Second)
	m.store.copyRows()
	m.start("e-2", "a", false)
	m.run(3 * time.Second)
	m.store.away = true
	m.run(time.Second)
	m.store.away = false
	m.store.restore(0)
	m.start("e-3", "a", false)
	m.run(modelTick)
	is.True(m.processes["e-3"].members["e-2"] == nil) // its entry is missing
	m.run(soonKnown)
	is.Equal(m.strangers(everyone), nil)
}

// Guards against a split between instances that have no common peer: the first one's entry
// was lost while it was alone.
func TestInstancesWithoutACommonPeerFindEachOther(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.store.copyRows()
	m.start("e-1", "a", false)
	m.run(3 * time.Second)
	m.store.restore(0)
	m.start("e-2", "b", false)
	m.run(soonKnown)
	is.Equal(m.strangers(everyone), nil)
}

// Guards against an instance that has left and counts again, because a restore of the store has
// brought back its entry: others would leave parts of what they divide to it.
func TestEntryOfOneThatLeftBringsNoneBack(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.start("e-1", "a", false)
	m.start("e-2", "a", false)
	m.run(2 * time.Second)
	m.store.copyRows()
	m.stop("e-2")
	m.run(time.Second)
	m.start("e-3", "a", false)
	m.run(3 * time.Second)
	m.store.restore(0)
	_, listed := m.store.rows["e-2"]
	is.True(listed)
	m.run(2 * time.Second)
	before := m.processes["e-3"].View().ZoneSizes
	m.run(DisagreementBound)
	for _, i := range m.sorted() {
		is.Equal(len(i.View().Peers), 2)
		is.Equal(len(i.View().Silent), 0)
		is.Equal(i.View().ZoneSizes["a"], before["a"]+map[string]int{"e-1": 1}[i.Self.Instance])
	}
	is.Equal(m.processes["e-3"].RosterState().Unheard, []string{"e-2"}) // an operator sees it
}

// Guards against an instance that writes its entry again after it has removed it.
func TestNoEntryIsWrittenAfterLeaving(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.start("e-1", "a", false)
	m.run(2 * time.Second)
	i := m.processes["e-1"]
	i.AnnounceLeave()
	is.NoErr(i.LeaveRoster(t.Context()))
	is.Equal(len(m.store.rows), 0)
	before := i.joinCount
	is.NoErr(i.writeEntry(t.Context())) // the call that was next
	is.Equal(i.joinCount, before)
}

// Guards against an entry that stays lost because its removal is among changes that the store has
// dropped, and against a read after such a gap that never comes.
func TestEntryLostInAGapOfTheHistoryIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.start("e-1", "a", false)
	m.start("e-2", "a", false)
	m.run(3 * time.Second)
	m.store.apply(lateWrite{name: "e-2", row: modelRow{removed: true}})
	m.store.dropHistory()
	m.start("e-3", "a", false)
	m.run(modelTick)
	is.True(m.processes["e-3"].members["e-2"] == nil)
	m.run(soonKnown)
	is.Equal(m.strangers(everyone), nil)
	_, listed := m.store.rows["e-2"]
	is.True(listed) // for those that start later
}
