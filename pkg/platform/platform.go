// Package platform defines the ports to the platform's services: the
// transactional table, the object store and the instance list.
package platform

import "context"

// Item is one row of the table: string attributes by name, without the key.
type Item map[string]string

// Condition restricts a write.
type Condition struct {
	// Absent requires that the row does not exist.
	Absent bool
	// Attribute and Equals require that the row exists and that the attribute
	// has this value. They are ignored when Absent is set or Attribute is empty.
	Attribute string
	Equals    string
}

// Table is a transactional table. All reads are consistent.
//
// Errors: *NotFoundError when the row does not exist, *ConditionError when a
// condition does not hold (nothing was written), *UnavailableError when the
// answer is unknown: a write may have taken effect.
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

// State is the state of a process on the platform's list.
type State string

// States on the list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Listed is one entry of the platform's list.
type Listed struct {
	// Address is the listening address, IP:port.
	Address string `json:"address"`
	// Incarnation identifies the process behind the address when it reported one.
	Incarnation string `json:"incarnation,omitempty"`
	Zone        string `json:"zone"`
	State       State  `json:"state"`
}

// InstanceList is the platform's list of live and leaving processes. It lags
// by seconds. Errors: *UnavailableError.
type InstanceList interface {
	List(ctx context.Context) ([]Listed, error)
}
