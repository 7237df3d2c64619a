package document

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

type sample struct {
	Name  string            `json:"name"`
	Ports []int             `json:"ports"`
	At    time.Time         `json:"at"`
	Sub   map[string]nested `json:"sub"`
}

type nested struct {
	Ratio float64 `json:"ratio"`
	On    bool    `json:"on"`
}

// Guards against an invalid value being ignored or reported without its JSON path.
func TestDecodeNamesThePath(t *testing.T) {
	cases := []struct{ data, path string }{
		{`{"nmae":"x"}`, "$.nmae"},
		{`{"name":5}`, "$.name"},
		{`{"ports":[1,"2"]}`, "$.ports[]"},
		{`{"ports":[1.5]}`, "$.ports[]"},
		{`{"at":"yesterday"}`, "$.at"},
		{`{"sub":{"a":{"ratio":"x"}}}`, "$.sub.a.ratio"},
		{`{"sub":{"a":{"of":true}}}`, "$.sub.a.of"},
		{`{"sub":[]}`, "$.sub"},
		{`[]`, "$"},
	}
	for _, tc := range cases {
		t.Run(tc.data, func(t *testing.T) {
			is := is.New(t)
			var invalid *InvalidError
			is.True(errors.As(Decode([]byte(tc.data), &sample{}), &invalid))
			is.Equal(invalid.Fields[0].Path, tc.path)
		})
	}
}

// Guards against accepting truncated documents and trailing data.
func TestDecodeRejectsMalformedDocuments(t *testing.T) {
	for _, data := range []string{"", "{", `{"name":"a"} {}`, `{"name":"a"}x`} {
		is := is.New(t)
		var syntax *SyntaxError
		is.True(errors.As(Decode([]byte(data), &sample{}), &syntax))
	}
}
