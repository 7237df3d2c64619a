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
	// The service times of requests have a log-normal distribution with the mean
	// meanServiceTime; serviceTimeSigma is the standard deviation of the logarithm.
	meanServiceTime  = 40 * time.Millisecond
	serviceTimeSigma = 0.8
	probeServiceTime = 25 * time.Millisecond
	// errorServiceTime is the time after which a target replies with an error.
	errorServiceTime = 5 * time.Millisecond
	// networkDelay is the one-way delay between an instance and a target. That
	// between two instances is three times as long.
	networkDelay = 500 * time.Microsecond
	// shedQueuePerSlot is the number of queued requests per slot from which a
	// target sheds requests.
	shedQueuePerSlot = 8
	// The first request at a cold target takes coldFactor times as long. The factor
	// falls linearly to 1 over coldRequests requests.
	coldFactor   = 5.0
	coldRequests = 100
)

// fault is the present fault of a target; the zero value is none.
type fault struct {
	// stall leaves all requests without an answer.
	stall bool
	// errorFraction is the fraction of the requests that fail with an error.
	errorFraction float64
	// slowFactor multiplies the service times; values below 1 mean 1.
	slowFactor float64
}

// job is one request or probe at a target.
type job struct {
	probe    bool
	canceled bool
	// running is set while the job occupies a slot.
	running bool
	onReply func(result proxy.Result, load proxy.Load)
}

// simTarget runs at most slots jobs at once and queues the others.
type simTarget struct {
	engine *eventsim.Engine
	random *rand.Rand
	name   string
	slots  int
	// faulty is set during the whole run if the scenario gives a fault to this
	// target but not to all targets, so that its ejection is right. A cold start
	// is no such fault.
	faulty bool
	fault  fault
	// running is the number of slots that are occupied.
	running int
	queue   []*job
	// coldRequestsLeft is the number of requests until the target is warm.
	coldRequestsLeft int
	// coldUntil is the time until which probes of the health path are answered with
	// "cold".
	coldUntil time.Duration
}

func (t *simTarget) load() proxy.Load {
	return proxy.Load{Known: true, InFlight: t.running, Queued: len(t.queue)}
}

// submit handles a job that arrives at the target. Faults and the limit of the
// queue do not affect probes.
func (t *simTarget) submit(j *job) {
	if !j.probe {
		switch {
		case t.fault.stall:
			return
		case t.random.Float64() < t.fault.errorFraction:
			t.engine.After(errorServiceTime, func() { t.reply(j, proxy.ServerError) })
			return
		case len(t.queue) >= shedQueuePerSlot*t.slots:
			t.reply(j, proxy.Shed)
			return
		}
	}
	t.queue = append(t.queue, j)
	t.startQueued()
}

// startQueued runs queued jobs while slots are free.
func (t *simTarget) startQueued() {
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
	// A stall also leaves requests without an answer that ran when it began.
	if j.probe || !t.fault.stall {
		t.reply(j, proxy.Answered)
	}
	t.startQueued()
}

// cancel drops a job that its sender no longer waits for, and frees its slot.
func (t *simTarget) cancel(j *job) {
	j.canceled = true
	if j.running {
		j.running = false
		t.running--
		t.startQueued()
	}
}

// reply sends the result and the present load to the sender of the job.
func (t *simTarget) reply(j *job, result proxy.Result) {
	load := t.load()
	t.engine.After(networkDelay, func() {
		if !j.canceled {
			j.onReply(result, load)
		}
	})
}

func (t *simTarget) serviceTime(j *job) time.Duration {
	if j.probe {
		return probeServiceTime
	}
	// The last term makes the mean of the distribution equal meanServiceTime.
	seconds := meanServiceTime.Seconds() * math.Exp(serviceTimeSigma*t.random.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
	seconds *= max(t.fault.slowFactor, 1)
	if t.coldRequestsLeft > 0 {
		seconds *= 1 + (coldFactor-1)*float64(t.coldRequestsLeft)/coldRequests
		t.coldRequestsLeft--
	}
	return time.Duration(seconds * float64(time.Second))
}

// restartCold makes the target cold, as after a restart. Its jobs continue.
func (t *simTarget) restartCold() {
	t.coldRequestsLeft, t.coldUntil = coldRequests, t.engine.SinceBoot()+5*time.Second
}

// probe sends one probe to the target; done receives its result.
func (t *simTarget) probe(done func(health.ProbeStatus)) {
	j := &job{probe: true}
	finished := false
	finish := func(status health.ProbeStatus) {
		if !finished {
			finished = true
			done(status)
		}
	}
	j.onReply = func(proxy.Result, proxy.Load) {
		if t.engine.SinceBoot() < t.coldUntil {
			finish(health.ProbeCold)
			return
		}
		finish(health.ProbeOK)
	}
	t.engine.After(networkDelay, func() { t.submit(j) })
	t.engine.After(health.ProbeTimeout, func() {
		t.cancel(j)
		finish(health.ProbeFailed)
	})
}
