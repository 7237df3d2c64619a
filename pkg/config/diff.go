package config

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"
)

// Difference is one value that differs between two documents.
type Difference struct {
	Path string `json:"path"`
	// Before and After hold the value as JSON; empty means that it is absent.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s %s", d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s %s", d.Path, d.Before)
	default:
		return fmt.Sprintf("~ %s %s -> %s", d.Path, d.Before, d.After)
	}
}

// Diff returns the differences between two documents, sorted by path.
func Diff(before, after *Config) ([]Difference, error) {
	a, err := decodeGeneric(before)
	if err != nil {
		return nil, err
	}
	b, err := decodeGeneric(after)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	appendDifferences("$", a, b, &differences)
	sort.Slice(differences, func(i, j int) bool { return differences[i].Path < differences[j].Path })
	return differences, nil
}

// decodeGeneric returns the document in the form in which encoding/json decodes
// it into an empty interface.
func decodeGeneric(c *Config) (any, error) {
	data, err := c.Encode()
	if err != nil {
		return nil, err
	}
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		return nil, errors.WithStack(&SyntaxError{Offset: -1, Cause: err})
	}
	return v, nil
}

// appendDifferences appends the differences between two decoded values; nil
// stands for an absent value.
func appendDifferences(path string, a, b any, differences *[]Difference) {
	beforeObject, beforeOK := a.(map[string]any)
	afterObject, afterOK := b.(map[string]any)
	if !beforeOK || !afterOK {
		if x, y := encodeValue(a), encodeValue(b); x != y {
			*differences = append(*differences, Difference{Path: path, Before: x, After: y})
		}
		return
	}
	for name, value := range beforeObject {
		appendDifferences(path+"."+name, value, afterObject[name], differences)
	}
	for name, value := range afterObject {
		if _, inBefore := beforeObject[name]; !inBefore {
			appendDifferences(path+"."+name, nil, value, differences)
		}
	}
}

func encodeValue(v any) string {
	if v == nil {
		return ""
	}
	// Values decoded by json.Unmarshal can always be encoded.
	data, _ := json.Marshal(v)
	return string(data)
}
