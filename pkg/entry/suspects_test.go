package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/platform/memory"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
)

// Guards against unreadable attributes that are passed over silently, or hide the others.
func TestUnreadableQuarantineIsLogged(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := zerolog.New(&out)
	table := quarantineTable{memory.New(memory.Options{}).Table(), &log}
	stored := quarantine.Record{Digest: quarantine.DigestOf("red", "GET", "h", "/", nil), Suspicion: quarantine.Suspicion{Clearings: 1, Crashes: 3}}
	is.NoErr(table.WriteQuarantine(t.Context(), []quarantine.Record{stored}))
	item, err := table.Get(t.Context(), quarantineRow)
	is.NoErr(err)
	condition := platform.Condition{Attribute: quarantineOperation, Equals: item[quarantineOperation]}
	item["no digest"], item[strings.Repeat("ab", len(stored.Digest))] = "1 3", "many"
	is.NoErr(table.Put(t.Context(), quarantineRow, item, condition))
	records, err := table.ReadQuarantine(t.Context())
	is.NoErr(err)
	is.Equal(records, []quarantine.Record{stored})
	is.Equal(strings.Count(out.String(), `"name":"entry_rejected"`), 2)
	is.True(strings.Contains(out.String(), `"key":"no digest"`))
}
