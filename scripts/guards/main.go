// Command guards removes one guard of the code at a time in a scratch copy and reports
// whether the tests of that package notice. scripts/guards/guards.json lists the guards.
//
//	go run ./scripts/guards [NAME...]
//	go run ./scripts/guards --check
//
// It exits with 1 if a removal that should be noticed is not. With --check it runs no tests and
// only checks that each guard of the list still fits the source.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	listFile = "scripts/guards/guards.json"
	// testTimeout bounds the tests with one guard removed: one that makes them run
	// without end counts as noticed only if a test ends itself.
	testTimeout = 150 * time.Second
)

// guard is one mechanism and the edit that removes it.
type guard struct {
	Name string `json:"name"`
	// File is the path of the source, Old the text that is replaced by New; it must
	// occur once.
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
	// Packages are the packages whose tests must notice.
	Packages []string `json:"packages"`
	// Unnoticed is the reason why no test can notice, or empty.
	Unnoticed string `json:"unnoticed,omitempty"`
}

// GuardError reports that a guard of the list does not fit the source.
type GuardError struct{ Name, Reason string }

// Error names the guard.
func (e *GuardError) Error() string { return e.Name + ": " + e.Reason }

func main() {
	missed, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if missed > 0 {
		os.Exit(1)
	}
}

// run tries the guards with the given names, or all, and returns how many were missed.
func run(names []string) (missed int, err error) {
	data, err := os.ReadFile(listFile)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var guards []guard
	if err := json.Unmarshal(data, &guards); err != nil {
		return 0, errors.WithStack(err)
	}
	if slices.Equal(names, []string{"--check"}) {
		return 0, check(guards)
	}
	scratch, err := os.MkdirTemp("", "guards")
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	if err := copyTree(scratch); err != nil {
		return 0, err
	}
	for _, g := range guards {
		if len(names) > 0 && !slices.Contains(names, g.Name) {
			continue
		}
		result, err := try(scratch, g)
		if err != nil {
			return missed, err
		}
		if result == "" && g.Unnoticed == "" {
			missed++
			result = "MISSED"
		}
		if result == "" {
			result = "not noticed: " + g.Unnoticed
		}
		fmt.Printf("%-45s %s\n", g.Name, result)
	}
	return missed, nil
}

// check returns an error for the first guard that does not fit the source.
func check(guards []guard) error {
	for _, g := range guards {
		if _, err := g.read(g.File); err != nil {
			return err
		}
	}
	return nil
}

// read returns the source of the guard, in which its text occurs once.
func (g guard) read(file string) ([]byte, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if n := strings.Count(string(source), g.Old); n != 1 {
		return nil, errors.WithStack(&GuardError{g.Name, fmt.Sprintf("the text occurs %d times in %s", n, g.File)})
	}
	return source, nil
}

// try removes the guard, runs the tests and puts the guard back. It returns the tests
// that failed, or an empty string.
func try(scratch string, g guard) (string, error) {
	file := filepath.Join(scratch, g.File)
	source, err := g.read(file)
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(file, []byte(strings.Replace(string(source), g.Old, g.New, 1)), 0o600); err != nil {
		return "", errors.WithStack(err)
	}
	defer func() { _ = os.WriteFile(file, source, 0o600) }()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", append([]string{"test", "-short", "-count=1"}, g.Packages...)...)
	cmd.Dir = scratch
	out, err := cmd.CombinedOutput()
	switch {
	case err == nil:
		return "", nil
	case ctx.Err() != nil:
		return "", nil
	case strings.Contains(string(out), "[build failed]"):
		return "", errors.WithStack(&GuardError{g.Name, "does not build without it:\n" + string(out)})
	}
	return failedTests(string(out)), nil
}

// failedTests lists the names of the tests that failed, or says that the process ended.
func failedTests(out string) string {
	var names []string
	for line := range strings.Lines(out) {
		if name, ok := strings.CutPrefix(line, "--- FAIL: "); ok {
			names = append(names, strings.Fields(name)[0])
		}
	}
	if len(names) == 0 {
		return "the test process ended"
	}
	return strings.Join(names, ", ")
}

// copyTree copies the repository without its history to a folder.
func copyTree(to string) error {
	return filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return errors.WithStack(err)
		case entry.IsDir() && (path == ".git" || path == "journal" || path == "target" || path == "bin"):
			return filepath.SkipDir
		case entry.IsDir():
			return errors.WithStack(os.MkdirAll(filepath.Join(to, path), 0o700))
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return errors.WithStack(err)
		}
		return errors.WithStack(os.WriteFile(filepath.Join(to, path), data, 0o600))
	})
}
