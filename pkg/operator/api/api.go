// Package api defines the messages of the operator API, shared by the server and by
// arbutusctl.
package api

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Paths of the API.
const (
	ConfigPath     = "/v1/config"
	HistoryPath    = "/v1/config/history"
	StatusPath     = "/v1/status"
	MembershipPath = "/v1/membership"
	ReplacePath    = "/v1/membership/replace"
	DumpPath       = "/dump"
	MetricsPath    = "/metrics"
)

// State reports whether a configuration version is in force.
type State string

// States of a version.
const (
	// Accepted means that the version is stored on the platform and being put in
	// force; instances may still admit requests on an older version.
	Accepted State = "accepted, being put in force"
	// InForce means that no instance admits requests on an older version.
	InForce State = "in force"
)

// Document is the answer to a read of the configuration.
type Document struct {
	Version int64          `json:"version"`
	Config  *config.Config `json:"config"`
}

// PatchResult is the answer to an accepted patch.
type PatchResult struct {
	Version int64 `json:"version"`
	State   State `json:"state"`
}

// Change is one entry of the history.
type Change struct {
	Version   int64     `json:"version"`
	Author    string    `json:"author"`
	Time      time.Time `json:"time"`
	MediaType string    `json:"media_type"`
	// Differences lists the changed values of the configuration, one per entry.
	Differences []string `json:"differences"`
}

// History is the answer to a read of the history, newest first.
type History struct {
	Changes []Change `json:"changes"`
}

// Status describes the configuration and the membership as the answering
// instance sees them.
type Status struct {
	Instance string `json:"instance"`
	// Incarnation is unique to one stay of one process run in the membership.
	Incarnation string `json:"incarnation"`
	// Member is set if the instance belongs to the membership.
	Member bool `json:"member"`
	// Fresh is set if the instance may admit requests: it is a member or a guest
	// and its fence is valid.
	Fresh             bool  `json:"fresh"`
	ConfigVersion     int64 `json:"config_version"`
	ConfigState       State `json:"config_state"`
	MembershipVersion int64 `json:"membership_version"`
	// Members and Witnesses are counts.
	Members   int `json:"members"`
	Witnesses int `json:"witnesses"`
	// EvacuatedZones are those of the applied configuration; absent if there are none.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
}

// MemberList is the answer to a read of the membership.
type MemberList struct {
	Version int64    `json:"version"`
	Members []Member `json:"members"`
}

// Member is one member of the fleet; addresses are IP:port.
type Member struct {
	Incarnation     string `json:"incarnation"`
	Instance        string `json:"instance"`
	Zone            string `json:"zone"`
	PeerAddress     string `json:"peer_address"`
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	Witness         bool   `json:"witness"`
}

// Replacement declares members gone after a majority of witnesses was lost.
type Replacement struct {
	// Gone lists the members' incarnations.
	Gone []string `json:"gone"`
}

// Failure is the answer to a refused request.
type Failure struct {
	// Code is stable; docs/operator-api.md lists the codes.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Applied is AppliedNo when the change did not take effect and AppliedUnknown
	// when it may have. After AppliedUnknown, read the configuration before repeating
	// the patch.
	Applied string `json:"applied,omitempty"`
	// Current is the newest version if the patch was written against an older one.
	Current int64 `json:"current_version,omitempty"`
	// Changes lists the changes since the version that a stale patch was written
	// against.
	Changes []Change `json:"changes,omitempty"`
	// Fields lists the invalid values of a patch.
	Fields []InvalidField `json:"fields,omitempty"`
}

// InvalidField is one invalid value of a patch.
type InvalidField struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Failure codes.
const (
	CodeUnauthorized         = "unauthorized"
	CodeNotFound             = "not_found"
	CodeMethodNotAllowed     = "method_not_allowed"
	CodeVersionMissing       = "version_missing"
	CodeStaleVersion         = "stale_version"
	CodePatchInvalid         = "patch_invalid"
	CodeMediaTypeUnsupported = "media_type_unsupported"
	CodePreviousPending      = "previous_change_pending"
	CodePlatformUnavailable  = "platform_unavailable"
	CodeRequestInvalid       = "request_invalid"
	CodeReplacementRefused   = "replacement_refused"
	CodeInternal             = "internal"
	// Values of Failure.Applied.
	AppliedNo      = "no"
	AppliedUnknown = "unknown"
	// Headers, query parameters and limits of the API.
	HeaderAllow         = "Allow"
	HeaderAuthorization = "Authorization"
	AuthorizationPrefix = "Bearer "
	ParameterSince      = "since"
	// MaxHistoryEntries bounds the changes in one History.
	MaxHistoryEntries = 100
	// MaxBodyBytes bounds a request body; it leaves room for a patch that replaces a
	// large configuration.
	MaxBodyBytes    = 16 << 20
	ContentTypeJSON = "application/json"
)
