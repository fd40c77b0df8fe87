package bmnote

import (
	"fmt"
	"slices"
	"strings"
)

// Rule is the rule that a fault violates.
type Rule string

// Rules that a note must satisfy.
const (
	RuleSyntax           Rule = "syntax"
	RuleTooLarge         Rule = "too-large"
	RuleSchema           Rule = "schema"
	RuleUnknownField     Rule = "unknown-field"
	RuleDuplicateField   Rule = "duplicate-field"
	RuleMissing          Rule = "missing"
	RuleType             Rule = "type"
	RuleValue            Rule = "value"
	RuleDuplicate        Rule = "duplicate"
	RuleAlreadyPresent   Rule = "already-present"
	RuleAbsent           Rule = "absent"
	RuleDangling         Rule = "dangling"
	RuleInUse            Rule = "in-use"
	RuleKindUnserved     Rule = "kind-unserved"
	RuleEmpty            Rule = "empty"
	RuleBaseVersionAhead Rule = "base-version-ahead"
)

// Fault is one reason why a note can't be accepted.
type Fault struct {
	Line   int    `json:"line"`  // line in the note, from 1
	Path   string `json:"field"` // such as added.targets[2].slots
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s: %s", f.Line, f.Path, f.Rule, f.Detail)
}

// InvalidError reports all faults of a note, ordered by line.
type InvalidError struct {
	Faults []Fault
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("invalid release note, %d faults:\n%s", len(e.Faults), strings.Join(lines, "\n"))
}

// faults collects the faults of a note. err keeps only the first of several
// faults with the same line, path and rule.
type faults struct {
	list []Fault
}

func (f *faults) addf(line int, path string, rule Rule, format string, args ...any) {
	f.list = append(f.list, Fault{
		Line:   max(line, 1),
		Path:   path,
		Rule:   rule,
		Detail: fmt.Sprintf(format, args...),
	})
}

// err returns an *InvalidError with the sorted faults, or nil if there are none.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	list := slices.Clone(f.list)
	slices.SortStableFunc(list, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		if c := strings.Compare(a.Path, b.Path); c != 0 {
			return c
		}
		return strings.Compare(string(a.Rule), string(b.Rule))
	})
	list = slices.CompactFunc(list, func(a, b Fault) bool {
		return a.Line == b.Line && a.Path == b.Path && a.Rule == b.Rule
	})
	return &InvalidError{
		Faults: list,
	}
}
