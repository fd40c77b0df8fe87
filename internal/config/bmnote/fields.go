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

// mappingField is a key of a YAML mapping and its value.
type mappingField struct {
	name  string
	line  int
	value *yaml.Node
}

// parseMapping returns the fields of a mapping in order. It reports duplicate
// keys and keeps the first. It returns false if n is not a mapping.
func (p *parser) parseMapping(n *yaml.Node, path string) ([]mappingField, bool) {
	if n.Kind != yaml.MappingNode {
		p.addf(n.Line, path, RuleType, "a mapping is expected")
		return nil, false
	}
	seen := make(map[string]bool)
	fields := make([]mappingField, 0, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if key.Kind != yaml.ScalarNode {
			p.addf(key.Line, path, RuleType, "field names must be plain text")
			continue
		}
		if seen[key.Value] {
			p.addf(key.Line, path+"."+pathSegment(key.Value), RuleDuplicateField, "the field is given twice")
			continue
		}
		seen[key.Value] = true
		fields = append(fields, mappingField{
			name:  key.Value,
			line:  key.Line,
			value: n.Content[i+1],
		})
	}
	return fields, true
}

// fieldNamePattern matches field names that appear unquoted in paths.
var fieldNamePattern = regexp.MustCompile(`^[a-z-]{1,40}$`)

// pathSegment returns a field name for use in a path, quoted if it doesn't match
// fieldNamePattern.
func pathSegment(name string) string {
	if fieldNamePattern.MatchString(name) {
		return name
	}
	return strconv.Quote(name)
}

// expectSequence reports a fault and returns false if n is not a sequence.
func (p *parser) expectSequence(n *yaml.Node, path string) bool {
	if n.Kind != yaml.SequenceNode {
		p.addf(n.Line, path, RuleType, "a list is expected")
		return false
	}
	return true
}

// requireFields reports a fault for each name that is not among fields.
func (p *parser) requireFields(fields []mappingField, line int, names ...string) {
	for _, name := range names {
		found := false
		for _, f := range fields {
			found = found || f.name == name
		}
		if !found {
			p.addf(line, name, RuleMissing, "the field is required")
		}
	}
}

// decodeStrict decodes a scalar or a list of scalars. Unlike the yaml library, it
// does not convert numbers to text, and does not accept null as a value.
func (p *parser) decodeStrict(n *yaml.Node, path string, into any) bool {
	want := reflect.TypeOf(into).Elem()
	if want.Kind() == reflect.Slice {
		if !p.expectSequence(n, path) {
			return false
		}
		for _, c := range n.Content {
			if !p.checkScalar(c, path, want.Elem()) {
				return false
			}
		}
	} else if !p.checkScalar(n, path, want) {
		return false
	}
	if err := n.Decode(into); err != nil {
		p.addf(n.Line, path, RuleType, "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return false
	}
	return true
}

// scalarTags maps a field's type to the YAML tag that it accepts and to the
// description of the type in messages.
var scalarTags = map[reflect.Kind]struct{ tag, description string }{
	reflect.String: {
		tag:         "!!str",
		description: "text",
	},
	reflect.Int: {
		tag:         "!!int",
		description: "a whole number",
	},
	reflect.Int64: {
		tag:         "!!int",
		description: "a whole number",
	},
	reflect.Bool: {
		tag:         "!!bool",
		description: "true or false",
	},
}

// checkScalar reports a fault and returns false if n is not a scalar of the wanted
// type.
func (p *parser) checkScalar(n *yaml.Node, path string, want reflect.Type) bool {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		p.addf(n.Line, path, RuleMissing, "the field has no value")
		return false
	}
	expected := scalarTags[want.Kind()]
	if n.Kind != yaml.ScalarNode || n.Tag != expected.tag {
		p.addf(n.Line, path, RuleType, "%s is expected", expected.description)
		return false
	}
	if want.Kind() == reflect.String && !isPrintable(n.Value) {
		p.addf(n.Line, path, RuleValue, "text must consist of printable characters")
		return false
	}
	return true
}

// isPrintable reports whether s consists of printable characters. This also
// excludes characters that YAML doesn't allow, so that the canonical form can be
// parsed again.
func isPrintable(s string) bool {
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

// fieldPointers returns pointers to the fields of a struct, keyed by the names in
// their yaml tags.
func fieldPointers(structPointer any) map[string]any {
	v := reflect.ValueOf(structPointer).Elem()
	pointers := make(map[string]any, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		pointers[name] = v.Field(i).Addr().Interface()
	}
	return pointers
}
