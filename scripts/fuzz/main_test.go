package main

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against runs that fail at their own end, and against inputs passed over.
func TestEndOfTimeIsNoFailure(t *testing.T) {
	for name, row := range map[string]struct {
		output string
		ended  bool
	}{
		"end of time":              {"fuzz: elapsed: 5s, execs: 9 (1/sec), new interesting: 0 (total: 4)\n--- FAIL: FuzzX (5.06s)\n    context deadline exceeded\nFAIL\nexit status 1\nFAIL\tp\t5.068s\n", true},
		"failing input":            {"--- FAIL: FuzzX (0.02s)\n    --- FAIL: FuzzX (0.00s)\n        x_test.go:9: wrong\n    \n    Failing input written to testdata/fuzz/FuzzX/8a\nFAIL\n", false},
		"failing input at the end": {"--- FAIL: FuzzX (5.02s)\n    --- FAIL: FuzzX (0.00s)\n        x_test.go:9: context deadline exceeded\nFAIL\n", false},
		"both":                     {"--- FAIL: FuzzX (5.02s)\n    context deadline exceeded\n    x_test.go:9: wrong\nFAIL\n", false},
		"other test":               {"--- FAIL: FuzzXY (5.02s)\n    context deadline exceeded\nFAIL\n", false},
		"hung worker":              {"--- FAIL: FuzzX (5.02s)\n    fuzzing process hung or terminated unexpectedly: exit status 2\nFAIL\n", false},
		"no build":                 {"# p\n./x_test.go:1:1: syntax error\nFAIL\tp [build failed]\n", false},
		"nothing":                  {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(onlyTimeEnded(row.output, "FuzzX"), row.ended)
		})
	}
}
