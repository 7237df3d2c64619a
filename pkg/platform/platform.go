// Package platform defines the interfaces to the platform's services: the
// transactional table, the object store and the instance list.
package platform

import "context"

// Item is one row of the table: string attributes by name, without the key.
type Item map[string]string

// Condition must hold for a write to take effect. The zero value always holds.
type Condition struct {
	// Absent requires that the row does not exist.
	Absent bool
	// Attribute and Equals require that the row exists and that the attribute with
	// this name has this value. They are ignored when Absent is set or Attribute is
	// empty.
	Attribute string
	Equals    string
}

// Table is a transactional table. All reads are consistent.
//
// Errors: *NotFoundError when the row does not exist, *ConditionError when a
// condition does not hold (nothing was written), *UnavailableError when no usable
// answer came: a write may have taken effect.
type Table interface {
	Get(ctx context.Context, key string) (Item, error)
	Put(ctx context.Context, key string, item Item, cond Condition) error
	Delete(ctx context.Context, key string, cond Condition) error
}

// ObjectStore keeps immutable objects by name. Errors are those of Table;
// Put with an existing name fails with *ConditionError.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// State is the state of a process in the platform's instance list.
type State string

// States in the instance list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// InstanceListEntry is one entry of the platform's instance list.
type InstanceListEntry struct {
	// Address is the listening address, IP:port.
	Address string `json:"address"`
	// Incarnation identifies the process at the address; empty if the process
	// reported none.
	Incarnation string `json:"incarnation,omitempty"`
	Zone        string `json:"zone"`
	State       State  `json:"state"`
}

// InstanceList reads the platform's list of live and leaving processes, which lags
// by seconds. Errors: *UnavailableError.
type InstanceList interface {
	List(ctx context.Context) ([]InstanceListEntry, error)
}
