package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/operator"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// coordinator implements operator.Coordinator with the control loop and the store
// of configurations.
type coordinator struct{ instance *Instance }

// proposeTimeout bounds an operator's change, including the wait for the delivery
// of the previous change and for the platform.
const proposeTimeout = 10 * time.Second

// Current returns the newest configuration that the platform holds, or the one
// that this instance has applied while the platform is unavailable.
func (c *coordinator) Current(ctx context.Context) (int64, *config.Config, error) {
	view := c.instance.control.View()
	row, err := c.instance.store.Read(ctx)
	if err != nil || row.ConfigVersion == view.Config.Version {
		return view.Config.Version, view.Config.Config, nil
	}
	doc, err := c.instance.store.Config(ctx, row)
	if err != nil {
		return 0, nil, toOperatorError(err)
	}
	if doc == nil {
		return 0, config.Empty(), nil
	}
	parsed, err := config.Parse(doc.Config)
	return doc.Version, parsed, err
}

// Propose applies a patch and writes the result as the next configuration version.
func (c *coordinator) Propose(ctx context.Context, p operator.Proposal) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	apply := func(base *config.Config) (*config.Config, error) {
		next, err := base.Apply(p.MediaType, p.Patch)
		if err != nil {
			return nil, err
		}
		return next, next.CheckEvacuations(base, c.instanceZones())
	}
	meta := head.Metadata{Author: p.Author, Time: c.instance.clock.Now().UTC(), MediaType: p.MediaType}
	version, err := c.instance.control.ProposeConfig(ctx, p.Expected, apply, meta)
	return version, toOperatorError(err)
}

// instanceZones returns the zones of the members and of this instance.
func (c *coordinator) instanceZones() []string {
	zones := []string{c.instance.settings.AvailabilityZone}
	for _, m := range c.instance.control.View().Membership.Members {
		zones = append(zones, m.Zone)
	}
	return zones
}

// toOperatorError converts errors of the control loop and the store to those of
// the operator API.
func toOperatorError(err error) error {
	var (
		stale       *head.StaleError
		undelivered *head.UndeliveredError
		unavailable *head.UnavailableError
		stopped     *control.StoppedError
		noAnswer    *control.NoAnswerError
	)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &stale):
		return &operator.StaleVersionError{Expected: stale.Expected, Current: stale.Current}
	case errors.As(err, &undelivered):
		return &operator.PendingError{}
	case errors.As(err, &unavailable):
		return &operator.UnavailableError{OutcomeUnknown: unavailable.OutcomeUnknown, Cause: err}
	case errors.As(err, &stopped):
		return &operator.UnavailableError{Cause: err}
	case errors.As(err, &noAnswer):
		return &operator.UnavailableError{OutcomeUnknown: true, Cause: err}
	default:
		return err
	}
}

// History lists the changes after version since, newest first, with their
// differences. It returns at most api.MaxHistoryEntries changes.
func (c *coordinator) History(ctx context.Context, since int64) ([]api.Change, error) {
	row, err := c.instance.store.Read(ctx)
	if err != nil {
		return nil, toOperatorError(err)
	}
	// A change is the difference of two documents, so one more document is read.
	count := min(row.ConfigVersion-since, api.MaxHistoryEntries)
	if count <= 0 {
		return []api.Change{}, nil
	}
	documents, err := c.instance.store.History(ctx, row, int(count)+1)
	if err != nil {
		return nil, toOperatorError(err)
	}
	changes := make([]api.Change, 0, count)
	for n := 0; n < len(documents) && n < int(count); n++ {
		change, err := describeChange(documents, n)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// describeChange returns the change that led to document n. The document that it
// is compared with follows it in the list; without one, the empty configuration is
// used.
func describeChange(documents []*head.ConfigDocument, n int) (api.Change, error) {
	doc := documents[n]
	change := api.Change{Version: doc.Version, Author: doc.Author, Time: doc.Time, MediaType: doc.MediaType}
	after, err := config.Parse(doc.Config)
	if err != nil {
		return change, err
	}
	before := config.Empty()
	if n+1 < len(documents) {
		if before, err = config.Parse(documents[n+1].Config); err != nil {
			return change, err
		}
	}
	differences, err := config.Diff(before, after)
	for _, d := range differences {
		change.Differences = append(change.Differences, d.String())
	}
	return change, err
}

// Status returns the configuration and membership that this instance has applied.
// The configuration counts as accepted, not in force, if the control loop does not
// answer within 1 s.
func (c *coordinator) Status() api.Status {
	loop := c.instance.control
	view := loop.View()
	s := api.Status{
		Instance: c.instance.settings.Instance, Incarnation: view.Self.Incarnation, Member: view.Member, Fresh: loop.MayServe(),
		ConfigVersion: view.Config.Version, ConfigState: api.Accepted,
		MembershipVersion: view.Membership.Version, Members: len(view.Membership.Members), Witnesses: len(view.Membership.Witnesses),
		EvacuatedZones: view.Config.Config.Evacuated(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if status, err := loop.Status(ctx, s.ConfigVersion); err == nil && status.State == control.InForce {
		s.ConfigState = api.InForce
	}
	return s
}

// Members lists the members of the applied membership.
func (c *coordinator) Members() api.MemberList {
	m := c.instance.control.View().Membership
	list := api.MemberList{Version: m.Version, Members: []api.Member{}}
	for _, member := range m.Members {
		list.Members = append(list.Members, api.Member{
			Incarnation: member.Incarnation, Instance: member.Instance, Zone: member.Zone, PeerAddress: member.PeerAddress,
			CallerAddress: member.CallerAddress, OperatorAddress: member.OperatorAddress, Witness: m.IsWitness(member.Incarnation),
		})
	}
	return list
}

// Replace removes members that an operator declares gone.
func (c *coordinator) Replace(ctx context.Context, gone []string) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := c.instance.control.ReplaceMembership(ctx, gone)
	var unknown *control.UnknownMemberError
	var alive *control.MemberAliveError
	if errors.As(err, &unknown) || errors.As(err, &alive) {
		return &operator.ReplaceError{Reason: err.Error()}
	}
	return toOperatorError(err)
}
