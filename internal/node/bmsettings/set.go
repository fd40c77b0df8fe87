package bmsettings

import (
	"flag"
	"fmt"
	"io"
	"strings"
)

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "BASILMOOR_"

// Fault describes one wrong setting.
type Fault struct {
	Setting string `json:"setting"` // name of the flag
	Env     string `json:"env"`
	Value   string `json:"value"` // as given; masked for secrets
	Rule    string `json:"rule"`  // what a right value looks like
}

func (f Fault) String() string {
	return fmt.Sprintf("-%s (%s): value %q: %s", f.Setting, f.Env, f.Value, f.Rule)
}

// InvalidError lists all wrong settings.
type InvalidError struct {
	Faults []Fault
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return "invalid settings:\n  " + strings.Join(lines, "\n  ")
}

// setting is one declared setting.
type setting struct {
	name   string
	def    string
	usage  string
	rule   rule
	secret bool
	raw    string
	assign func(value string) bool
}

func (s *setting) env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.name, "-", "_"))
}

// Set is the settings of one subcommand.
type Set struct {
	name     string
	synopsis string
	flags    *flag.FlagSet
	settings []*setting
}

// NewSet returns an empty set for the named subcommand. The synopsis is the
// first line of its help.
func NewSet(name, synopsis string) *Set {
	s := &Set{
		name:     name,
		synopsis: synopsis,
		flags:    flag.NewFlagSet(name, flag.ContinueOnError),
	}
	s.flags.Usage = s.usage
	return s
}

// Parse reads args and the environment and checks every setting. The error is
// an *InvalidError, flag.ErrHelp, or the flag package's error for an unknown
// flag. It returns the arguments that are not flags.
func (s *Set) Parse(args []string, lookup func(string) (string, bool), stderr io.Writer) ([]string, error) {
	s.flags.SetOutput(stderr)
	if err := s.flags.Parse(args); err != nil {
		return nil, err
	}
	given := make(map[string]bool)
	s.flags.Visit(func(f *flag.Flag) { given[f.Name] = true })

	var faults []Fault
	for _, t := range s.settings {
		value := t.raw
		if v, ok := lookup(t.env()); ok && !given[t.name] {
			value = v
		}
		if !t.assign(value) {
			faults = append(faults, t.fault(value))
		}
	}
	if len(faults) > 0 {
		return nil, &InvalidError{
			Faults: faults,
		}
	}
	return s.flags.Args(), nil
}

func (s *setting) fault(value string) Fault {
	if s.secret && value != "" {
		value = "(hidden)"
	}
	return Fault{
		Setting: s.name,
		Env:     s.env(),
		Value:   value,
		Rule:    s.rule.text,
	}
}

// Table returns the settings as a Markdown table, for the operators' page.
func (s *Set) Table() string {
	var b strings.Builder
	b.WriteString("| flag | environment | default | meaning | rule |\n|---|---|---|---|---|\n")
	for _, t := range s.settings {
		fmt.Fprintf(&b, "| `-%s` | `%s` | `%s` | %s | %s |\n", t.name, t.env(), t.def, t.usage, t.rule.text)
	}
	return b.String()
}

func (s *Set) usage() {
	w := s.flags.Output()
	fmt.Fprintf(w, "usage: basilmoor %s\n\n%s\n", s.name, s.synopsis)
	if len(s.settings) == 0 {
		return
	}
	fmt.Fprintf(w, "\nEach flag can also be set by its environment variable. A flag goes first.\n\n")
	for _, t := range s.settings {
		fmt.Fprintf(w, "  -%s VALUE\n      %s: %s\n      environment %s", t.name, t.usage, t.rule.text, t.env())
		if t.def != "" {
			fmt.Fprintf(w, ", default %s", t.def)
		}
		fmt.Fprintln(w)
	}
}

func (s *Set) add(name, def, usage string, r rule, secret bool, assign func(string) bool) {
	t := &setting{
		name:   name,
		def:    def,
		usage:  usage,
		rule:   r,
		secret: secret,
		raw:    def,
		assign: assign,
	}
	s.settings = append(s.settings, t)
	s.flags.StringVar(&t.raw, name, def, usage)
}

// boolSetting lets a Boolean flag stand without a value.
type boolSetting struct{ raw *string }

func (b boolSetting) String() string {
	if b.raw == nil {
		return ""
	}
	return *b.raw
}

func (b boolSetting) Set(v string) error {
	*b.raw = v
	return nil
}

func (b boolSetting) IsBoolFlag() bool { return true }
