package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/document"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
)

const edgeJSON = `{"instance":"e-1","availability_zone":"a","caller_address":"10.0.0.1:1","ready_address":"10.0.0.1:2",
 "directory_address":"10.0.0.1:3","gossip_address":"10.0.0.1:4","metrics_address":"10.0.0.1:5","store_address":"10.0.0.9:6",
 "processor_share":0.32,"cores":2,"memory_mb":184,"first_start":true,"grace":"6s"}`

func loadEdge(t *testing.T, text string) (*Edge, error) {
	file := filepath.Join(t.TempDir(), "edge.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadEdge(file)
}

// Guards against settings being read with a wrong value, and against missing
// defaults.
func TestLoadEdge(t *testing.T) {
	is := is.New(t)
	e, err := loadEdge(t, edgeJSON)
	is.NoErr(err)
	is.Equal(e.GracePeriod(), 6*time.Second)
	is.Equal(e.Capacity(), uint32(213)) // 0.32 of each of 2 cores, 1.5 ms per request, half of it planned for
	is.Equal(e.DirectoryTTL(), time.Second)
	is.Equal(e.LogLevel, "info")
	is.Equal(e.Memory(8e9), int64(184e6))
	is.Equal(BodyBudget(e.Memory(8e9)), int64(184e6)/6)
	is.Equal(DefaultEdge().Memory(8e9), int64(8e9))
	is.True(e.HedgeLimits().Off())
	e, err = loadEdge(t, strings.Replace(edgeJSON, `"grace"`, `"hedge_percent":1.5,"hedge_routes":{"/a":3,"shop":0},"grace"`, 1))
	is.NoErr(err)
	is.Equal(e.HedgeLimits(), &hedge.Limits{Percent: 1.5, Routes: map[string]float64{"/a": 3, "shop": 0}})
}

// Guards against a bound on retries that is not the one of the settings, or that applies
// without any.
func TestRetryRule(t *testing.T) {
	is := is.New(t)
	e, err := loadEdge(t, edgeJSON)
	is.NoErr(err)
	_, given := e.RetryRule()
	is.True(!given)
	e, err = loadEdge(t, strings.Replace(edgeJSON, `"cores":2`, `"cores":2,"retry_ratio":0.2,"retry_window":"10000ms","retry_slack":168`, 1))
	is.NoErr(err)
	rule, given := e.RetryRule()
	is.True(given)
	is.Equal(rule, RetryRule{0.2, 10 * time.Second, 168})
}

// templateSection and templateValue match the two forms of deploy/edge.json.tmpl.
var (
	templateSection = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	templateValue   = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// renderTemplate renders deploy/edge.json.tmpl as the platform does, with JSON values by name.
func renderTemplate(t *testing.T, values map[string]string) string {
	t.Helper()
	data, err := os.ReadFile("../../deploy/edge.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	text := templateSection.ReplaceAllStringFunc(string(data), func(section string) string {
		m := templateSection.FindStringSubmatch(section)
		if values[m[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.|json}}", values[m[1]])
	})
	return templateValue.ReplaceAllStringFunc(text, func(value string) string {
		m := templateValue.FindStringSubmatch(value)
		if m[2] == "" {
			return strings.Trim(values[m[1]], `"`)
		}
		return values[m[1]]
	})
}

// Guards against a template that yields no valid settings, or that turns on the retry account
// of the fleet for all deployments of a platform with terms for retries.
func TestTemplate(t *testing.T) {
	values := map[string]string{
		"node": `"e-1"`, "zone": `"a"`, "listen.front": `"10.0.0.1:1"`, "listen.ready": `"10.0.0.1:2"`, "listen.directory": `"10.0.0.1:3"`,
		"ip": `"10.0.0.1"`, "internal_ports.0": `4`, "internal_ports.1": `5`, "provider.address": `"10.0.0.9:6"`, "limits.cpu_share": `0.3`,
		"limits.cores": `2`, "limits.memory_mb": `184`, "limits.link_mbps": `100`, "bootstrap": `true`, "bounds.grace": `"6s"`,
	}
	is := is.New(t)
	e, err := loadEdge(t, renderTemplate(t, values))
	is.NoErr(err)
	_, given := e.RetryRule()
	is.True(!given)
	values["bounds.retry_ratio"], values["bounds.retry_window"], values["bounds.retry_slack"] = `0.2`, `"10000ms"`, `168`
	withTerms, err := loadEdge(t, renderTemplate(t, values))
	is.NoErr(err)
	is.Equal(withTerms, e)
}

// Guards against a capacity that ignores a slow link: 10 Mbit/s carry 125
// requests of 10 kB per second.
func TestCapacityByLink(t *testing.T) {
	is := is.New(t)
	e := DefaultEdge()
	e.LinkMbps = 10
	is.Equal(e.Capacity(), uint32(62))
	e.LinkMbps, e.ProcessorShare = 1e-6, 1
	is.Equal(e.Capacity(), uint32(1))
}

// Guards against invalid settings being detected only when they are used.
func TestInvalidEdge(t *testing.T) {
	cases := map[string][2]string{
		"instance":          {`"e-1"`, `"E 1"`},
		"availability_zone": {`"a"`, `""`},
		"caller_address":    {`10.0.0.1:1`, `0.0.0.0:1`},
		"ready_address":     {`10.0.0.1:2`, `host:2`},
		"directory_address": {`"10.0.0.1:3"`, `""`},
		"gossip_address":    {`10.0.0.1:4`, `10.0.0.1`},
		"metrics_address":   {`10.0.0.1:5`, `x`},
		"store_address":     {`10.0.0.9:6`, `store:6`},
		"processor_share":   {`0.32`, `0`},
		"cores":             {`"cores":2`, `"cores":0`},
		"memory_mb":         {`"memory_mb":184`, `"memory_mb":8`},
		"grace":             {`"6s"`, `"soon"`},
		"hedge_percent":     {`"grace"`, `"hedge_percent":20.5,"grace"`},
		"hedge_routes./a":   {`"grace"`, `"hedge_routes":{"/a":-1,"shop":3},"grace"`},
		"retry_ratio":       {`"cores":2`, `"cores":2,"retry_ratio":-0.1`},
		"retry_window":      {`"cores":2`, `"cores":2,"retry_window":"10"`},
		"retry_slack":       {`"cores":2`, `"cores":2,"retry_slack":-1`},
	}
	for field, edit := range cases {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			_, err := loadEdge(t, strings.Replace(edgeJSON, edit[0], edit[1], 1))
			var invalid *document.InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(len(invalid.Fields), 1)
			is.Equal(invalid.Fields[0].Path, "$."+field)
		})
	}
	_, err := loadEdge(t, `{"unknown":1}`)
	is.New(t).True(err != nil)
}

// Guards against settings of arbutus-edge that are missing in the docs, or
// documented with a default or a range that differs from the code.
func TestEdgeDocs(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/edge-settings.md")
	is.NoErr(err)
	documented := map[string][]string{}
	for _, m := range docRow.FindAllStringSubmatch(string(data), -1) {
		documented[m[1]] = []string{strings.TrimSpace(m[2]), strings.TrimSpace(m[3])}
	}
	names := 0
	visitFields(reflect.ValueOf(DefaultEdge()).Elem(), "", func(path string, v reflect.Value) {
		names++
		row, ok := documented[path]
		if !ok {
			t.Errorf("docs/edge-settings.md lacks %s", path)
			return
		}
		want := fmt.Sprint(v.Interface())
		if v.Kind() == reflect.Map && v.Len() == 0 {
			want = "{}"
		}
		if want != "" && row[0] != want {
			t.Errorf("%s: the default is %s, the docs say %q", path, want, row[0])
		}
	})
	is.Equal(len(documented), names)
	var invalid *document.InvalidError
	is.True(errors.As((&Edge{MetricsAddress: "x"}).Validate(), &invalid))
	for _, f := range invalid.Fields {
		is.Equal(documented[strings.TrimPrefix(f.Path, "$.")][1], f.Allowed)
	}
}
