package platformsim_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutuslink/arbutuslink/pkg/lab/platformsim"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/platform/dynamo"
	"github.com/arbutuslink/arbutuslink/pkg/platform/instancelist"
	"github.com/arbutuslink/arbutuslink/pkg/platform/memory"
	"github.com/arbutuslink/arbutuslink/pkg/platform/s3"
)

func start(t *testing.T) (*platformsim.Server, platform.Table, platform.ObjectStore) {
	t.Helper()
	sim := platformsim.New(platformsim.Options{})
	is.New(t).NoErr(sim.Start())
	t.Cleanup(func() { is.New(t).NoErr(sim.Close()) })
	return sim, table(sim, platformsim.DefaultName), s3.New(s3.Options{
		Endpoint: sim.URL(), Region: "local", Bucket: platformsim.DefaultName, AccessKeyID: "id", SecretAccessKey: "secret",
	})
}

func table(sim *platformsim.Server, name string) platform.Table {
	return dynamo.New(dynamo.Options{
		Endpoint: sim.URL(), Region: "local", Table: name, AccessKeyID: "id", SecretAccessKey: "secret",
	})
}

// errorClass returns a name for the type of an error, so that results can be
// compared.
func errorClass(err error) string {
	var missing *platform.NotFoundError
	var condition *platform.ConditionError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &missing):
		return "not found"
	case errors.As(err, &condition):
		return "condition"
	case errors.As(err, &unavailable):
		return "unavailable"
	}
	return err.Error()
}

// Guards against a network adapter whose results or error types differ from
// those of the in-memory platform in any sequence of conditional operations.
func TestTableAdapterMatchesMemory(t *testing.T) {
	_, remote, _ := start(t)
	ctx := context.Background()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		model := memory.New(memory.Options{}).Table()
		prefix := strings.Repeat("r", run)
		for range rapid.IntRange(1, 12).Draw(t, "operations") {
			key := prefix + rapid.SampledFrom([]string{"a", "b/ü %"}).Draw(t, "key")
			cond := rapid.SampledFrom([]platform.Condition{
				{}, {Absent: true}, {Attribute: "revision", Equals: "1"}, {Attribute: "status", Equals: ""},
			}).Draw(t, "condition")
			item := rapid.SampledFrom([]platform.Item{
				{"revision": "1"}, {"revision": "2", "status": ""}, {},
			}).Draw(t, "item")
			var want, got error
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				want, got = model.Put(ctx, key, item, cond), remote.Put(ctx, key, item, cond)
			case 1:
				want, got = model.Delete(ctx, key, cond), remote.Delete(ctx, key, cond)
			default:
				var wantItem, gotItem platform.Item
				wantItem, want = model.Get(ctx, key)
				gotItem, got = remote.Get(ctx, key)
				is.New(t).Equal(gotItem, wantItem)
			}
			is.New(t).Equal(errorClass(got), errorClass(want))
		}
	})
}

// Guards against objects that can be overwritten, and against names or contents
// that are altered in transit.
func TestObjectsAreImmutable(t *testing.T) {
	_, _, store := start(t)
	ctx := context.Background()
	for _, name := range []string{"plain", "config/7/a b+ü%2F", "x//y"} {
		is := is.New(t)
		_, err := store.Get(ctx, name)
		is.Equal(errorClass(err), "not found")
		data := bytes.Repeat([]byte{0, 255, '\n'}, 1<<20)
		is.NoErr(store.Put(ctx, name, data))
		is.Equal(errorClass(store.Put(ctx, name, []byte("other"))), "condition")
		got, err := store.Get(ctx, name)
		is.NoErr(err)
		is.True(bytes.Equal(got, data))
	}
}

// Guards against hidden retries after a lost response: a retry would report a
// failed condition although the first attempt itself made the condition fail.
func TestLostAnswersAreUnclearAndNotRetried(t *testing.T) {
	for _, beforeEffect := range []bool{false, true} {
		sim, table, store := start(t)
		ctx, is := context.Background(), is.New(t)
		is.NoErr(table.Put(ctx, "other", nil, platform.Condition{})) // opens the connection
		is.NoErr(store.Put(ctx, "other", nil))
		lose := platformsim.LoseAnswers{NextWrites: 2, BeforeEffect: beforeEffect}
		is.NoErr(sim.SetFaults(platformsim.Faults{LoseAnswers: lose}))
		is.Equal(errorClass(table.Put(ctx, "row", platform.Item{"a": "1"}, platform.Condition{Absent: true})), "unavailable")
		is.Equal(errorClass(store.Put(ctx, "object", []byte("1"))), "unavailable")
		stats := sim.Stats()
		is.Equal([]int{stats.TableWrites, stats.ObjectWrites, stats.LostAnswers}, []int{2, 2, 2})
		want := "ok"
		if beforeEffect {
			want = "not found"
		}
		_, err := table.Get(ctx, "row")
		is.Equal(errorClass(err), want)
		_, err = store.Get(ctx, "object")
		is.Equal(errorClass(err), want)
	}
}

// Guards against an outage, a timeout or a missing table that is reported as a
// missing row, and against calls that outlast their context.
func TestOutagesAreUnavailable(t *testing.T) {
	sim, table1, store := start(t)
	is := is.New(t)
	list := instancelist.New(instancelist.Options{URL: sim.InstancesURL()})
	check := func(ctx context.Context) {
		t.Helper()
		_, err := table1.Get(ctx, "row")
		is.Equal(errorClass(err), "unavailable")
		is.Equal(errorClass(table1.Delete(ctx, "row", platform.Condition{})), "unavailable")
		_, err = store.Get(ctx, "object")
		is.Equal(errorClass(err), "unavailable")
		_, err = list.List(ctx)
		is.Equal(errorClass(err), "unavailable")
	}
	_, err := table(sim, "missing").Get(context.Background(), "row")
	is.Equal(errorClass(err), "unavailable")

	is.NoErr(sim.SetFaults(platformsim.Faults{Down: true}))
	check(context.Background())
	is.NoErr(sim.SetFaults(platformsim.Faults{DelayMS: 60_000}))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	begin := time.Now()
	check(ctx)
	is.True(time.Since(begin) < 5*time.Second)
	is.NoErr(sim.SetFaults(platformsim.Faults{}))
	_, err = table1.Get(context.Background(), "row")
	is.Equal(errorClass(err), "not found")
}

// Guards against a list that shows changes before its lag has passed, and
// against an admin endpoint that resets the fields that a request omits.
func TestListLagsAndAdminPatchesFaults(t *testing.T) {
	sim, _, _ := start(t)
	ctx, is := context.Background(), is.New(t)
	list := instancelist.New(instancelist.Options{URL: sim.InstancesURL()})
	post := func(url, body string, want int) {
		t.Helper()
		response, err := http.Post(url, "application/json", strings.NewReader(body))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, want)
	}
	admin := "http://" + sim.AdminAddr() + "/admin/faults"
	post(admin, `{"list_lag_ms": 600000}`, 200)
	post(admin, `{"delay_ms": 1}`, 200)
	post(admin, `{"lose_answers": {"probability": 2}}`, 400)
	post(admin, `{"unknown": 1}`, 400)
	is.Equal(sim.Faults(), platformsim.Faults{DelayMS: 1, ListLagMS: 600_000})

	post(sim.InstancesURL(), `{"register": [{"address": "127.0.0.1:1", "zone": "a", "state": "live"}]}`, 204)
	got, err := list.List(ctx)
	is.NoErr(err)
	is.Equal(len(got), 0)
	post(admin, `{"list_lag_ms": 0}`, 200)
	got, err = list.List(ctx)
	is.NoErr(err)
	is.Equal(got, []platform.InstanceListEntry{{Address: "127.0.0.1:1", Zone: "a", State: platform.Live}})
	post(sim.InstancesURL(), `{"deregister": ["127.0.0.1:1"]}`, 204)
	got, err = list.List(ctx)
	is.NoErr(err)
	is.Equal(len(got), 0)
}
