// Package head implements the protocol of the head row: the single row of the
// platform's table that orders all changes of configuration and membership.
package head

// Row is the head row. Revision grows by one with every write of the row.
type Row struct {
	Revision          int64 `json:"revision"`
	ConfigVersion     int64 `json:"config_version"`
	MembershipVersion int64 `json:"membership_version"`
	// Delivered says that the newest change is held by a majority of the
	// witnesses of the previous and of the current membership.
	Delivered bool `json:"delivered"`
	// Operation identifies the write that made this revision; a writer whose
	// answer was lost recognises its own write by it.
	Operation string `json:"operation"`
	// Names of the documents in the object store; empty for version 0.
	ConfigObject             string `json:"config_object"`
	MembershipObject         string `json:"membership_object"`
	PreviousMembershipObject string `json:"previous_membership_object"`
}
