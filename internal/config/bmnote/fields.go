package bmnote

import (
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

// field is one entry of a mapping.
type field struct {
	name  string
	line  int
	value *yaml.Node
}

// mapping returns the fields of a mapping in order, without repeated ones.
func (p *parser) mapping(n *yaml.Node, path string) ([]field, bool) {
	if n.Kind != yaml.MappingNode {
		p.add(n.Line, path, RuleType, "a mapping is expected")
		return nil, false
	}
	seen := make(map[string]bool)
	fields := make([]field, 0, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if key.Kind != yaml.ScalarNode {
			p.add(key.Line, path, RuleType, "field names must be plain text")
			continue
		}
		if seen[key.Value] {
			p.add(key.Line, path+"."+label(key.Value), RuleDuplicateField, "the field is given twice")
			continue
		}
		seen[key.Value] = true
		fields = append(fields, field{
			name:  key.Value,
			line:  key.Line,
			value: n.Content[i+1],
		})
	}
	return fields, true
}

// fieldNamePattern matches the names of this format.
var fieldNamePattern = regexp.MustCompile(`^[a-z-]{1,40}$`)

// label returns a field name for use in a path, quoted if it is unusual.
func label(name string) string {
	if fieldNamePattern.MatchString(name) {
		return name
	}
	return strconv.Quote(name)
}

func (p *parser) sequence(n *yaml.Node, path string) bool {
	if n.Kind != yaml.SequenceNode {
		p.add(n.Line, path, RuleType, "a list is expected")
		return false
	}
	return true
}

func (p *parser) require(fields []field, line int, names ...string) {
	for _, name := range names {
		found := false
		for _, f := range fields {
			found = found || f.name == name
		}
		if !found {
			p.add(line, name, RuleMissing, "the field is required")
		}
	}
}

// decode reads a scalar or a list of scalars. It is strict where the yaml
// library converts: text must not be a number, and null is not a value.
func (p *parser) decode(n *yaml.Node, path string, into any) bool {
	want := reflect.TypeOf(into).Elem()
	if want.Kind() == reflect.Slice {
		if !p.sequence(n, path) {
			return false
		}
		for _, c := range n.Content {
			if !p.scalar(c, path, want.Elem()) {
				return false
			}
		}
	} else if !p.scalar(n, path, want) {
		return false
	}
	if err := n.Decode(into); err != nil {
		p.add(n.Line, path, RuleType, "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return false
	}
	return true
}

// scalarTags are the tags that a kind of field accepts.
var scalarTags = map[reflect.Kind]struct{ tag, word string }{
	reflect.String: {
		tag:  "!!str",
		word: "text",
	},
	reflect.Int: {
		tag:  "!!int",
		word: "a whole number",
	},
	reflect.Int64: {
		tag:  "!!int",
		word: "a whole number",
	},
	reflect.Bool: {
		tag:  "!!bool",
		word: "true or false",
	},
}

func (p *parser) scalar(n *yaml.Node, path string, want reflect.Type) bool {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		p.add(n.Line, path, RuleMissing, "the field has no value")
		return false
	}
	expected := scalarTags[want.Kind()]
	if n.Kind != yaml.ScalarNode || n.Tag != expected.tag {
		p.add(n.Line, path, RuleType, "%s is expected", expected.word)
		return false
	}
	if want.Kind() == reflect.String && !printable(n.Value) {
		p.add(n.Line, path, RuleValue, "text must consist of printable characters")
		return false
	}
	return true
}

// printable also keeps out what YAML doesn't allow in text, so that the
// canonical form can be parsed.
func printable(s string) bool {
	if !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// fieldPointers returns pointers to the fields of a struct by their names in
// the format.
func fieldPointers(structPointer any) map[string]any {
	v := reflect.ValueOf(structPointer).Elem()
	pointers := make(map[string]any, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		pointers[name] = v.Field(i).Addr().Interface()
	}
	return pointers
}
