package scenario

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// arguments are the words of a command: values by name, and the others in order.
type arguments struct {
	plain []string
	named map[string]string
	used  map[string]bool
	err   error
}

// parse splits name=value words from others. A word that starts with "{" is JSON.
func parse(words []string) *arguments {
	a := &arguments{named: map[string]string{}, used: map[string]bool{}}
	for _, word := range words {
		name, value, ok := strings.Cut(word, "=")
		if ok && !strings.HasPrefix(word, "{") {
			a.named[name] = value
		} else {
			a.plain = append(a.plain, word)
		}
	}
	return a
}

func (a *arguments) fail(err error) {
	if a.err == nil {
		a.err = err
	}
}

// finish returns the first mistake; a name that no command reads is one.
func (a *arguments) finish() error {
	for name := range a.named {
		if !a.used[name] {
			a.fail(usage("unknown argument %q", name))
		}
	}
	return a.err
}

func (a *arguments) has(name string) bool {
	a.used[name] = true
	_, ok := a.named[name]
	return ok
}

func (a *arguments) text(name, otherwise string) string {
	if a.has(name) {
		return a.named[name]
	}
	return otherwise
}

func (a *arguments) list(name, otherwise string) []string {
	value := a.text(name, otherwise)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

func (a *arguments) number(name string, otherwise int) int {
	if !a.has(name) {
		return otherwise
	}
	n, err := strconv.Atoi(a.named[name])
	if err != nil {
		a.fail(usage("%s is not a number: %q", name, a.named[name]))
	}
	return n
}

func (a *arguments) duration(name string, otherwise time.Duration) time.Duration {
	if !a.has(name) {
		return otherwise
	}
	d, err := time.ParseDuration(a.named[name])
	if err != nil {
		a.fail(usage("%s is not a duration: %q", name, a.named[name]))
	}
	return d
}

// word returns the n-th plain word.
func (a *arguments) word(n int) string {
	if n >= len(a.plain) {
		a.fail(usage("a word is missing after %q", strings.Join(a.plain, " ")))
		return ""
	}
	return a.plain[n]
}

// instance returns the n-th plain word as the index of an instance; scripts count from 1.
func (a *arguments) instance(n int) int { return a.index(a.word(n)) }

func (a *arguments) index(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil || n < 1 {
		a.fail(usage("%q is not the number of an instance", word))
		return 0
	}
	return n - 1
}

// among tells whether the value is in a comma-separated list; an empty list
// allows every value.
func among(list, value string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), value)
}
