package scenario

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// arguments are the words of a script command. The methods that read a value
// return a default or a zero value on an error; validate returns the first error.
type arguments struct {
	positional []string
	named      map[string]string
	// used holds the names that the command has read, given or not.
	used map[string]bool
	// err is the first error.
	err error
}

// parseArguments splits the words into name=value pairs and positional words. A word
// that starts with "{" is JSON and positional.
func parseArguments(words []string) *arguments {
	a := &arguments{named: map[string]string{}, used: map[string]bool{}}
	for _, word := range words {
		name, value, ok := strings.Cut(word, "=")
		if ok && !strings.HasPrefix(word, "{") {
			a.named[name] = value
		} else {
			a.positional = append(a.positional, word)
		}
	}
	return a
}

// fail records an error unless there is one already.
func (a *arguments) fail(err error) {
	if a.err == nil {
		a.err = err
	}
}

// validate returns the first error. A name that the command has not read is an
// error, so the command must read all its arguments first.
func (a *arguments) validate() error {
	for name := range a.named {
		if !a.used[name] {
			a.fail(usage("unknown argument %q", name))
		}
	}
	return a.err
}

// has reports whether a named argument is given.
func (a *arguments) has(name string) bool {
	a.used[name] = true
	_, ok := a.named[name]
	return ok
}

// text returns a named argument, or defaultValue if it is not given.
func (a *arguments) text(name, defaultValue string) string {
	if a.has(name) {
		return a.named[name]
	}
	return defaultValue
}

// list returns a named argument with comma-separated values.
func (a *arguments) list(name, defaultValue string) []string {
	value := a.text(name, defaultValue)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

func (a *arguments) number(name string, defaultValue int) int {
	if !a.has(name) {
		return defaultValue
	}
	n, err := strconv.Atoi(a.named[name])
	if err != nil {
		a.fail(usage("argument %s is not a number: %q", name, a.named[name]))
	}
	return n
}

func (a *arguments) duration(name string, defaultValue time.Duration) time.Duration {
	if !a.has(name) {
		return defaultValue
	}
	d, err := time.ParseDuration(a.named[name])
	if err != nil {
		a.fail(usage("argument %s is not a duration: %q", name, a.named[name]))
	}
	return d
}

// word returns the n-th positional word, from 0.
func (a *arguments) word(n int) string {
	if n >= len(a.positional) {
		a.fail(usage("an argument is missing after %q", strings.Join(a.positional, " ")))
		return ""
	}
	return a.positional[n]
}

// instanceIndex reads the n-th positional word, from 0, as the number of an instance.
func (a *arguments) instanceIndex(n int) int { return a.index(a.word(n)) }

// index converts the number of an instance in a script, which counts from 1, to
// its index in the fleet.
func (a *arguments) index(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil || n < 1 {
		a.fail(usage("%q is not the number of an instance", word))
		return 0
	}
	return n - 1
}

// inList reports whether the value is in a comma-separated list; an empty list
// contains every value.
func inList(list, value string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), value)
}
