package detour

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// lostTestConnections is the number of targets that a test of the paths connects to; one
	// that answers is enough. All of regainedTestConnections must answer before lost paths
	// count as regained.
	lostTestConnections     = 3
	regainedTestConnections = 2
	// regainInterval is the time between two tests while the paths are lost.
	regainInterval = 400 * time.Millisecond
	// witnessInterval is the time between two looks for another instance that reaches
	// targets. Heartbeats arrive each 250 or 500 ms.
	witnessInterval = 50 * time.Millisecond
	// answerMemory is the time for which a connection answers other instances that ask.
	answerMemory = 500 * time.Millisecond
	// WitnessMemory is the time for which another instance's connection to a target counts:
	// standbys receive heartbeats from other zones each 3 s.
	WitnessMemory = 4 * time.Second
)

// Monitor finds out whether the instance has lost its paths to all targets. That other
// instances still connect to targets tells this from the loss of the targets.
type Monitor struct {
	*Paths
	Clock clock.Clock
	Log   *zerolog.Logger
	// Targets returns the addresses of the targets in use.
	Targets func() []string
	// Connect opens a direct connection to a target and closes it.
	Connect func(ctx context.Context, address string) error
	// Reached reports whether another instance is known to have connected to a target
	// since the given time.
	Reached func(since time.Duration) bool
	// OnChange, if not nil, is called when the paths are lost or regained, and OnAsk when
	// other instances should be asked whether they reach targets.
	OnChange, OnAsk func()

	once sync.Once
	wake chan struct{}
	// asking says that the instance asks others, testing that a test for another one runs.
	asking, testing atomic.Bool
}

func (m *Monitor) wakeUp() chan struct{} {
	m.once.Do(func() { m.wake = make(chan struct{}, 1) })
	return m.wake
}

// Failed records a direct connection that failed.
func (m *Monitor) Failed(address string) {
	if m.Paths.Failed(address, m.Clock.SinceBoot()) {
		select {
		case m.wakeUp() <- struct{}{}:
		default:
		}
	}
}

// Run tests the paths when connections fail, and while they are lost, until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-m.wakeUp():
		}
		m.check(ctx, m.FailedSince())
		for m.Lost() {
			if err := m.Clock.Sleep(ctx, regainInterval-rand.N(regainInterval/4)); err != nil {
				return errors.WithStack(err)
			}
			m.testRegained(ctx)
		}
	}
}

// Check tests the paths of an instance that is about to serve, and reports whether it has
// any.
func (m *Monitor) Check(ctx context.Context) bool {
	if !m.Lost() {
		m.check(ctx, m.Clock.SinceBoot()-WitnessMemory)
	}
	return !m.Lost()
}

// check tests the paths. They are lost if none of some targets can be connected to, and
// another instance has reached one since the given time.
func (m *Monitor) check(ctx context.Context, since time.Duration) {
	if m.Lost() || m.connectAny(ctx) {
		return
	}
	began := m.Clock.SinceBoot()
	m.ask()
	defer m.asking.Store(false)
	for m.ConnectedAt() < began && m.Clock.SinceBoot()-began < failureMemory {
		if m.Reached(since) {
			m.change(true, "no connection to any target")
			return
		}
		if m.Clock.Sleep(ctx, witnessInterval) != nil {
			return
		}
	}
}

// ask begins to ask other instances whether they reach targets: those that serve may all
// have lost their paths, and standbys do not use theirs.
func (m *Monitor) ask() {
	m.asking.Store(true)
	if m.OnAsk != nil {
		m.OnAsk()
	}
}

// Asking reports whether other instances should be asked whether they reach targets.
func (m *Monitor) Asking() bool { return m.asking.Load() }

// Answer tests the paths because another instance asks, unless a connection is known from
// lately, and calls reached if there are any. It does not wait.
func (m *Monitor) Answer(ctx context.Context, reached func()) {
	if at := m.ConnectedAt(); at > 0 && m.Clock.SinceBoot()-at < answerMemory {
		reached()
		return
	}
	if m.testing.Swap(true) {
		return
	}
	go func() {
		defer m.testing.Store(false)
		if m.connectAny(ctx) && m.ConnectedAt() > 0 {
			reached()
		}
	}()
}

// connectAny reports whether one of some targets can be connected to, or there is none.
func (m *Monitor) connectAny(ctx context.Context) bool {
	sample := m.sample(lostTestConnections, m.suspected())
	return len(sample) == 0 || m.connect(ctx, sample) > 0
}

// sample returns up to n random targets; those in last are taken only if there are too few
// others.
func (m *Monitor) sample(n int, last map[string]bool) []string {
	var first, others []string
	for _, address := range m.Targets() {
		if last[address] {
			others = append(others, address)
		} else {
			first = append(first, address)
		}
	}
	shuffle := func(a []string) { rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] }) }
	shuffle(first)
	shuffle(others)
	all := append(first, others...)
	return all[:min(n, len(all))]
}

// connect connects to targets at the same time and returns how many could be reached.
func (m *Monitor) connect(ctx context.Context, addresses []string) int {
	var group sync.WaitGroup
	reached := make(chan string, len(addresses))
	for _, address := range addresses {
		group.Go(func() {
			if m.Connect(ctx, address) == nil {
				reached <- address
			}
		})
	}
	group.Wait()
	close(reached)
	count := 0
	for address := range reached {
		m.Connected(address, m.Clock.SinceBoot())
		count++
	}
	return count
}

// testRegained ends the loss of the paths if the instance connects to targets again, or if
// no other instance does.
func (m *Monitor) testRegained(ctx context.Context) {
	m.asking.Store(false)
	sample := m.sample(regainedTestConnections, nil)
	switch now := m.Clock.SinceBoot(); {
	case m.connect(ctx, sample) == len(sample):
		m.change(false, "connected to targets again")
	case m.Reached(now - WitnessMemory/2):
	case m.Reached(now - WitnessMemory):
		m.ask()
	default:
		m.change(false, "no other instance reaches targets")
	}
}

// change records and logs that the paths are lost or regained.
func (m *Monitor) change(lost bool, reason string) {
	if !m.setLost(lost) {
		return
	}
	change := event.PathsRegained
	if lost {
		change = event.PathsLost
	}
	change.Log(m.Log).Str("reason", reason).Dur("connected_ago", m.Clock.SinceBoot()-m.ConnectedAt()).Send()
	if m.OnChange != nil {
		m.OnChange()
	}
}
