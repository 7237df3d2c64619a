package entry

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
	"github.com/arbutuslink/arbutuslink/pkg/metrics"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// Guards against requests that are not counted, and against metrics that
// docs/metrics.md omits or describes with a wrong type or wrong labels.
func TestMetrics(t *testing.T) {
	f := start(t, nil)
	key, stored := config.GenerateKey("k", "school")
	f.patch("0", f.configDocument(map[string]config.Key{"k": stored}))
	caller := func(method, path, key string) int {
		status, _ := f.send(method, f.settings.CallerAddress, path, "", map[string]string{"X-Arbutus-Key": key})
		return status
	}
	f.waitUntil(func() bool { return caller(http.MethodPost, "/confirm", key) == http.StatusOK })
	for range 3 {
		f.is.Equal(caller(http.MethodGet, "/preview", key), http.StatusOK)
	}
	f.is.Equal(caller(http.MethodGet, "/preview", "al_k.wrong-secret"), http.StatusUnauthorized)
	f.is.NoErr(f.target.SetFaults(targetsim.Faults{HalfResponse: 1}))
	f.is.True(caller(http.MethodGet, "/preview", key) >= http.StatusInternalServerError)

	var scraped string
	for _, sample := range []string{
		`attempts\{.*result="answered",route="preview"\} 3`, `attempts\{.*result="broken",route="preview"\} [12]`,
		`refusals\{.*code="key_invalid".*\} 1`, `requests\{.*result="answered",route="preview"\} 3`,
		`requests\{.*result="refused",route="preview"\} 1`, `requests\{.*result="refused",route="none"\} 1`, `retries\{.*route="preview"\} 1`,
		`targets\{.*service="portal",state="active"\} 1`,
	} {
		line := regexp.MustCompile(`(?m)^arbutus_` + sample + `$`)
		f.waitUntil(func() bool {
			_, scraped = f.sendOperator(http.MethodGet, api.MetricsPath, "", nil)
			return line.MatchString(scraped)
		})
	}
	checkDocumentedMetrics(t, scraped)
}

// checkDocumentedMetrics compares the scraped metrics with docs/metrics.md.
func checkDocumentedMetrics(t *testing.T, scraped string) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/metrics.md")
	is.NoErr(err)
	described := map[string]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `arbutus_([a-z_]+)` \\| (\\w+) \\| ([^|]*)\\|").FindAllStringSubmatch(string(page), -1) {
		described[m[1]] = strings.TrimSpace(m[2] + " " + strings.TrimSpace(m[3]))
	}
	for _, m := range regexp.MustCompile(`(?m)^# TYPE arbutus_([a-z_]+) (\w+)$`).FindAllStringSubmatch(scraped, -1) {
		if strings.HasPrefix(m[1], "tally_internal") {
			continue
		}
		want := m[2] + " " + documentedLabels(scraped, m[1])
		if got := described[m[1]]; got != strings.TrimSpace(want) {
			t.Errorf("arbutus_%s is %q, the docs say %q", m[1], strings.TrimSpace(want), got)
		}
		delete(described, m[1])
	}
	delete(described, metricEjections) // the only target of the test stays above the floor
	is.Equal(len(described), 0)        // docs/metrics.md has a metric that does not exist
}

// documentedLabels lists the labels of a metric, other than those of the instance,
// in the form of docs/metrics.md.
func documentedLabels(scraped, name string) string {
	line := regexp.MustCompile(`(?m)^arbutus_` + name + `\{([^}]*)\}`).FindStringSubmatch(scraped)
	var labels []string
	for _, order := range []string{tagService, tagState, tagCode, tagRoute, tagResult, tagReason} {
		if strings.Contains(line[1], order+"=") {
			labels = append(labels, "`"+order+"`")
		}
	}
	return strings.Join(labels, ", ")
}

// Guards against counting an ejection again for each failed trial, and against
// missing the ejections of a service that has just appeared.
func TestEjectionsBetween(t *testing.T) {
	is := is.New(t)
	state := func(targets map[string]string) health.FollowerDump {
		return health.FollowerDump{Services: map[string]health.FollowedDump{"portal": {Targets: targets}}}
	}
	before := state(map[string]string{"a": "active", "b": "ejected", "c": "trial", "d": "cold", "e": "ejected"})
	after := state(map[string]string{"a": "ejected", "b": "ejected", "c": "ejected", "d": "ejected", "e": "active"})
	is.Equal(ejectionsBetween(before, after), map[string]int64{"portal": 2})
	is.Equal(ejectionsBetween(health.FollowerDump{}, after)["portal"], int64(4))
	is.Equal(len(ejectionsBetween(after, after)), 0)
}

// Measures the cost of counting one request with one attempt.
func BenchmarkCounters(b *testing.B) {
	c := newCounters()
	scope, _, closer := metrics.New("entry-1", "a")
	defer func() { _ = closer.Close() }()
	c.scope = scope
	var h fasthttp.ResponseHeader
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.add(1, series{metric: metricAttempts, firstValue: "preview", secondValue: resultAnswered}, tagRoute, tagResult)
			c.countRequest("preview", &h)
		}
	})
}
