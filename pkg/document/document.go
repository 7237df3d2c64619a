// Package document decodes JSON documents strictly: unknown members and values
// of the wrong type are errors that name their JSON path.
package document

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Decode decodes data into the struct that v points to. Errors: *SyntaxError
// for malformed JSON, *InvalidError for unknown members and wrong types. v is
// not meaningful after an error.
func Decode(data []byte, v any) error {
	var raw any
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&raw); err != nil {
		return errors.WithStack(&SyntaxError{Offset: dec.InputOffset(), Cause: err})
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.WithStack(&SyntaxError{Offset: dec.InputOffset(), Cause: &TrailingDataError{}})
	}
	checker := &Checker{}
	checker.checkType("$", raw, reflect.TypeOf(v).Elem())
	if err := checker.Err(); err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return errors.WithStack(&SyntaxError{Offset: -1, Cause: err})
	}
	return nil
}

// Checker collects the invalid values of a document.
type Checker struct{ fieldErrors []*FieldError }

// Check records that value, at the JSON path, is invalid unless ok is true. allowed
// describes the valid values.
func (c *Checker) Check(ok bool, path string, value any, allowed string) {
	if !ok {
		c.fieldErrors = append(c.fieldErrors, &FieldError{Path: path, Value: value, Allowed: allowed})
	}
}

// Err returns an *InvalidError with all invalid values sorted by path, or nil if
// there are none.
func (c *Checker) Err() error {
	if len(c.fieldErrors) == 0 {
		return nil
	}
	sort.SliceStable(c.fieldErrors, func(i, j int) bool { return c.fieldErrors[i].Path < c.fieldErrors[j].Path })
	return errors.WithStack(&InvalidError{Fields: c.fieldErrors})
}

var timeType = reflect.TypeFor[time.Time]()

// checkType checks that a decoded JSON value fits the Go type that it will be stored
// in.
func (c *Checker) checkType(path string, value any, t reflect.Type) {
	if t == timeType {
		text, ok := value.(string)
		_, err := time.Parse(time.RFC3339, text)
		c.Check(ok && err == nil, path, value, "a time in RFC 3339 form")
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		if value != nil {
			c.checkType(path, value, t.Elem())
		}
	case reflect.Struct:
		c.checkStruct(path, value, t)
	case reflect.Map:
		members, ok := value.(map[string]any)
		c.Check(ok, path, value, "an object")
		for name, member := range members {
			c.checkType(path+"."+name, member, t.Elem())
		}
	case reflect.Slice:
		elements, ok := value.([]any)
		c.Check(ok || value == nil, path, value, "an array")
		for _, element := range elements {
			c.checkType(path+"[]", element, t.Elem())
		}
	default:
		c.checkScalar(path, value, t)
	}
}

// checkStruct checks an object and its members against the JSON tags of a struct.
func (c *Checker) checkStruct(path string, value any, t reflect.Type) {
	members, ok := value.(map[string]any)
	c.Check(ok, path, value, "an object")
	fields := map[string]reflect.Type{}
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "-" { // not in documents
			continue
		}
		fields[name] = t.Field(i).Type
		names = append(names, name)
	}
	for name, member := range members {
		field, known := fields[name]
		if !known {
			c.Check(false, path+"."+name, "unknown member", strings.Join(names, ", "))
			continue
		}
		c.checkType(path+"."+name, member, field)
	}
}

// checkScalar checks a string, boolean or number; all kinds of t other than string,
// bool and float64 are taken for integers.
func (c *Checker) checkScalar(path string, value any, t reflect.Type) {
	switch t.Kind() {
	case reflect.String:
		_, ok := value.(string)
		c.Check(ok, path, value, "a string")
	case reflect.Bool:
		_, ok := value.(bool)
		c.Check(ok, path, value, "true or false")
	case reflect.Float64:
		number, ok := value.(json.Number)
		if ok {
			_, err := number.Float64()
			ok = err == nil
		}
		c.Check(ok, path, value, "a number")
	default:
		number, ok := value.(json.Number)
		if ok {
			_, err := number.Int64()
			ok = err == nil
		}
		c.Check(ok, path, value, "an integer")
	}
}
