package experiment

import (
	"sort"
	"strconv"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
)

// report evaluates the records of the load and the evidence of the targets.
// Requests and latencies count those sent between the start of the measurement
// and ended; safety and team results include the warm-up.
func (r *Run) report(records []record, cost report.ControlCost, ended time.Time) (*report.Report, error) {
	e, err := r.collectEvidence()
	if err != nil {
		return nil, err
	}
	r.markEntitled(records)
	measured := records[:0:0]
	for _, rec := range records {
		if !rec.sent.Before(r.started) && rec.sent.Before(ended) {
			measured = append(measured, rec)
		}
	}
	rep := &report.Report{
		Experiment: r.Options.Name, Deployment: r.Options.Deployment.Name, Policy: r.Options.Policy, Seed: r.Options.Seed,
		Started: r.started.UTC(), Seconds: ended.Sub(r.started).Seconds(),
		Settings: map[string]string{
			"instances": strconv.Itoa(r.Options.Instances), "load": formatFloat(r.Options.Load),
			"rate_share": formatFloat(r.Options.RateShare), "issuers": strconv.Itoa(r.Options.Issuers),
		},
		Detection: r.monitor.detectionTimes(ended), Ejections: r.monitor.ejections(ended),
		Floor:  report.Floor{LowestSlots: r.monitor.lowestSlots, FloorSlots: r.monitor.floorSlots, Crossed: r.monitor.floorCrossings},
		Safety: r.countViolations(records, e), ControlCost: cost,
	}
	rep.Safety.RanAfterExpiry = r.countRanAfterExpiry(records, e)
	r.countRequests(rep, measured)
	rep.Teams = r.teams(records, ended)
	rep.Samples = r.samples(measured)
	return rep, nil
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// countRequests counts the records by result and summarizes their latencies.
func (r *Run) countRequests(rep *report.Report, records []record) {
	latency, addedLatency := report.NewHistogram(), report.NewHistogram()
	rep.Requests.Refused = map[string]int64{}
	for i := range records {
		rec := &records[i]
		rep.Requests.Offered++
		switch {
		case rec.whole:
			rep.Requests.Whole++
			_ = latency.RecordValue(max(1, rec.answer.Latency.Microseconds()))
			// A request beyond the rate and burst may wait for a token; that wait is
			// not latency that the fleet adds.
			if rec.entitled && rec.answer.Tries == 1 && rec.answer.TargetTime > 0 {
				_ = addedLatency.RecordValue(max(1, rec.addedLatency.Microseconds()))
			}
		case rec.refused():
			rep.Requests.Refused[string(rec.answer.Code)]++
		case rec.answer.Err != nil:
			rep.Requests.NoAnswer++
		case rec.answer.Status == 200:
			rep.Requests.Corrupt++
		default:
			rep.Requests.Refused["status "+strconv.Itoa(rec.answer.Status)]++
		}
	}
	rep.Latency = report.Summarize(latency)
	quantiles := report.Summarize(addedLatency)
	rep.AddedLatency = &quantiles
}

// teams computes how much of its entitlement each team received. It
// includes the warm-up, so that the entitlement's bucket is not still full when
// the measurement starts.
func (r *Run) teams(records []record, ended time.Time) []report.Team {
	sent := map[string][]time.Time{}
	byTeam := map[string]*report.Team{}
	for i := range records {
		rec := &records[i]
		t := byTeam[rec.team]
		if t == nil {
			t = &report.Team{Team: rec.team}
			byTeam[rec.team] = t
		}
		t.Offered++
		sent[rec.team] = append(sent[rec.team], rec.sent)
		if rec.whole {
			t.Whole++
		}
		if rec.refused() {
			t.FalseRefusals++
		}
	}
	teams := make([]report.Team, 0, len(byTeam))
	for name, t := range byTeam {
		t.Entitled = countEntitled(sent[name], r.Config.Teams[name])
		t.FalseRefusals = max(0, t.FalseRefusals-(t.Offered-t.Entitled))
		if t.Entitled > 0 {
			t.ServedFraction = min(1, float64(t.Whole)/float64(t.Entitled))
		}
		teams = append(teams, *t)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i].Team < teams[j].Team })
	return teams
}

// samples counts the records by the second of the run in which they were
// sent.
func (r *Run) samples(records []record) []report.Sample {
	seconds := r.Options.Seconds
	samples := make([]report.Sample, seconds)
	for i := range samples {
		samples[i] = report.Sample{Second: i, Ejected: r.monitor.maxEjectedBySecond[i]}
	}
	for i := range records {
		rec := &records[i]
		second := int(rec.sent.Sub(r.started).Seconds())
		if second >= seconds {
			continue
		}
		switch {
		case rec.whole:
			samples[second].Whole++
		case rec.refused():
			samples[second].Refused++
		default:
			samples[second].Failed++
		}
	}
	return samples
}

// countRanAfterExpiry counts requests that reached a target although the batch of
// their team had expired when they were sent.
func (r *Run) countRanAfterExpiry(records []record, e *evidence) int64 {
	var count int64
	for i := range records {
		rec := &records[i]
		batch := r.Config.Batches[r.Config.Teams[rec.team].Batch]
		if _, ran := e.received[rec.id]; ran && rec.sent.After(batch.Expires) {
			count++
		}
	}
	return count
}
