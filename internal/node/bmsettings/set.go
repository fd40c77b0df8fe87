package bmsettings

import (
	"flag"
	"fmt"
	"io"
	"strings"
)

// EnvPrefix is the prefix of the names of all environment variables.
const EnvPrefix = "BASILMOOR_"

// InvalidSetting describes one invalid setting.
type InvalidSetting struct {
	Setting string `json:"setting"` // name of the flag
	Env     string `json:"env"`
	Value   string `json:"value"` // as given; "(hidden)" for a secret that is not empty
	Rule    string `json:"rule"`  // description of valid values
}

func (f InvalidSetting) String() string {
	return fmt.Sprintf("-%s (%s): value %q: %s", f.Setting, f.Env, f.Value, f.Rule)
}

// InvalidError lists all invalid settings.
type InvalidError struct {
	Settings []InvalidSetting
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Settings))
	for _, f := range e.Settings {
		lines = append(lines, f.String())
	}
	return "invalid settings:\n  " + strings.Join(lines, "\n  ")
}

// setting is one declared setting and its value before validation.
type setting struct {
	name         string
	defaultValue string
	usage        string
	rule         rule
	isSecret     bool
	raw          string
	parse        func(value string) bool
}

func (s *setting) env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.name, "-", "_"))
}

// FlagSet is the settings of one subcommand.
type FlagSet struct {
	name     string
	synopsis string
	flags    *flag.FlagSet
	settings []*setting
}

// NewSet returns an empty set for the named subcommand. The help shows the
// synopsis below the usage line.
func NewSet(name, synopsis string) *FlagSet {
	s := &FlagSet{
		name:     name,
		synopsis: synopsis,
		flags:    flag.NewFlagSet(name, flag.ContinueOnError),
	}
	s.flags.Usage = s.usage
	return s
}

// Parse reads args and the environment, validates every setting and returns
// the arguments that are not flags. The error is an *InvalidError,
// flag.ErrHelp, or the error of the flag package for an unknown flag.
func (s *FlagSet) Parse(args []string, lookup func(string) (string, bool), stderr io.Writer) ([]string, error) {
	s.flags.SetOutput(stderr)
	if err := s.flags.Parse(args); err != nil {
		return nil, err
	}
	setByFlag := make(map[string]bool)
	s.flags.Visit(func(f *flag.Flag) { setByFlag[f.Name] = true })

	var invalid []InvalidSetting
	for _, st := range s.settings {
		value := st.raw
		if v, ok := lookup(st.env()); ok && !setByFlag[st.name] {
			value = v
		}
		if !st.parse(value) {
			invalid = append(invalid, st.invalid(value))
		}
	}
	if len(invalid) > 0 {
		return nil, &InvalidError{
			Settings: invalid,
		}
	}
	return s.flags.Args(), nil
}

func (s *setting) invalid(value string) InvalidSetting {
	if s.isSecret && value != "" {
		value = "(hidden)"
	}
	return InvalidSetting{
		Setting: s.name,
		Env:     s.env(),
		Value:   value,
		Rule:    s.rule.description,
	}
}

// Table returns the settings as a Markdown table for the operations page.
func (s *FlagSet) Table() string {
	var b strings.Builder
	b.WriteString("| flag | environment | default | meaning | rule |\n|---|---|---|---|---|\n")
	for _, st := range s.settings {
		fmt.Fprintf(&b, "| `-%s` | `%s` | `%s` | %s | %s |\n", st.name, st.env(), st.defaultValue, st.usage, st.rule.description)
	}
	return b.String()
}

func (s *FlagSet) usage() {
	w := s.flags.Output()
	fmt.Fprintf(w, "usage: basilmoor %s\n\n%s\n", s.name, s.synopsis)
	if len(s.settings) == 0 {
		return
	}
	fmt.Fprintf(w, "\nEach flag can also be set by its environment variable. A flag takes precedence.\n\n")
	for _, st := range s.settings {
		fmt.Fprintf(w, "  -%s VALUE\n      %s: %s\n      environment %s", st.name, st.usage, st.rule.description, st.env())
		if st.defaultValue != "" {
			fmt.Fprintf(w, ", default %s", st.defaultValue)
		}
		fmt.Fprintln(w)
	}
}

func (s *FlagSet) add(name, def, usage string, r rule, isSecret bool, parse func(string) bool) {
	st := &setting{
		name:         name,
		defaultValue: def,
		usage:        usage,
		rule:         r,
		isSecret:     isSecret,
		raw:          def,
		parse:        parse,
	}
	s.settings = append(s.settings, st)
	s.flags.StringVar(&st.raw, name, def, usage)
}

// boolFlag implements the flag package's boolean flags, which may be given
// without a value, for a setting that is stored as text.
type boolFlag struct{ raw *string }

func (b boolFlag) String() string {
	if b.raw == nil {
		return ""
	}
	return *b.raw
}

func (b boolFlag) Set(v string) error {
	*b.raw = v
	return nil
}

func (b boolFlag) IsBoolFlag() bool { return true }
