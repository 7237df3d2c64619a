package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
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
