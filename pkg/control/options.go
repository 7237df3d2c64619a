package control

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/fence"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/rs/zerolog"
)

const (
	defaultMaxWitnesses = 15
	// defaultRemoveAfter exceeds F, so that a member that a majority has not
	// heard from for this long is fenced.
	defaultRemoveAfter = 3 * time.Second
	// defaultPollInterval finds changes whose proposer died.
	defaultPollInterval = time.Second
	// pollFleetSize is the size up to which every instance polls at the poll
	// interval; a larger fleet polls more slowly, so that its reads per second
	// stay the same.
	pollFleetSize = 48
	// tickInterval bounds how late the loop notices that something is due.
	tickInterval = 50 * time.Millisecond
	// heartbeatsPerF heartbeats are sent to each witness in the time F.
	heartbeatsPerF = 4
	// maxHeartbeatsInFlight per witness, so that one silent connection does not
	// stop the heartbeats.
	maxHeartbeatsInFlight = 2
	// Waits before another try to change the membership. 48 joining instances
	// that read the row every 150 ms on average cause 320 reads/s.
	changeRetryLow  = 50 * time.Millisecond
	changeRetryHigh = 250 * time.Millisecond
	// Waits before another try when the platform gave no answer.
	platformRetryLow  = 500 * time.Millisecond
	platformRetryHigh = 1500 * time.Millisecond
	// An instance that did not propose a change completes it after this wait.
	takeoverLow  = 500 * time.Millisecond
	takeoverHigh = 1500 * time.Millisecond
	// rankDelay separates the members that may propose a removal.
	rankDelay = 500 * time.Millisecond
	// lostAfter is how long a majority must be missing before the platform's
	// list is asked.
	lostAfter = 4 * time.Second
	// listLag bounds how late a new process appears on the platform's list.
	listLag = 5 * time.Second
	// frozenAfter is the gap between two ticks that counts as a pause.
	frozenAfter = time.Second
	// fetchTimeout admits the transfer of a configuration of 15 MB.
	fetchTimeout = 5 * time.Second
	// platformTimeout bounds one operation at the platform with its retries.
	platformTimeout = 5 * time.Second
	// maxTrackedVersions bounds the configuration versions whose state is kept.
	maxTrackedVersions = 64
)

// Options configure a Loop. Self, Store, Transport, Clock are required.
type Options struct {
	// Self describes this instance; the loop sets Incarnation.
	Self membership.Member
	// Seeds are peer addresses of other instances, used when the platform is away.
	Seeds     []string
	Store     *head.Store
	Transport peer.Transport
	Clock     clock.Clock
	// List is asked when a majority of witnesses is lost; nil disables this.
	List platform.InstanceList
	Log  zerolog.Logger
	// MaxWitnesses, F, RemoveAfter and PollInterval have the defaults 15, 2 s, 3 s, 1 s.
	MaxWitnesses int
	F            time.Duration
	RemoveAfter  time.Duration
	PollInterval time.Duration
	// NewID returns unique ids for incarnations and operations; the default is random.
	NewID func() string
	// Jitter returns a time in [0, d); the default is random.
	Jitter func(d time.Duration) time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxWitnesses == 0 {
		o.MaxWitnesses = defaultMaxWitnesses
	}
	if o.F == 0 {
		o.F = fence.DefaultValidity
	}
	if o.RemoveAfter == 0 {
		o.RemoveAfter = defaultRemoveAfter
	}
	if o.PollInterval == 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.NewID == nil {
		o.NewID = randomID
	}
	if o.Jitter == nil {
		o.Jitter = randomJitter
	}
	return o
}

func randomID() string {
	id := make([]byte, 12)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
