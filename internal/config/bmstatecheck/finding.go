package bmstatecheck

import (
	"fmt"
	"slices"
	"strconv"
)

// Severity tells what a finding means to the operator.
type Severity string

// Severities of findings.
const (
	SeverityError   Severity = "error"   // the state must not be sent
	SeverityWarning Severity = "warning" // a part has no effect, or limits contradict each other

	// Differences from the state in effect.
	SeverityAdded   Severity = "added"
	SeverityRemoved Severity = "removed"
	SeverityChanged Severity = "changed"
)

// Section is a part of the desired state.
type Section string

// Sections of the desired state. SectionState holds the fields that are in no other.
const (
	SectionState      Section = ""
	SectionLimits     Section = "limits"
	SectionRoutes     Section = "routes"
	SectionWorkspaces Section = "workspaces"
	SectionPools      Section = "pools"
)

// Field names a field within its section.
type Field string

// Fields of the desired state.
const (
	FieldName     Field = "name"
	FieldPriority Field = "priority"

	FieldVersion Field = "version"

	FieldHeaderBytes   Field = "header-bytes"
	FieldBodyBytes     Field = "body-bytes"
	FieldHeaderTimeout Field = "header-timeout"
	FieldIdleTimeout   Field = "idle-timeout"

	FieldHost        Field = "host"
	FieldPrefix      Field = "prefix"
	FieldType        Field = "type"
	FieldTimeout     Field = "timeout"
	FieldObjective   Field = "objective"
	FieldMaxPause    Field = "max-pause"
	FieldMaxAttempts Field = "max-attempts"
	FieldPublic      Field = "public"
	FieldResumable   Field = "resumable"
	FieldPool        Field = "pool"
	FieldSplit       Field = "split"

	FieldKeys          Field = "keys"
	FieldUnit          Field = "unit"
	FieldDefaultTokens Field = "default-tokens"
	FieldRate          Field = "rate"
	FieldBurst         Field = "burst"

	FieldHealthPath     Field = "health-path"
	FieldMaxConnections Field = "max-connections"
	FieldSlots          Field = "engine-slots"
	FieldCacheTokens    Field = "engine-cache-tokens"
	FieldEventTokens    Field = "engine-event-tokens"
)

// Place is the part of a desired state that a finding is about.
type Place struct {
	Section Section
	Entry   string // name of the entry, or its index if it has none; empty outside of lists
	Field   Field  // empty if the finding is about the whole entry
}

func (p Place) String() string {
	s := string(p.Section)
	if p.Entry != "" {
		s += "[" + p.Entry + "]"
	}
	switch {
	case p == Place{}:
		return "the state"
	case p.Field == "":
		return s
	case s == "":
		return string(p.Field)
	}
	return s + "." + string(p.Field)
}

// EntryLabel returns the Entry of the place of a list's entry.
func EntryLabel(name string, index int) string {
	if name == "" {
		return strconv.Itoa(index)
	}
	return name
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Place    Place
	Detail   string // may be empty for added and removed entries
}

func (f Finding) String() string {
	if f.Detail == "" {
		return fmt.Sprintf("%s %s", f.Severity, f.Place)
	}
	return fmt.Sprintf("%s %s: %s", f.Severity, f.Place, f.Detail)
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool {
		return f.Severity == SeverityError
	})
}

// findings collects the results of a check.
type findings struct {
	list []Finding
}

func (f *findings) errorf(p Place, format string, args ...any) {
	f.addf(SeverityError, p, format, args...)
}

func (f *findings) warnf(p Place, format string, args ...any) {
	f.addf(SeverityWarning, p, format, args...)
}

func (f *findings) addf(s Severity, p Place, format string, args ...any) {
	f.list = append(f.list, Finding{
		Severity: s,
		Place:    p,
		Detail:   fmt.Sprintf(format, args...),
	})
}
