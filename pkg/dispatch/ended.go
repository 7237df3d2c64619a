package dispatch

import "time"

const (
	// endedLife is how long a release that came before its request is known.
	// It covers a request that waits at a frozen dispatcher or in a connection.
	endedLife = time.Second
	maxEnded  = 4096
)

// ended remembers the releases of requests that have not come yet.
type ended struct {
	keys  map[key]bool
	queue []endedKey
}

type endedKey struct {
	key key
	at  time.Duration
}

func (e *ended) add(k key, now time.Duration) {
	if len(e.queue) < maxEnded && !e.keys[k] {
		e.keys[k] = true
		e.queue = append(e.queue, endedKey{k, now})
	}
}

func (e *ended) forget(now time.Duration) {
	for len(e.queue) > 0 && now-e.queue[0].at >= endedLife {
		delete(e.keys, e.queue[0].key)
		e.queue = e.queue[1:]
	}
}
