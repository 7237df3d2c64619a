package proxy

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// lossyTable is a table whose operations fail at random, before or after they
// take effect.
type lossyTable struct {
	mu   sync.Mutex
	rows map[string]platform.Item
	// lossProbability is the probability of a failure before the effect, and also
	// that of one after it.
	lossProbability float64
}

func (l *lossyTable) do(effect func() error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := &platform.UnavailableError{Operation: "call", Cause: errors.New("lost")}
	if rand.Float64() < l.lossProbability {
		return lost
	}
	err := effect()
	if rand.Float64() < l.lossProbability {
		return lost
	}
	return err
}

func (l *lossyTable) Get(_ context.Context, key string) (item platform.Item, err error) {
	return item, l.do(func() error {
		if item = maps.Clone(l.rows[key]); item == nil {
			return &platform.NotFoundError{Name: key}
		}
		return nil
	})
}

func (l *lossyTable) Put(_ context.Context, key string, item platform.Item, _ platform.Condition) error {
	return l.do(func() error {
		if l.rows[key] != nil {
			return &platform.ConditionError{Name: key}
		}
		l.rows[key] = item
		return nil
	})
}

func (l *lossyTable) Delete(_ context.Context, key string, cond platform.Condition) error {
	return l.do(func() error {
		if l.rows[key][cond.Attribute] != cond.Equals {
			return &platform.ConditionError{Name: key}
		}
		delete(l.rows, key)
		return nil
	})
}

// Guards against two requests that both claim a key, and against a key that no
// request gets because, after a lost response, a request took its own row for
// that of another.
func TestClaimHasOneOwner(t *testing.T) {
	is := is.New(t)
	table := &lossyTable{rows: map[string]platform.Item{}, lossProbability: 0.3}
	claims := NewTableClaims(table, clock.System{}, 5*time.Second)
	for range 20 {
		clear(table.rows)
		owners := make(chan bool, 4)
		for range cap(owners) {
			go func() {
				err := claims.Claim(context.Background(), "school", "deposit", "key")
				var r *refusal.Refusal
				if err != nil && (!errors.As(err, &r) || r.Code != refusal.DuplicateRequest.Code) {
					t.Errorf("unexpected error: %v", err)
				}
				owners <- err == nil
			}()
		}
		count := 0
		for range cap(owners) {
			if <-owners {
				count++
			}
		}
		is.Equal(count, 1)
	}
}

// Guards against a request that waits without a limit for an unavailable platform,
// or is admitted without a claim.
func TestClaimUnavailableIsBounded(t *testing.T) {
	is := is.New(t)
	claims := NewTableClaims(&lossyTable{lossProbability: 1}, clock.System{}, 50*time.Millisecond)
	began := time.Now()
	var r *refusal.Refusal
	is.True(errors.As(claims.Claim(context.Background(), "t", "r", "k"), &r))
	is.Equal(r.Kind, refusal.ClaimUnavailable)
	is.True(time.Since(began) < 200*time.Millisecond)
}

// Guards against duplicates that run, keys that stay claimed by a request that did
// not run, and keys that collide between teams and routes.
func TestDeduplication(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, respond(okText))
	r := newTestProxy(t, Options{}, tg.ln.Addr().String())
	r.proxy.Claims = NewTableClaims(&lossyTable{rows: map[string]platform.Item{}}, clock.System{}, 0)
	r.publish(func(c *config.Config) {
		c.Routes = map[string]config.Route{"put": {PathPrefix: "/put", OpenToAll: true, TimeoutMS: 300, Deduplicate: true}}
	})
	targets := r.targets
	r.targets = nil
	send := func(key string) string {
		response, body := r.dial(t).send("POST", "/put", "", r.keyLine(), "Idempotency-Key: "+key)
		return strings.TrimSpace(response.Header.Get(refusal.CodeHeader) + " " + response.Header.Get(refusal.OutcomeHeader) + body[:2])
	}
	is.Equal(send("k"), `no_target not-run{"`)
	r.targets = targets
	is.Equal(send("k"), "ok")
	is.Equal(send("k"), `duplicate_request unknown{"`)
	is.Equal(send(""), `request_invalid not-run{"`)
	is.Equal(tg.requestCount.Load(), int64(1))
	is.True(ClaimRow("a/b", "c", "k") != ClaimRow("a", "b/c", "k"))
}

// Guards against a refusal that docs/refusals.md does not list or describes wrongly.
func TestRefusalsPageIsComplete(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/refusals.md")
	is.NoErr(err)
	rows := 0
	for line := range strings.SplitSeq(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			rows++
		}
	}
	is.Equal(rows, len(refusal.Kinds()))
	for _, k := range refusal.Kinds() {
		if !strings.Contains(string(page), refusalRow(k)) {
			t.Errorf("docs/refusals.md lacks the row %s", refusalRow(k))
		}
	}
}

func refusalRow(k refusal.Kind) string {
	return fmt.Sprintf("| `%s` | %d | `%s` | %s |", k.Code, k.Status, k.Outcome, k.Meaning)
}
