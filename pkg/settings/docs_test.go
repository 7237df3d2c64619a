package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/document"
)

// docRow matches a table row of a page of settings: name, default, allowed values.
var docRow = regexp.MustCompile("(?m)^\\| `([a-z_0-9.]+)` \\| ([^|]*) \\| ([^|]*) \\|")

// visitFields calls visit for every field of the settings, with the path that
// the docs give it.
func visitFields(v reflect.Value, prefix string, visit func(path string, v reflect.Value)) {
	for i := range v.NumField() {
		path := prefix + v.Type().Field(i).Tag.Get("json")
		field := v.Field(i)
		if field.Kind() == reflect.Pointer {
			visit(path, field)
			field = reflect.New(field.Type().Elem()).Elem()
		}
		if field.Kind() == reflect.Struct {
			visitFields(field, path+".", visit)
			continue
		}
		visit(path, field)
	}
}

// Guards against settings that are missing or misnamed in the docs, or documented
// with a default or a range that differs from the code.
func TestDocs(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	type row struct{ value, allowed string }
	documented := map[string]row{}
	for _, m := range docRow.FindAllStringSubmatch(string(data), -1) {
		documented[m[1]] = row{strings.TrimSpace(m[2]), strings.TrimSpace(m[3])}
	}
	var names []string
	visitFields(reflect.ValueOf(DefaultEntry()).Elem(), "", func(path string, v reflect.Value) {
		if !slices.Contains(names, path) {
			names = append(names, path)
		}
		if v.Kind() != reflect.Int && (v.Kind() != reflect.String || v.String() == "") {
			return
		}
		if want := fmt.Sprint(v.Interface()); documented[path].value != want {
			t.Errorf("%s: the default is %s, the docs say %q", path, want, documented[path].value)
		}
		if allowed := allowedText(path); documented[path].allowed != allowed {
			t.Errorf("%s: allowed is %q, the docs say %q", path, allowed, documented[path].allowed)
		}
	})
	for _, name := range names {
		_, ok := documented[name]
		is.True(ok) // docs/settings.md lacks a field
	}
	is.Equal(len(documented), len(names)) // docs/settings.md has a field that does not exist
	example := regexp.MustCompile("(?s)```json\n(.*?)```").FindStringSubmatch(string(data))
	_, err = ParseEntry([]byte(example[1]))
	is.NoErr(err)
}

// allowedText returns the description of the allowed values in the error for an
// invalid value of the field at path.
func allowedText(path string) string {
	e := DefaultEntry()
	visitFields(reflect.ValueOf(e).Elem(), "", func(p string, v reflect.Value) {
		switch {
		case p != path || !v.CanSet():
		case v.Kind() == reflect.Int:
			v.SetInt(-1)
		case v.Kind() == reflect.String:
			v.SetString("")
		}
	})
	var invalid *document.InvalidError
	if !errors.As(e.Validate(), &invalid) {
		return ""
	}
	for _, f := range invalid.Fields {
		if f.Path == "$."+path {
			return f.Allowed
		}
	}
	return ""
}
