package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// lateCallersPerStop callers keep an open connection to an instance that stops, and send
	// one more request on it at a random time of the last three quarters of the grace period.
	lateCallersPerStop = 12
	// firstLateCaller is the number of the first of them, above those of the other callers.
	firstLateCaller = 5000
	// longMark precedes, in a path, the time in ms that a target works on the request. It is
	// at most maxLongWork, below the timeout of the routes.
	longMark    = "long-"
	maxLongWork = 1800 * time.Millisecond
	// lateStream is the number of the first stream of random numbers for them.
	lateStream = 20000
	// closedCheckTime is how long a late caller waits for the end of its connection before it
	// sends.
	closedCheckTime = time.Millisecond
)

// longWork returns the time that a target works on a request with this path; 0 if the path
// does not tell.
func longWork(path string) time.Duration {
	_, rest, found := strings.Cut(path, longMark)
	digits, _, _ := strings.Cut(rest, "-")
	ms, err := strconv.Atoi(digits)
	if !found || err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// lateCaller is a caller with an open connection to an instance that is about to stop.
type lateCaller struct {
	*caller
	sendAfter, work time.Duration
}

// openLateCallers opens connections to an instance with a request on each. The draws are apart
// from those of the other faults.
func (tb *testbed) openLateCallers(i *instance, rng *rand.Rand) []*lateCaller {
	late := make([]*lateCaller, lateCallersPerStop)
	var opened sync.WaitGroup
	for n := range late {
		client := tb.callers.newCaller(tb, firstLateCaller+int(tb.lateCallers.Add(1)), i.zone)
		client.pinned, client.team = i, lateTeam
		late[n] = &lateCaller{
			caller: client, sendAfter: gracePeriod/4 + time.Duration(rng.Int64N(int64(gracePeriod/4*3))), work: time.Duration(rng.Int64N(int64(maxLongWork))),
		}
		opened.Go(func() { client.sendNext(client.nextRequest()) })
	}
	opened.Wait()
	return late
}

// run sends the late request, unless the connection has ended.
func (c *lateCaller) run() {
	defer c.closeConnection()
	time.Sleep(c.sendAfter)
	if c.conn == nil || c.closedByInstance() {
		return
	}
	r := c.nextRequest()
	r.path = unsafeRoute + longMark + fmt.Sprintf("%d-%s", c.work.Milliseconds(), r.id)
	r.team, r.key, r.safe = lateTeam, lateKey, false
	c.sendNext(r)
}

// closedByInstance reports whether the instance has closed the connection.
func (c *lateCaller) closedByInstance() bool {
	if err := c.conn.SetReadDeadline(time.Now().Add(closedCheckTime)); err != nil {
		return true
	}
	_, err := c.reader.Peek(1)
	return !isTimeout(err)
}
