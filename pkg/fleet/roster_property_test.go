package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	// modelInstances is the number of instances of which some run at a time.
	modelInstances = 10
	// mostLate is the longest time after which the model store performs a write.
	mostLate = 6 * time.Second
	// rollingPause is the time between two restarts beside the calm.
	rollingPause = 5 * time.Second
)

func modelName(n int) string { return fmt.Sprintf("e-%d", n) }

func modelZone(n int) string { return []string{"a", "b"}[n%2] }

// startSome starts some instances of a model; those of a zone beyond the third are standbys.
func (m *model) startSome(t *rapid.T, old func(n int) bool) {
	for n := range rapid.IntRange(1, modelInstances).Draw(t, "instances at first") {
		m.start(modelName(n), modelZone(n), old(n))
	}
	m.run(2 * time.Second)
}

// disturb draws faults of the store and starts, stops and kills of instances, and ends when the
// store works and has no late write left.
func disturb(t *rapid.T, m *model, old func(n int) bool) {
	ids := rapid.IntRange(0, modelInstances-1)
	delay := rapid.SampledFrom([]time.Duration{modelTick, 300 * time.Millisecond, time.Second, 3 * time.Second})
	lateness := rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second, mostLate})
	latency := rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond})
	for range rapid.IntRange(1, 14).Draw(t, "steps") {
		n := ids.Draw(t, "instance")
		switch rapid.IntRange(0, 11).Draw(t, "what") {
		case 0, 1, 2:
			if m.processes[modelName(n)] == nil {
				m.start(modelName(n), modelZone(n), old(n))
			}
		case 3:
			if m.processes[modelName(n)] != nil {
				m.stop(modelName(n))
			}
		case 4:
			if m.processes[modelName(n)] != nil {
				m.kill(modelName(n))
			}
		case 5, 6:
			m.store.copyRows()
		case 7, 8:
			if len(m.store.copies) > 0 {
				m.store.hangs = rapid.Bool().Draw(t, "waiting calls hang")
				m.store.restore(rapid.IntRange(0, 2).Draw(t, "copies back"))
			}
		case 9:
			m.store.away = !m.store.away
		case 10:
			m.store.loses, m.store.lateBy = !m.store.loses, lateness.Draw(t, "late by")
		case 11:
			m.store.latency = latency.Draw(t, "latency")
			if rapid.Bool().Draw(t, "history dropped") {
				m.store.dropHistory()
			}
		}
		m.run(delay.Draw(t, "then"))
	}
	m.store.away, m.store.loses = false, false
	for len(m.store.late) > 0 {
		m.run(modelTick)
	}
}

// Guards against a split of the membership that lasts: a late or lost write, a restore or an outage
// of the store hides the entry of one instance from the only read of another one, and both take the
// same part of what instances divide. Once the store is calm for DisagreementBound, all that should
// serve know each other, also with a slow store and with restarts of others beside it.
func TestInstancesFindEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		m := newModel()
		none := func(int) bool { return false }
		m.startSome(t, none)
		disturb(t, m, none)
		rolling := rapid.Bool().Draw(t, "restarts beside the calm")
		for range 2 {
			calmAt := m.now()
			for m.now()-calmAt < DisagreementBound {
				m.run(rollingPause)
				if rolling {
					if m.processes["rolling"] != nil {
						m.stop("rolling")
					}
					m.start("rolling", "a", false)
				}
			}
			settled := func(i *modelInstance) bool { return i.calledSince <= calmAt }
			is.Equal(m.strangers(settled), nil)
			for _, i := range m.sorted() {
				if settled(i) {
					_, listed := m.store.rows[i.Self.Instance]
					is.True(listed)
				}
			}
		}
		m.checkNoneIsBack(is)
	})
}

// checkNoneIsBack checks that no instance without a process counts as serving.
func (m *model) checkNoneIsBack(is *is.I) {
	m.run(unresponsiveTimeout + checkInterval)
	for _, i := range m.sorted() {
		for _, p := range i.View().Peers {
			is.True(m.processes[p.Instance] != nil)
		}
	}
}

// Guards against an instance of this build that does not find one of the build before it, which
// reads the roster once, although it has an entry.
func TestInstancesFindThoseOfTheBuildBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		m := newModel()
		old := rapid.SliceOfNDistinct(rapid.IntRange(0, modelInstances-1), 1, modelInstances-1, rapid.ID).Draw(t, "of the build before")
		// An instance of the build before may be restarted as one of this build.
		isOld := func(n int) bool {
			return slices.Contains(old, n) && !rapid.Bool().Draw(t, "upgraded")
		}
		m.startSome(t, isOld)
		disturb(t, m, isOld)
		calmAt := m.now()
		m.run(DisagreementBound)
		is.Equal(m.strangers(func(i *modelInstance) bool { return !i.old && i.calledSince <= calmAt }), nil)
		for _, a := range m.sorted() {
			for _, b := range m.sorted() {
				if _, listed := m.store.rows[b.Self.Instance]; !a.old && a.calledSince <= calmAt && b.old && listed {
					is.True(a.members[b.Self.Instance] != nil && a.members[b.Self.Instance].heard)
					is.True(b.members[a.Self.Instance] != nil && b.members[a.Self.Instance].heard)
				}
			}
		}
	})
}
