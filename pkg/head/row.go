// Package head reads and writes the head row: the single row of the platform's
// table that orders all changes of configuration and membership. A new change
// is written only once the previous one is delivered to the witnesses.
package head

// Row is the head row. Revision grows by one with every write of the row.
type Row struct {
	Revision          int64 `json:"revision"`
	ConfigVersion     int64 `json:"config_version"`
	MembershipVersion int64 `json:"membership_version"`
	// Delivered says that the newest change is held by a majority of the
	// witnesses of the previous and of the current membership.
	Delivered bool `json:"delivered"`
	// Operation is the id of the write that made this revision. A writer whose
	// answer was lost recognises its own write by it.
	Operation string `json:"operation"`
	// Names of the documents in the object store; empty for version 0.
	ConfigObject             string `json:"config_object"`
	MembershipObject         string `json:"membership_object"`
	PreviousMembershipObject string `json:"previous_membership_object"`
	// Reinstated says that the newest change was written by Reinstate: other than a
	// proposed one, it does not tell that the change before it was delivered.
	Reinstated bool `json:"reinstated,omitempty"`
}

// Lacks reports whether the row, which was read after known, lacks what known holds: the
// table has been restored from an older copy. Rows that were written since then may give
// the same numbers to other versions.
func (r Row) Lacks(known Row) bool {
	return r.Revision < known.Revision || r.ConfigVersion < known.ConfigVersion || r.MembershipVersion < known.MembershipVersion ||
		r.diverges(known)
}

// diverges reports whether the row has another document under a number of known.
func (r Row) diverges(known Row) bool {
	return (r.ConfigVersion == known.ConfigVersion && r.ConfigObject != known.ConfigObject) ||
		(r.MembershipVersion == known.MembershipVersion && r.MembershipObject != known.MembershipObject)
}
