package healthsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/eventsim"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	meanService  = 40 * time.Millisecond
	sigmaService = 0.8
	probeService = 25 * time.Millisecond
	errorService = 5 * time.Millisecond
	network      = 500 * time.Microsecond
	// shedQueue per slot is the number of waiting requests at which a target sheds.
	shedQueue = 8
	// A cold target is slower by coldFactor at first and warm after coldRequests.
	coldFactor   = 5.0
	coldRequests = 100
)

// fault is the behaviour of a target at one time.
type fault struct {
	stall      bool
	errorShare float64
	slow       float64
}

// job is one request or probe at a target.
type job struct {
	probe    bool
	canceled bool
	running  bool
	answer   func(result proxy.Result, load proxy.Load)
}

// simTarget runs at most slots jobs at once and queues the others.
type simTarget struct {
	engine  *eventsim.Engine
	random  *rand.Rand
	name    string
	slots   int
	faulty  bool
	fault   fault
	running int
	queue   []*job
	// coldLeft is the number of requests until the target is warm.
	coldLeft int
	// coldUntil is the time until which the health path says "cold".
	coldUntil time.Duration
}

func (t *simTarget) load() proxy.Load {
	return proxy.Load{Known: true, InFlight: t.running, Queued: len(t.queue)}
}

func (t *simTarget) submit(j *job) {
	if !j.probe {
		switch {
		case t.fault.stall:
			return
		case t.random.Float64() < t.fault.errorShare:
			t.engine.After(errorService, func() { t.reply(j, proxy.ServerError) })
			return
		case len(t.queue) >= shedQueue*t.slots:
			t.reply(j, proxy.Shed)
			return
		}
	}
	t.queue = append(t.queue, j)
	t.start()
}

func (t *simTarget) start() {
	for t.running < t.slots && len(t.queue) > 0 {
		j := t.queue[0]
		t.queue = t.queue[1:]
		if j.canceled {
			continue
		}
		t.running++
		j.running = true
		t.engine.After(t.serviceTime(j), func() { t.finish(j) })
	}
}

func (t *simTarget) finish(j *job) {
	if !j.running {
		return
	}
	j.running = false
	t.running--
	// A request that was running when the stall began gets no answer either.
	if j.probe || !t.fault.stall {
		t.reply(j, proxy.Answered)
	}
	t.start()
}

func (t *simTarget) cancel(j *job) {
	j.canceled = true
	if j.running {
		j.running = false
		t.running--
		t.start()
	}
}

func (t *simTarget) reply(j *job, result proxy.Result) {
	load := t.load()
	t.engine.After(network, func() {
		if !j.canceled {
			j.answer(result, load)
		}
	})
}

func (t *simTarget) serviceTime(j *job) time.Duration {
	if j.probe {
		return probeService
	}
	// The logarithm's mean is chosen so that the mean service time is meanService.
	seconds := meanService.Seconds() * math.Exp(sigmaService*t.random.NormFloat64()-sigmaService*sigmaService/2)
	seconds *= max(t.fault.slow, 1)
	if t.coldLeft > 0 {
		seconds *= 1 + (coldFactor-1)*float64(t.coldLeft)/coldRequests
		t.coldLeft--
	}
	return time.Duration(seconds * float64(time.Second))
}

func (t *simTarget) restartCold() {
	t.coldLeft, t.coldUntil = coldRequests, t.engine.SinceBoot()+5*time.Second
}

func (t *simTarget) probe(done func(health.ProbeStatus)) {
	j := &job{probe: true}
	finished := false
	finish := func(status health.ProbeStatus) {
		if !finished {
			finished = true
			done(status)
		}
	}
	j.answer = func(proxy.Result, proxy.Load) {
		if t.engine.SinceBoot() < t.coldUntil {
			finish(health.ProbeCold)
			return
		}
		finish(health.ProbeOK)
	}
	t.engine.After(network, func() { t.submit(j) })
	t.engine.After(health.ProbeTimeout, func() {
		t.cancel(j)
		finish(health.ProbeFailed)
	})
}
