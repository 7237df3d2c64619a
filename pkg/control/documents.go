package control

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/fence"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/cockroachdb/errors"
)

// documents are a head row with the configuration and memberships that it
// names. They are immutable.
type documents struct {
	row        head.Row
	config     *config.Snapshot
	configJSON []byte
	membership *membership.Membership
	// previous is the membership on top of which the row's change was written.
	// It has the same version as membership when only the configuration changed.
	previous *membership.Membership
}

func emptyDocuments() documents {
	empty := config.Empty()
	configJSON, err := empty.Encode()
	if err != nil {
		// The empty configuration holds no value that JSON cannot express.
		panic(err)
	}
	return documents{
		row: head.Row{Delivered: true}, config: config.NewSnapshot(0, empty), configJSON: configJSON,
		membership: &membership.Membership{}, previous: &membership.Membership{},
	}
}

func versionsOf(row head.Row) fence.Versions {
	return fence.Versions{Config: row.ConfigVersion, Membership: row.MembershipVersion}
}

// loadDocuments reads from the object store the documents of the row that base
// does not have.
func loadDocuments(ctx context.Context, store *head.Store, base documents, row head.Row) (documents, error) {
	d := documents{row: row, config: base.config, configJSON: base.configJSON}
	if row.ConfigObject != base.row.ConfigObject {
		stored, err := store.Config(ctx, row)
		if err != nil {
			return d, err
		}
		if err := d.setConfig(stored.Config); err != nil {
			return d, err
		}
	}
	var err error
	if d.membership, err = loadMembership(ctx, store, base, row.MembershipObject); err != nil {
		return d, err
	}
	if d.membership.Version != row.MembershipVersion {
		return d, errors.WithStack(&head.VersionMismatchError{Want: row.MembershipVersion, Got: d.membership.Version})
	}
	d.previous, err = loadMembership(ctx, store, base, row.PreviousMembershipObject)
	return d, err
}

func loadMembership(ctx context.Context, store *head.Store, base documents, name string) (*membership.Membership, error) {
	switch name {
	case base.row.MembershipObject:
		return base.membership, nil
	case base.row.PreviousMembershipObject:
		return base.previous, nil
	default:
		return store.Membership(ctx, name)
	}
}

// setConfig parses and sets the configuration of the version in d.row.
func (d *documents) setConfig(configJSON []byte) error {
	parsed, err := config.Parse(configJSON)
	if err != nil {
		return err
	}
	d.configJSON, d.config = configJSON, config.NewSnapshot(d.row.ConfigVersion, parsed)
	return nil
}

// encodeReply encodes the head row and the documents that the requester lacks.
func (d documents) encodeReply(have *peerpb.Versions) (*peerpb.FetchReply, error) {
	reply := &peerpb.FetchReply{Versions: versionsMessage(d.row)}
	var err error
	if reply.Head, err = encode("head", d.row); err != nil {
		return nil, err
	}
	if !holds(have.GetConfig(), have.GetConfigDigest(), d.row.ConfigVersion, d.row.ConfigObject) {
		reply.Config = d.configJSON
	}
	if !holds(have.GetMembership(), have.GetMembershipDigest(), d.membership.Version, d.row.MembershipObject) {
		if reply.Membership, err = encode("membership", d.membership); err != nil {
			return nil, err
		}
	}
	if !holds(have.GetMembership(), have.GetMembershipDigest(), d.previous.Version, d.row.PreviousMembershipObject) {
		reply.PreviousMembership, err = encode("previous membership", d.previous)
	}
	return reply, err
}

// decodeReply completes a reply with the documents of base, whose versions the
// request named.
func decodeReply(base documents, reply *peerpb.FetchReply) (documents, error) {
	d := documents{config: base.config, configJSON: base.configJSON, membership: base.membership, previous: base.membership}
	if err := decode("head", reply.Head, &d.row); err != nil {
		return d, err
	}
	if len(reply.Config) > 0 {
		if err := d.setConfig(reply.Config); err != nil {
			return d, err
		}
	}
	if d.config.Version != d.row.ConfigVersion {
		return d, errors.WithStack(&IncompleteDocumentsError{Document: "configuration"})
	}
	if len(reply.Membership) > 0 {
		d.membership = &membership.Membership{}
		if err := decode("membership", reply.Membership, d.membership); err != nil {
			return d, err
		}
	}
	if d.membership.Version != d.row.MembershipVersion {
		return d, errors.WithStack(&IncompleteDocumentsError{Document: "membership"})
	}
	if len(reply.PreviousMembership) > 0 {
		d.previous = &membership.Membership{}
		return d, decode("previous membership", reply.PreviousMembership, d.previous)
	}
	return d, nil
}

func encode(name string, value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.WithStack(&MalformedError{Document: name, Cause: err})
	}
	return data, nil
}

func decode(name string, data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return errors.WithStack(&MalformedError{Document: name, Cause: err})
	}
	return nil
}

func versionsMessage(row head.Row) *peerpb.Versions {
	return &peerpb.Versions{
		Revision: row.Revision, Config: row.ConfigVersion,
		Membership: row.MembershipVersion, Delivered: row.Delivered,
		ConfigDigest: xxhash.Sum64String(row.ConfigObject), MembershipDigest: xxhash.Sum64String(row.MembershipObject),
	}
}

// holds reports whether the sender of a version number and of the digest of its document,
// which is 0 if it does not tell, has this document.
func holds(version int64, digest uint64, want int64, object string) bool {
	return version == want && (digest == 0 || digest == xxhash.Sum64String(object))
}

// diverges reports whether the sender has another document under the number of one of the
// row's.
func diverges(v *peerpb.Versions, row head.Row) bool {
	return (v.GetConfig() == row.ConfigVersion && !holds(v.GetConfig(), v.GetConfigDigest(), row.ConfigVersion, row.ConfigObject)) ||
		(v.GetMembership() == row.MembershipVersion && !holds(v.GetMembership(), v.GetMembershipDigest(), row.MembershipVersion, row.MembershipObject))
}
