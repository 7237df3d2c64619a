package dispatchsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// serviceTimeSigma is the standard deviation of the logarithm of the service
	// time, which has a log-normal distribution.
	serviceTimeSigma = 0.4
	probeServiceTime = 25 * time.Millisecond
	// targetNetworkDelay is the one-way delay between an instance and a target.
	targetNetworkDelay = 500 * time.Microsecond
	// targetQueueLimit is the number of queued requests from which a target sheds
	// requests.
	targetQueueLimit = 4
)

// job is one request or probe at a target.
type job struct {
	probe bool
	// running is set while the job occupies a slot.
	canceled, running bool
	queuedAt          time.Duration
	onReply           func(result proxy.Result, load proxy.Load)
}

// target is a simulated target. It runs at most slots jobs at once, queues up to
// targetQueueLimit requests and sheds the others. Probes are never shed.
type target struct {
	simulation        *simulation
	random            *rand.Rand
	slots             int
	medianServiceTime time.Duration
	running           int
	queue             []*job
}

// submit handles a job that arrives at the target.
func (t *target) submit(j *job) {
	if !j.probe {
		t.simulation.count(func(r *Result) { r.Writes++ })
		if t.running >= t.slots && len(t.queue) >= targetQueueLimit {
			t.simulation.count(func(r *Result) { r.Sheds++ })
			t.reply(j, proxy.Shed)
			return
		}
	}
	j.queuedAt = t.simulation.engine.SinceBoot()
	t.queue = append(t.queue, j)
	t.startQueued()
}

// startQueued runs queued jobs while slots are free.
func (t *target) startQueued() {
	sim := t.simulation
	for t.running < t.slots && len(t.queue) > 0 {
		j := t.queue[0]
		t.queue = t.queue[1:]
		if j.canceled {
			continue
		}
		t.running++
		j.running = true
		if !j.probe {
			sim.count(func(r *Result) { r.QueueWaits = append(r.QueueWaits, sim.engine.SinceBoot()-j.queuedAt) })
		}
		sim.engine.After(t.serviceTime(j), func() {
			if j.running {
				j.running = false
				t.running--
				t.reply(j, proxy.Answered)
				t.startQueued()
			}
		})
	}
}

// cancel drops a job that its sender no longer waits for, and frees its slot.
func (t *target) cancel(j *job) {
	j.canceled = true
	if j.running {
		j.running = false
		t.running--
		t.startQueued()
	}
}

// reply sends the result and the present load to the sender of the job.
func (t *target) reply(j *job, result proxy.Result) {
	load := proxy.Load{Known: true, InFlight: t.running, Queued: len(t.queue)}
	t.simulation.engine.After(targetNetworkDelay, func() {
		if !j.canceled {
			j.onReply(result, load)
		}
	})
}

func (t *target) serviceTime(j *job) time.Duration {
	if j.probe {
		return probeServiceTime
	}
	return time.Duration(float64(t.medianServiceTime) * math.Exp(serviceTimeSigma*t.random.NormFloat64()))
}

// meanServiceTime returns the mean service time in seconds for a median.
func meanServiceTime(median time.Duration) float64 {
	return median.Seconds() * math.Exp(serviceTimeSigma*serviceTimeSigma/2)
}

// probe sends one probe to the target; done receives its result.
func (t *target) probe(done func(health.ProbeStatus)) {
	j := &job{probe: true}
	finished := false
	finish := func(status health.ProbeStatus) {
		if !finished {
			finished = true
			done(status)
		}
	}
	j.onReply = func(proxy.Result, proxy.Load) { finish(health.ProbeOK) }
	t.simulation.engine.After(targetNetworkDelay, func() { t.submit(j) })
	t.simulation.engine.After(health.ProbeTimeout, func() {
		t.cancel(j)
		finish(health.ProbeFailed)
	})
}
