package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/directory"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/limit"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// measureDirectory measures the directory's answers, which tell callers the
// addresses of instances.
func measureDirectory(_ context.Context, _ *Options) ([]*Table, error) {
	t := &Table{Title: "directory answers", Columns: []string{"instances", "us per answer", "answers per core second", "answer bytes"}}
	document := config.Empty()
	const teams = 1000
	for n := range teams {
		document.Teams[teamID(n)] = config.Team{RatePerSecond: 10, Burst: 20}
	}
	for _, instances := range []int{8, currentInstances, 200, expectedInstances} {
		m := members(instances)
		params := limit.DefaultParams(2 * time.Second)
		params.MaxIssuers = 8
		options := directory.Options{Params: params}
		view := viewOf(m, m.Members[0], document).View()
		n, size := 0, 0
		each, err := cpuPerCall(teams, func() error {
			n++
			data, err := options.Answer(view, teamID(n%teams), "10.0.0.1", directory.State{MayServe: true}).JSON()
			size = len(data)
			return err
		})
		if err != nil {
			return nil, err
		}
		t.add(float64(instances), microseconds(each), float64(time.Second)/float64(each), float64(size))
	}
	t.fit()
	return []*Table{t}, nil
}

// measureMembership measures the membership document and what every instance
// computes from a new version: the next membership, evaluators and issuers.
func measureMembership(_ context.Context, _ *Options) ([]*Table, error) {
	t := &Table{Title: "one change of the membership", Columns: []string{
		"instances", "bytes", "gzip bytes", "encode us", "decode us", "derive us", "evaluators of 230 services ms", "issuers of one team us",
	}}
	for _, instances := range []int{8, currentInstances, 200, expectedInstances} {
		row, err := measureMembershipRow(instances)
		if err != nil {
			return nil, err
		}
		t.add(row...)
	}
	t.fit()
	return []*Table{t}, nil
}

// measureMembershipRow returns the measurements for one fleet size.
func measureMembershipRow(instances int) ([]float64, error) {
	m := members(instances)
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, errors.WithStack(&EncodeError{Cause: err})
	}
	compressed, err := compress(raw)
	if err != nil {
		return nil, err
	}
	params := limit.DefaultParams(2 * time.Second)
	params.MaxIssuers = 8
	n := 0
	steps := []func() error{
		func() error { _, err := json.Marshal(m); return err },
		func() error { return json.Unmarshal(raw, &membership.Membership{}) },
		func() error {
			m.NextVersion([]membership.Member{member(instances)}, []string{m.Members[0].Incarnation}, maxWitnesses)
			return nil
		},
		func() error {
			for s := range ExpectedSize.Services {
				health.EvaluatorsOf(m, serviceID(s))
			}
			return nil
		},
		func() error {
			n++
			params.Issuers(m, fmt.Sprint("team-", n), config.Team{RatePerSecond: 10, Burst: 20})
			return nil
		},
	}
	row := []float64{float64(instances), float64(len(raw)), float64(compressed)}
	const calls, evaluatorStep = 20, 3
	for i, step := range steps {
		each, err := cpuPerCall(calls, step)
		if err != nil {
			return nil, err
		}
		if i == evaluatorStep {
			row = append(row, milliseconds(each))
			continue
		}
		row = append(row, microseconds(each))
	}
	return row, nil
}
