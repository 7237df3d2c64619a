package dispatch

import "time"

const (
	// earlyReleaseTTL is how long a release that arrived before its request is
	// remembered. It covers a request that is delayed at a frozen dispatcher or in
	// a connection.
	earlyReleaseTTL  = time.Second
	maxEarlyReleases = 4096
)

// earlyReleases remembers releases of requests that have not arrived yet, so
// that these requests get no slot when they do.
type earlyReleases struct {
	keys  map[key]bool
	queue []earlyRelease
}

type earlyRelease struct {
	key key
	at  time.Duration
}

func (e *earlyReleases) add(k key, now time.Duration) {
	if len(e.queue) < maxEarlyReleases && !e.keys[k] {
		e.keys[k] = true
		e.queue = append(e.queue, earlyRelease{k, now})
	}
}

// forget drops the releases that are older than earlyReleaseTTL.
func (e *earlyReleases) forget(now time.Duration) {
	for len(e.queue) > 0 && now-e.queue[0].at >= earlyReleaseTTL {
		delete(e.keys, e.queue[0].key)
		e.queue = e.queue[1:]
	}
}
