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
	// Before and After hold JSON; empty means that the value is absent.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String shows the difference on one line.
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

// Diff lists the differences between two documents in the order of their paths.
func Diff(before, after *Config) ([]Difference, error) {
	a, err := generic(before)
	if err != nil {
		return nil, err
	}
	b, err := generic(after)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	compare("$", a, b, &differences)
	sort.Slice(differences, func(i, j int) bool { return differences[i].Path < differences[j].Path })
	return differences, nil
}

func generic(c *Config) (any, error) {
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

func compare(path string, a, b any, differences *[]Difference) {
	left, leftOK := a.(map[string]any)
	right, rightOK := b.(map[string]any)
	if !leftOK || !rightOK {
		if x, y := encode(a), encode(b); x != y {
			*differences = append(*differences, Difference{Path: path, Before: x, After: y})
		}
		return
	}
	for name, value := range left {
		compare(path+"."+name, value, right[name], differences)
	}
	for name, value := range right {
		if _, both := left[name]; !both {
			compare(path+"."+name, nil, value, differences)
		}
	}
}

func encode(v any) string {
	if v == nil {
		return ""
	}
	// Values come from json.Unmarshal and always encode.
	data, _ := json.Marshal(v)
	return string(data)
}
