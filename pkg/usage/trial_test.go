package usage

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	type mode struct {
		name  string
		hot   float64
		moves time.Duration
		clump float64
	}
	modes := []mode{{"even", 0, 0, 1}, {"hot80", .8, 0, 1}, {"moving", .8, 3 * time.Second, 1}, {"even clump4", 0, 0, 4}, {"hot clump4", .8, 0, 4}, {"moving clump4", .8, 3 * time.Second, 4}}
	var mu sync.Mutex
	loss := .02
	ns := []int{10, 20}
	if os.Getenv("LOSS") != "" {
		loss = .2
		ns = []int{4, 40}
	}
	for _, rate := range []float64{3, 12, 45, 76, 300} {
		for _, n := range ns {
			for _, m := range modes {
				for _, f := range []float64{1, 5} {
					if testing.Short() && f != 5 {
						continue
					}
					t.Run("x", func(t *testing.T) {
						var sum outcome
						for seed := range uint64(2) {
							l := load{rate: rate, burst: rate, instances: n, zones: 4, utilization: .62, swing: .55, clump: m.clump, hot: m.hot, moves: m.moves, firstStart: true, duration: 60 * time.Second, loss: loss, seed: seed, warmUp: 2 * time.Second}
							if f > 1 {
								l.factor, l.factorAt, l.factorFor = f*1.6, 20*time.Second, 6*time.Second
							}
							o := simulate(l)
							sum.requests += o.requests
							sum.admitted += o.admitted
							sum.central += o.central
							sum.wrong += o.wrong
							sum.most, sum.allowed = max(sum.most, o.most), o.allowed
						}
						mu.Lock()
						flag := ""
						if sum.most > sum.allowed {
							flag = " OVER"
						}
						fmt.Printf("rate %3.0f n %2d f %1.0f %-14s wrong %6.3f%% lacking %6.3f%% most %d/%d%s\n", rate, n, f, m.name, sum.wrongPercent(), 100*float64(sum.central-sum.admitted)/float64(sum.central), sum.most, sum.allowed, flag)
						mu.Unlock()
					})
				}
			}
		}
	}
}
