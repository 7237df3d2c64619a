package usage

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// load describes the demand of one team and what happens to the fleet meanwhile.
type load struct {
	rate, burst float64
	instances   int
	zones       int
	// utilization is the mean demand as a fraction of the rate; it swings by swing of itself.
	utilization, swing float64
	// clump is the mean number of requests that arrive at one instance at once.
	clump float64
	// hot is the part of the demand that one instance has; 0 is even demand. It moves to
	// another instance after moves, if that is set.
	hot   float64
	moves time.Duration
	// factor multiplies the demand from factorAt for factorFor.
	factor              float64
	factorAt, factorFor time.Duration
	// loss is the fraction of the heartbeats that are lost.
	loss float64
	// serves reports whether an instance serves and running whether its process runs, at a
	// time since the start; side gives its side of a partition.
	serves, running func(i int, at time.Duration) bool
	side            func(i int, at time.Duration) int
	// old reports which instances send the messages of the last release.
	old func(i int) bool
	// firstStart says that the fleet starts for the first time.
	firstStart bool
	duration   time.Duration
	// warmUp is the time at the start whose requests are not counted as refused wrongly.
	warmUp time.Duration
	seed   uint64
}

// outcome is what became of the requests of a load.
type outcome struct {
	requests, admitted, refused int
	// central is the number that one token bucket of the same rate and burst admits,
	// wrong the number of refused requests among them.
	central, wrong int
	// most is the largest number admitted in limitWindow, allowed the bound.
	most, allowed int
}

func (o outcome) wrongPercent() float64 { return 100 * float64(o.wrong) / float64(max(1, o.central)) }

func (o outcome) String() string {
	return fmt.Sprintf("%d requests, %d admitted, %d by one bucket, %d of them refused (%.3f%%), at most %d in %s, %d allowed",
		o.requests, o.admitted, o.central, o.wrong, o.wrongPercent(), o.most, limitWindow, o.allowed)
}

// simulated is one instance of a simulated fleet.
type simulated struct {
	limiter     *Limiter
	incarnation uint64
	// next are the times of the next heartbeats to the own zone and to others.
	next [2]time.Duration
}

// message is a heartbeat under way.
type message struct {
	at       time.Duration
	from, to int
	h        *peerpb.Heartbeat
}

type messages []message

func (m messages) Len() int           { return len(m) }
func (m messages) Less(i, j int) bool { return m[i].at < m[j].at }
func (m messages) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *messages) Push(x any)        { *m = append(*m, x.(message)) }
func (m *messages) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// simulation runs a load against a fleet in virtual time.
type simulation struct {
	load
	clock     *clock.Manual
	view      *control.View
	random    *rand.Rand
	instances []*simulated
	underWay  messages
	now       time.Duration
	hotAt     int
	level     float64 // of the one bucket
	admitted  []time.Duration
	outcome   outcome
}

func (s *simulation) View() *control.View { return s.view }

const (
	simulationStep    = 5 * time.Millisecond
	zoneInterval      = 250 * time.Millisecond
	otherZoneInterval = 500 * time.Millisecond
)

// simulate runs a load.
func simulate(l load) outcome {
	s := &simulation{load: l, clock: clock.NewManual(time.Unix(0, 0)), random: rand.New(rand.NewPCG(l.seed, 3)), level: l.burst}
	s.clock.Advance(time.Hour)
	doc := config.Empty()
	doc.Teams["red"] = config.Team{RatePerSecond: l.rate, Burst: int(l.burst)}
	s.view = &control.View{Config: config.NewSnapshot(1, doc)}
	s.zones, s.clump = max(1, l.zones), max(1, l.clump)
	for range l.instances {
		s.instances = append(s.instances, &simulated{})
	}
	phase := s.random.Float64() * 2 * math.Pi
	period := 11 + 4*s.random.Float64()
	for ; s.now < l.duration; s.now += simulationStep {
		s.clock.Advance(simulationStep)
		s.exchange()
		demand := l.rate * l.utilization * (1 + l.swing*math.Sin(phase+2*math.Pi*s.now.Seconds()/period))
		if s.now >= l.factorAt && s.now < l.factorAt+l.factorFor {
			demand *= l.factor
		}
		s.level = min(l.burst, s.level+l.rate*simulationStep.Seconds())
		s.arrive(demand)
	}
	s.outcome.most = maxIn(s.admitted)
	s.outcome.allowed = int((l.rate*limitWindow.Seconds()+l.burst)*allowedExcessFactor + allowedExcessRequests + 1e-9)
	return s.outcome
}

// maxIn returns the largest number of admissions in a limitWindow.
func maxIn(admitted []time.Duration) int { return (&cluster{admitted: admitted}).maxAdmitted() }

func (s *simulation) serving(i int) bool {
	return s.up(i) && (s.serves == nil || s.serves(i, s.now))
}

func (s *simulation) up(i int) bool { return s.running == nil || s.running(i, s.now) }

// count returns the number of serving instances that an instance hears of.
func (s *simulation) count(of int) int {
	n := 0
	for i := range s.instances {
		if s.serving(i) && s.connected(i, of) {
			n++
		}
	}
	return n
}

func (s *simulation) connected(a, b int) bool {
	return s.side == nil || s.side(a, s.now) == s.side(b, s.now)
}

// exchange starts and stops processes, and sends and delivers heartbeats.
func (s *simulation) exchange() {
	for i, x := range s.instances {
		switch {
		case !s.up(i):
			x.limiter = nil
			continue
		case x.limiter == nil:
			x.incarnation++
			x.limiter = New(s.clock, s, func() int { return s.count(i) }, s.firstStart && x.incarnation == 1)
			for k := range x.next {
				x.next[k] = s.now + time.Duration(s.random.Float64()*float64(zoneInterval))*time.Duration(k+1)
			}
		}
		s.send(i, x)
	}
	for len(s.underWay) > 0 && s.underWay[0].at <= s.now {
		m := heap.Pop(&s.underWay).(message)
		if to := s.instances[m.to].limiter; to != nil && s.connected(m.from, m.to) {
			to.Merge(fmt.Sprint(m.from), m.h)
		}
	}
}

// send sends the heartbeats of an instance that are due. Standbys get no counts, and
// send none.
func (s *simulation) send(i int, x *simulated) {
	for other, interval := range []time.Duration{zoneInterval, otherZoneInterval} {
		if s.now < x.next[other] {
			continue
		}
		x.next[other] = s.now + interval - time.Duration(s.random.Float64()*float64(interval)/16)
		audiences := [2]*peerpb.Heartbeat{}
		for k, audience := range []fleet.Audience{fleet.SameZonePeers + fleet.Audience(other), fleet.Standbys} {
			audiences[k] = &peerpb.Heartbeat{Incarnation: x.incarnation, Serving: s.serving(i)}
			if s.serving(i) {
				x.limiter.Fill(audiences[k], audience)
			}
			if s.old != nil && s.old(i) {
				for _, use := range audiences[k].Teams {
					toOld(use)
				}
			}
		}
		for to := range s.instances {
			if to == i || (to%s.zones != i%s.zones) != (other == 1) || s.random.Float64() < s.loss {
				continue
			}
			h := audiences[0]
			if !s.serving(to) {
				h = audiences[1]
			}
			heap.Push(&s.underWay, message{s.now + time.Duration(s.random.IntN(3))*time.Millisecond, i, to, proto.Clone(h).(*peerpb.Heartbeat)})
		}
	}
}

// arrive sends the requests of one step to the instances.
func (s *simulation) arrive(demand float64) {
	var serving []int
	for i := range s.instances {
		if s.serving(i) {
			serving = append(serving, i)
		}
	}
	if len(serving) == 0 {
		return
	}
	if s.moves > 0 && s.now%s.moves == 0 {
		s.hotAt = s.random.IntN(len(s.instances))
	}
	for n := demand / s.clump * simulationStep.Seconds(); n > 0; n-- {
		if s.random.Float64() >= n {
			break
		}
		to := serving[s.random.IntN(len(serving))]
		if s.random.Float64() < s.hot && slices.Contains(serving, s.hotAt) {
			to = s.hotAt
		}
		size := 1
		for s.random.Float64() < 1-1/s.clump {
			size++
		}
		for range size {
			s.request(to)
		}
	}
}

func (s *simulation) request(to int) {
	inside := s.level >= 1
	if inside {
		s.level--
	}
	admitted := s.instances[to].limiter.Take(context.Background(), "red") == nil
	if admitted {
		s.admitted = append(s.admitted, s.now)
	}
	if s.now < s.warmUp {
		return
	}
	s.outcome.requests++
	switch {
	case admitted:
		s.outcome.admitted++
	default:
		s.outcome.refused++
	}
	if inside {
		s.outcome.central++
		if !admitted {
			s.outcome.wrong++
		}
	}
}
