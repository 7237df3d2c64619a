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
	// defaultRemoveAfter exceeds the fence validity, so that the fence of a
	// member from which a majority has received nothing for this long is no
	// longer valid.
	defaultRemoveAfter = 3 * time.Second
	// The head row is polled to find changes whose proposer died.
	defaultPollInterval = time.Second
	// maxFullRatePollers is the fleet size up to which every instance polls at
	// the poll interval. In a larger fleet each instance polls more slowly, so
	// that the reads per second of the fleet stay the same.
	maxFullRatePollers = 48
	// checkInterval bounds how late a due task starts.
	checkInterval = 50 * time.Millisecond
	// heartbeatsPerValidity is the number of heartbeats sent to each witness
	// within the fence validity.
	heartbeatsPerValidity = 4
	// maxHeartbeatsInFlight is per witness. It exceeds 1 so that one hanging
	// connection does not stop the heartbeats.
	maxHeartbeatsInFlight = 2
	// Delay before another attempt to change the membership. 48 joining
	// instances that read the row every 150 ms on average cause 320 reads/s.
	minChangeRetry = 50 * time.Millisecond
	maxChangeRetry = 250 * time.Millisecond
	// Delay before another attempt when the platform gave no answer.
	minPlatformRetry = 500 * time.Millisecond
	maxPlatformRetry = 1500 * time.Millisecond
	// Delay after which an instance that did not propose a change completes its
	// delivery.
	minTakeoverDelay = 500 * time.Millisecond
	maxTakeoverDelay = 1500 * time.Millisecond
	// removalTurnDelay is how much longer each member waits than the next
	// higher-ranked one before it proposes a removal.
	removalTurnDelay = 500 * time.Millisecond
	// listQueryDelay is how long a change must be undelivered or the fence
	// invalid for lack of a majority before the platform's instance list is
	// queried.
	listQueryDelay = 4 * time.Second
	// maxListLag bounds how late a new process appears on the platform's
	// instance list.
	maxListLag = 5 * time.Second
	// pauseThreshold is the gap between two runs of runDueTasks from which the
	// process counts as having been paused.
	pauseThreshold = time.Second
	// fetchTimeout is long enough to transfer a configuration of 15 MB.
	fetchTimeout = 5 * time.Second
	// platformTimeout bounds one operation at the platform with its retries.
	platformTimeout = 5 * time.Second
	// maxTrackedVersions bounds the configuration versions whose delivery time
	// is kept.
	maxTrackedVersions = 64
)

// Options configure a Loop. Self, Store, Transport and Clock are required.
type Options struct {
	// Self describes this instance; the loop sets Incarnation.
	Self membership.Member
	// Seeds are peer addresses of other instances, from which an instance that
	// starts while the platform is unavailable fetches the documents.
	Seeds     []string
	Store     *head.Store
	Transport peer.Transport
	Clock     clock.Clock
	// List is queried when a change cannot be delivered or the fence stays
	// invalid because a majority of witnesses is missing; nil disables this.
	List platform.InstanceList
	Log  zerolog.Logger
	// MaxWitnesses defaults to 15. FenceValidity is the validity of a confirmation
	// (see fence.New) and defaults to 2 s. RemoveAfter is how long a witness
	// receives nothing from a member before it reports it as unresponsive; it
	// defaults to 3 s. PollInterval of the head row defaults to 1 s.
	MaxWitnesses  int
	FenceValidity time.Duration
	RemoveAfter   time.Duration
	PollInterval  time.Duration
	// NewID returns unique ids for incarnations and operations; the default is random.
	NewID func() string
	// Jitter returns a time in [0, d); the default is random.
	Jitter func(d time.Duration) time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxWitnesses == 0 {
		o.MaxWitnesses = defaultMaxWitnesses
	}
	if o.FenceValidity == 0 {
		o.FenceValidity = fence.DefaultValidity
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
