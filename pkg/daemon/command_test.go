package daemon

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against starting a daemon despite invalid arguments or settings, and
// against exit codes that scripts cannot distinguish.
func TestLoad(t *testing.T) {
	load := func(file string) (string, error) {
		if file == "bad" {
			return "", errors.New("$.instance: wrong")
		}
		return "settings of " + file, nil
	}
	cases := []struct {
		args   []string
		code   int
		run    bool
		output string
	}{
		{[]string{"--settings", "good"}, ExitOK, true, ""},
		{[]string{"--settings", "good", "--check-config"}, ExitOK, false, "good is valid"},
		{[]string{"--settings", "bad"}, ExitUsage, false, "$.instance: wrong"},
		{[]string{"--settings", "bad", "--check-config"}, ExitUsage, false, "$.instance: wrong"},
		{nil, ExitUsage, false, "--settings is required"},
		{[]string{"--unknown"}, ExitUsage, false, "unknown flag"},
		{[]string{"--version"}, ExitOK, false, "program "},
		{[]string{"--help"}, ExitOK, false, "what it does"},
	}
	for _, tc := range cases {
		t.Run(strings.Join(tc.args, " "), func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			c := Command{Name: "program", Description: "what it does", Stdout: &out, Stderr: &out}
			settings, file, code, run := Load(c, tc.args, load)
			is.Equal(code, tc.code)
			is.Equal(run, tc.run)
			is.True(strings.Contains(out.String(), tc.output))
			if run {
				is.Equal(file, "good")
				is.Equal(settings, "settings of good")
			}
		})
	}
}
