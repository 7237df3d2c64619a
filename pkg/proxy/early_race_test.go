package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Guards against a request that is written into the rest of another one's body: a target had
// answered a second attempt before it read the body, and the connection was used again.
func TestEarlyAnswerOfSecondAttemptEndsTheConnection(t *testing.T) {
	for name, hedgeAfter := range map[string]time.Duration{"retry": 0, "hedge": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newScriptedTargets(t)
			r := newScriptedProxy(t, s, 1200*time.Millisecond, Options{})
			r.hedgeAfter(hedgeAfter)
			s.set("long", script{answers, 2 * time.Second}, script{answersEarly, 0})
			response, body := r.dial(t).send("POST", "/get", strings.Repeat(string(bodyByte), longBody), r.keyLine(), idLine("long"))
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, "ok long")
			r.setTargets(s.addresses[1], s.addresses[0])
			for _, id := range []string{"next-1", "next-2"} {
				response, _ = r.dial(t).send("POST", "/get", "", r.keyLine(), idLine(id))
				is.Equal(response.StatusCode, http.StatusOK)
			}
			time.Sleep(4 * readOnPause) // until the target has read on
			is.Equal(s.foreignBytes(), nil)
		})
	}
}

// Guards against a refusal that says "not run" for a request that ran at one of two targets and
// was rejected by the other.
func TestRejectionOfOneAttemptSaysNothingOfTheOther(t *testing.T) {
	for name, tc := range map[string]struct {
		hedgeAfter    time.Duration
		first, second script
	}{
		"the second rejects, the first runs and closes":       {0, script{runsAndCloses, 400 * time.Millisecond}, script{rejects, 0}},
		"the first rejects late, the second runs and closes":  {0, script{rejects, 300 * time.Millisecond}, script{runsAndCloses, 100 * time.Millisecond}},
		"the hedge rejects, the first runs and closes":        {20 * time.Millisecond, script{runsAndCloses, 100 * time.Millisecond}, script{rejects, 0}},
		"the first rejects, the hedge runs and closes":        {20 * time.Millisecond, script{rejects, 60 * time.Millisecond}, script{runsAndCloses, 150 * time.Millisecond}},
		"the first rejects, the second runs and breaks off":   {0, script{rejects, 300 * time.Millisecond}, script{runsAndBreaks, 100 * time.Millisecond}},
		"the first runs and closes, then the second rejects":  {0, script{runsAndCloses, 350 * time.Millisecond}, script{rejects, 150 * time.Millisecond}},
		"the second runs and closes, then the first rejects":  {0, script{rejects, 500 * time.Millisecond}, script{runsAndCloses, 0}},
		"the first runs and closes at once, the next rejects": {0, script{runsAndCloses, 0}, script{rejects, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newScriptedTargets(t)
			r := newScriptedProxy(t, s, 600*time.Millisecond, Options{})
			r.hedgeAfter(tc.hedgeAfter)
			s.set("a", tc.first, tc.second)
			response, _ := r.dial(t).send("GET", "/get", "", r.keyLine(), idLine("a"))
			is.True(s.ran("a"))
			is.Equal(response.Header.Get(refusal.OutcomeHeader), string(refusal.OutcomeUnknown))
		})
	}
}

// Guards against a promise that is not given although both targets rejected the request: the
// caller of one that must not be repeated could not send it again.
func TestRejectionsOfAllAttemptsSayNotRun(t *testing.T) {
	for name, tc := range map[string]struct {
		hedgeAfter    time.Duration
		first, second script
	}{
		"one after the other":               {0, script{rejects, 0}, script{rejects, 0}},
		"both at once":                      {0, script{rejects, 400 * time.Millisecond}, script{rejects, 0}},
		"the first before the second":       {0, script{rejects, 300 * time.Millisecond}, script{rejects, 200 * time.Millisecond}},
		"the hedge before the first":        {20 * time.Millisecond, script{rejects, 100 * time.Millisecond}, script{rejects, 0}},
		"the first before the hedge":        {20 * time.Millisecond, script{rejects, 60 * time.Millisecond}, script{rejects, 100 * time.Millisecond}},
		"before the body has come, by both": {0, script{rejectsEarly, 0}, script{rejectsEarly, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newScriptedTargets(t)
			r := newScriptedProxy(t, s, 600*time.Millisecond, Options{})
			r.hedgeAfter(tc.hedgeAfter)
			s.set("a", tc.first, tc.second)
			response, _ := r.dial(t).send("GET", "/get", "", r.keyLine(), idLine("a"))
			is.True(!s.ran("a"))
			is.Equal(response.Header.Get(refusal.OutcomeHeader), string(refusal.OutcomeNotRun))
		})
	}
}
