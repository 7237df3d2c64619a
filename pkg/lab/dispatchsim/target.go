package dispatchsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	sigmaService = 0.4
	probeService = 25 * time.Millisecond
	// targetNetwork is one way between an instance and a target.
	targetNetwork = 500 * time.Microsecond
	// targetQueue is the number of waiting requests at which a target sheds.
	targetQueue = 4
)

// job is one request or probe at a target.
type job struct {
	probe             bool
	canceled, running bool
	queued            time.Duration
	answer            func(result proxy.Result, load proxy.Load)
}

// target runs at most slots jobs at once and queues a few others.
type target struct {
	world   *world
	random  *rand.Rand
	slots   int
	median  time.Duration
	running int
	queue   []*job
}

func (t *target) submit(j *job) {
	if !j.probe {
		t.world.count(func(r *Result) { r.Writes++ })
		if t.running >= t.slots && len(t.queue) >= targetQueue {
			t.world.count(func(r *Result) { r.Sheds++ })
			t.reply(j, proxy.Shed)
			return
		}
	}
	j.queued = t.world.engine.SinceBoot()
	t.queue = append(t.queue, j)
	t.start()
}

func (t *target) start() {
	w := t.world
	for t.running < t.slots && len(t.queue) > 0 {
		j := t.queue[0]
		t.queue = t.queue[1:]
		if j.canceled {
			continue
		}
		t.running++
		j.running = true
		if !j.probe {
			w.count(func(r *Result) { r.Waits = append(r.Waits, w.engine.SinceBoot()-j.queued) })
		}
		w.engine.After(t.serviceTime(j), func() {
			if j.running {
				j.running = false
				t.running--
				t.reply(j, proxy.Answered)
				t.start()
			}
		})
	}
}

func (t *target) cancel(j *job) {
	j.canceled = true
	if j.running {
		j.running = false
		t.running--
		t.start()
	}
}

func (t *target) reply(j *job, result proxy.Result) {
	load := proxy.Load{Known: true, InFlight: t.running, Queued: len(t.queue)}
	t.world.engine.After(targetNetwork, func() {
		if !j.canceled {
			j.answer(result, load)
		}
	})
}

func (t *target) serviceTime(j *job) time.Duration {
	if j.probe {
		return probeService
	}
	return time.Duration(float64(t.median) * math.Exp(sigmaService*t.random.NormFloat64()))
}

// mean is the mean service time.
func mean(median time.Duration) float64 {
	return median.Seconds() * math.Exp(sigmaService*sigmaService/2)
}

func (t *target) probe(done func(health.ProbeStatus)) {
	j := &job{probe: true}
	finished := false
	finish := func(status health.ProbeStatus) {
		if !finished {
			finished = true
			done(status)
		}
	}
	j.answer = func(proxy.Result, proxy.Load) { finish(health.ProbeOK) }
	t.world.engine.After(targetNetwork, func() { t.submit(j) })
	t.world.engine.After(health.ProbeTimeout, func() {
		t.cancel(j)
		finish(health.ProbeFailed)
	})
}
