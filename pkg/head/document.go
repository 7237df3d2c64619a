package head

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/cockroachdb/errors"
)

// Metadata describes the origin of a configuration version.
type Metadata struct {
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// MediaType is the media type of the operator's patch.
	MediaType string `json:"media_type,omitempty"`
}

// ConfigDocument is the stored form of one configuration version.
type ConfigDocument struct {
	Version   int64  `json:"version"`
	Operation string `json:"operation"`
	Metadata
	PreviousVersion int64 `json:"previous_version"`
	// PreviousObject is empty when PreviousVersion is 0.
	PreviousObject string          `json:"previous_object,omitempty"`
	Config         json.RawMessage `json:"config"`
}

// Config loads the configuration document that the row names. It returns nil
// for version 0. Errors: *UnavailableError, *CorruptError.
func (s *Store) Config(ctx context.Context, row Row) (*ConfigDocument, error) {
	if row.ConfigObject == "" {
		return nil, nil
	}
	return s.loadConfig(ctx, row.ConfigObject, row.ConfigVersion)
}

func (s *Store) loadConfig(ctx context.Context, name string, version int64) (*ConfigDocument, error) {
	doc := &ConfigDocument{}
	if err := s.loadObject(ctx, name, doc); err != nil {
		return nil, err
	}
	return doc, checkVersion(name, version, doc.Version)
}

// Membership loads a membership document by its object name. It returns an
// empty membership of version 0 for an empty name. Errors: those of Config.
func (s *Store) Membership(ctx context.Context, name string) (*membership.Membership, error) {
	m := &membership.Membership{}
	if name == "" {
		return m, nil
	}
	return m, s.loadObject(ctx, name, m)
}

// History returns the documents of up to limit configuration versions, the
// newest first. They include the configurations. Errors: those of Config.
func (s *Store) History(ctx context.Context, row Row, limit int) ([]*ConfigDocument, error) {
	var history []*ConfigDocument
	name, version := row.ConfigObject, row.ConfigVersion
	for name != "" && len(history) < limit {
		doc, err := s.loadConfig(ctx, name, version)
		if err != nil {
			return nil, err
		}
		history = append(history, doc)
		name, version = doc.PreviousObject, doc.PreviousVersion
	}
	return history, nil
}

func (s *Store) loadObject(ctx context.Context, name string, into any) error {
	var data []byte
	err := s.retry(ctx, func() error {
		var err error
		data, err = s.objects.Get(ctx, name)
		return err
	})
	if err != nil {
		return errors.WithStack(&UnavailableError{Cause: err})
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.WithStack(&CorruptError{Name: name, Cause: err})
	}
	return nil
}

func checkVersion(name string, want, got int64) error {
	if want == got {
		return nil
	}
	return errors.WithStack(&CorruptError{Name: name, Cause: &VersionMismatchError{Want: want, Got: got}})
}

// item returns the row in the form in which the table stores it.
func (r Row) item() platform.Item {
	return platform.Item{
		"revision":                   strconv.FormatInt(r.Revision, 10),
		"config_version":             strconv.FormatInt(r.ConfigVersion, 10),
		"membership_version":         strconv.FormatInt(r.MembershipVersion, 10),
		"delivered":                  strconv.FormatBool(r.Delivered),
		"operation":                  r.Operation,
		"config_object":              r.ConfigObject,
		"membership_object":          r.MembershipObject,
		"previous_membership_object": r.PreviousMembershipObject,
		"reinstated":                 strconv.FormatBool(r.Reinstated),
	}
}

// parseRow reads a row from the form that item returns.
func parseRow(item platform.Item) (Row, error) {
	var err error
	integer := func(name string) int64 {
		n, parseErr := strconv.ParseInt(item[name], 10, 64)
		if parseErr != nil {
			err = errors.WithStack(&CorruptError{Name: "head row attribute " + name, Cause: parseErr})
		}
		return n
	}
	delivered, boolErr := strconv.ParseBool(item["delivered"])
	if boolErr != nil {
		err = errors.WithStack(&CorruptError{Name: "head row attribute delivered", Cause: boolErr})
	}
	row := Row{
		Revision:                 integer("revision"),
		ConfigVersion:            integer("config_version"),
		MembershipVersion:        integer("membership_version"),
		Delivered:                delivered,
		Operation:                item["operation"],
		ConfigObject:             item["config_object"],
		MembershipObject:         item["membership_object"],
		PreviousMembershipObject: item["previous_membership_object"],
		// Rows of earlier releases lack it.
		Reinstated: item["reinstated"] == strconv.FormatBool(true),
	}
	return row, err
}
