package follow

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// maxUnconfirmed is the time within which a new version must be in force. An instance that has
// not learned for so long whether there is one may act on an old version.
const maxUnconfirmed = 2 * time.Second

const (
	// maxOutdated is the time for which an instance may act on its version after it has heard
	// of a newer one: a copy and, if that fails, a read.
	maxOutdated = time.Second
	// outageHold is the time after the start of a failed read for which the instance goes on
	// with what it has: until the next read has failed, too.
	outageHold = failedReadBackoff + 2*readWait + 3*maxWaitDelay
)

// MayAct reports whether the applied version may be acted on: it has been known to be the newest
// within maxUnconfirmed, or the source has lately failed to tell. It may not while a newer version
// is known to exist that the instance has failed to get within maxOutdated.
func (f *Follower) MayAct() bool {
	now := f.clock.SinceBoot()
	if outdatedAt := f.outdatedAt.Load(); outdatedAt != 0 && now-time.Duration(outdatedAt) >= maxOutdated {
		return false
	}
	return f.Age() < maxUnconfirmed || now-time.Duration(f.failedAt.Load()) < outageHold
}

// NewestHeard returns the newest version that a serving instance or the source has named.
func (f *Follower) NewestHeard() int64 { return f.newestHeard.Load() }

// Observe logs when the applied version ceases to be confirmed within maxUnconfirmed, and when
// it is again. It is to be called several times a second.
func (f *Follower) Observe() {
	if !f.hasConfig.Load() || !f.confirmed() {
		return
	}
	age := f.Age()
	if f.unconfirmed.Swap(age >= maxUnconfirmed) == (age >= maxUnconfirmed) {
		return
	}
	if age < maxUnconfirmed {
		event.ConfigConfirmed.Log(f.log).Int64("version", f.View().Config.Version).Dur("unconfirmed", age).Send()
		return
	}
	line := event.ConfigUnconfirmed.Log(f.log).Int64("version", f.View().Config.Version).Int64("newest_heard", f.NewestHeard()).Dur("unconfirmed", age)
	if failedAt := f.failedAt.Load(); failedAt != int64(beforeBoot) {
		line = line.Dur("last_failed_read", f.clock.SinceBoot()-time.Duration(failedAt))
	}
	line.Send()
}

// confirmed reports whether any version has ever been known to be the newest.
func (f *Follower) confirmed() bool { return f.confirmedAt.Load() != int64(beforeBoot) }

// observeVersion records that a version is known to exist, and since when the applied one is
// older.
func (f *Follower) observeVersion(version int64) {
	for {
		known := f.newestHeard.Load()
		if known >= version || f.newestHeard.CompareAndSwap(known, version) {
			break
		}
	}
	if f.View().Config.Version >= f.newestHeard.Load() {
		f.outdatedAt.Store(0)
	} else {
		f.outdatedAt.CompareAndSwap(0, int64(f.clock.SinceBoot()))
	}
}
