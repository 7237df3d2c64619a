package ctl

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

func readPage(t *testing.T, name string) string {
	data, err := os.ReadFile("../../docs/" + name)
	is.New(t).NoErr(err)
	return string(data)
}

// executableCommands returns the commands without subcommands by their full names.
func executableCommands(prefix string, commands []*flags.Command) map[string]*flags.Command {
	found := map[string]*flags.Command{}
	for _, c := range commands {
		name := strings.TrimSpace(prefix + " " + c.Name)
		if len(c.Commands()) == 0 {
			found[name] = c
		}
		for inner, command := range executableCommands(name, c.Commands()) {
			found[inner] = command
		}
	}
	return found
}

// Guards against commands, options and variables that the docs leave out, and
// against documented ones that do not exist.
func TestCommandDocs(t *testing.T) {
	is := is.New(t)
	page := readPage(t, "arbutusctl.md")
	a := &app{}
	parser := a.newParser()
	commands := executableCommands("", parser.Commands())
	rows := map[string]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z -]+)` \\|([^|]*)\\|").FindAllStringSubmatch(page, -1) {
		if !strings.HasPrefix(m[1], "--") {
			rows[m[1]] = m[2]
		}
	}
	is.Equal(len(rows), len(commands))
	common := map[string]bool{"version": true, "dry-run": true, "wait": true}
	for name, command := range commands {
		row, ok := rows[name]
		is.True(ok) // a command is not described
		var options int
		for _, o := range command.Options() {
			if common[o.LongName] {
				continue
			}
			options++
			is.True(strings.Contains(row, "`--"+o.LongName+"`")) // an option is not described
		}
		is.Equal(strings.Count(row, "`--"), options)
	}
	for _, group := range parser.Groups() {
		for _, o := range group.Options() {
			if o.LongName != "help" {
				is.True(strings.Contains(page, "| `--"+o.LongName+"` |"))
			}
			is.True(o.EnvDefaultKey == "" || strings.Contains(page, "`"+o.EnvDefaultKey+"`"))
		}
	}
	for code := ExitOK; code <= ExitUnknown; code++ {
		is.True(strings.Contains(page, "\n| "+string(rune('0'+code))+" | "))
	}
}

// Guards against example commands that arbutusctl does not accept.
func TestExampleCommands(t *testing.T) {
	for _, name := range []string{"arbutusctl.md", "configuration.md", "operators.md", "../README.md"} {
		for _, m := range regexp.MustCompile(`(?m)^ {4,}(?:.*\| )?(?:bin/)?arbutusctl (.*)$`).FindAllStringSubmatch(readPage(t, name), -1) {
			is := is.New(t)
			parser := (&app{}).newParser()
			parser.CommandHandler = func(flags.Commander, []string) error { return nil }
			args := strings.Fields(strings.NewReplacer("$VERSION", "1").Replace(m[1]))
			_, err := parser.ParseArgs(args)
			is.NoErr(err) // an example is wrong
		}
	}
}

// Guards against configuration examples that the fleet would refuse. Each
// section begins with an empty configuration and applies its patches in order.
func TestConfigurationExamples(t *testing.T) {
	is := is.New(t)
	page := readPage(t, "configuration.md")
	sections := strings.Split(page, "\n## ")[1:]
	is.Equal(len(sections), 2)
	for _, section := range sections {
		c := config.Empty()
		patches := regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(section, -1)
		is.Equal(len(patches), 2)
		for _, patch := range patches {
			next, err := c.Apply(config.MergePatchType, []byte(patch[1]))
			is.NoErr(err)
			differences, err := config.Diff(c, next)
			is.NoErr(err)
			is.True(len(differences) > 0)
			c = next
		}
	}
}

// Guards against fields of the configuration that the docs leave out, and
// against documented ones that do not exist.
func TestConfigurationFields(t *testing.T) {
	is := is.New(t)
	described := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_.ID0-9]+)` \\|").FindAllStringSubmatch(readPage(t, "configuration.md"), -1) {
		described[m[1]] = true
	}
	count := 0
	var visit func(path string, v reflect.Type)
	visit = func(path string, v reflect.Type) {
		switch {
		case v.Kind() == reflect.Map:
			visit(path+".ID", v.Elem())
		case v.Kind() == reflect.Struct && v.NumField() > 0 && v != reflect.TypeFor[time.Time]():
			for i := range v.NumField() {
				name, _, _ := strings.Cut(v.Field(i).Tag.Get("json"), ",")
				if name == "-" { // not in documents
					continue
				}
				visit(strings.TrimPrefix(path+"."+name, "."), v.Field(i).Type)
			}
		default:
			count++
			is.True(described[path]) // docs/configuration.md lacks a field
		}
	}
	visit("", reflect.TypeFor[config.Config]())
	is.Equal(len(described), count)
}
