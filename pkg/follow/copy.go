package follow

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// copyTimeout bounds the fetch of a configuration from another instance: a
	// round trip between zones takes 3 ms, and after a failed fetch there must be
	// time left for a read of the store.
	copyTimeout = 250 * time.Millisecond
	// maxReportedAge caps the configuration age that is sent in heartbeats.
	maxReportedAge = time.Hour
)

// PeerConfigs fetches configurations from other instances.
type PeerConfigs interface {
	// Config returns the configuration of the instance at a gossip address if it
	// is newer than the given version. Any error means that there is no copy.
	Config(ctx context.Context, address string, newerThan int64) (version int64, c *config.Config, err error)
}

// Fill adds to a heartbeat the applied version, the evacuated zones, and the time since
// both were last confirmed to be the newest.
func (f *Follower) Fill(h *peerpb.Heartbeat, _ fleet.Audience) {
	h.ConfigVersion = f.View().Config.Version
	h.ConfigAgeMs = uint32(min(f.Age(), maxReportedAge).Milliseconds())
	if set := f.evacuations.Load(); set != nil {
		h.EvacuatedZones = encodeEvacuations(set)
	}
}

// Merge takes over the evacuated zones of an instance whose set is newer, and copies the
// configuration of a serving instance whose version is newer. A version that is not newer
// confirms the applied one at the time it was confirmed at the sender, and so does the set.
func (f *Follower) Merge(from string, h *peerpb.Heartbeat) {
	at := f.clock.SinceBoot() - time.Duration(h.ConfigAgeMs)*time.Millisecond
	told := decodeEvacuations(h.EvacuatedZones)
	f.mergeEvacuations(told, from)
	switch {
	case !h.Serving || h.ConfigVersion == 0:
	case h.ConfigVersion <= f.View().Config.Version:
		// An instance of an earlier release says nothing about evacuated zones.
		if told != nil {
			f.confirmNewest(at)
		}
	default:
		f.observeVersion(h.ConfigVersion)
		f.copySources.Add(h, f.copyConfig)
	}
}

// copyConfig copies the configuration from the sender of a heartbeat. It reads the source
// if that instance does not give one, or no instance has told the evacuated zones.
func (f *Follower) copyConfig(h *peerpb.Heartbeat) {
	applied := f.View().Config.Version
	if h.ConfigVersion <= applied {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	version, copied, err := f.peerConfigs.Config(ctx, h.GossipAddress, applied)
	if err == nil {
		f.apply(Update{Version: version, Config: copied}, h.Instance)
		if f.evacuations.Load() != nil {
			return
		}
	} else {
		event.CopyFailed.Log(f.log).Err(err).Str("from", h.Instance).Int64("config_version", applied).Send()
	}
	if f.clock.SinceBoot() >= time.Duration(f.retryAt.Load()) {
		f.read(context.Background())
	}
}
