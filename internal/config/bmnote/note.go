package bmnote

import (
	"go.yaml.in/yaml/v3"
)

// Schema is the supported version of the release note format.
const Schema = 1

// MaxBytes is the maximum size of a note. The store keeps a note in one value of
// at most 1 MB.
const MaxBytes = 768 << 10

// Section is the name of a list in the configuration.
type Section string

// Sections of the configuration, in the order in which plans list them.
const (
	SectionTiers      Section = "tiers"
	SectionWorkspaces Section = "workspaces"
	SectionKinds      Section = "kinds"
	SectionPools      Section = "pools"
	SectionTargets    Section = "targets"
)

// Sections lists all sections, in the order in which plans list them.
var Sections = []Section{SectionTiers, SectionWorkspaces, SectionKinds, SectionPools, SectionTargets}

// itemNouns maps a section to the noun for one of its items in plans and
// messages.
var itemNouns = map[Section]string{
	SectionTiers:      "tier",
	SectionWorkspaces: "workspace",
	SectionKinds:      "kind",
	SectionPools:      "pool",
	SectionTargets:    "target",
}

// Note is a parsed release note.
type Note struct {
	id              string
	baseVersion     int64
	baseVersionLine int
	added           map[Section][]item
	changed         map[Section][]item
	withdrawn       map[Section][]item
	canonical       []byte
	digest          string
}

// item is an entry that the note adds, changes or withdraws.
type item struct {
	name   string
	line   int
	path   string
	fields map[string]itemField // fields that the note sets, by name
}

// itemField is a field that the note sets.
type itemField struct {
	line    int
	value   *yaml.Node
	invalid bool // a fault in the value was already reported
}

// fieldLine returns the line of a field, or of the item if the note does not set
// the field.
func (i item) fieldLine(field string) int {
	if f, ok := i.fields[field]; ok {
		return f.line
	}
	return i.line
}

// hasInvalidField reports whether the value of any field could not be decoded.
func (i item) hasInvalidField() bool {
	for _, f := range i.fields {
		if f.invalid {
			return true
		}
	}
	return false
}

// ID returns the ID that the note gives itself.
func (n *Note) ID() string { return n.id }

// BaseVersion returns the configuration version for which the note was written,
// or 0 if the note does not name one.
func (n *Note) BaseVersion() int64 { return n.baseVersion }

// Canonical returns the note as JSON with sorted keys, which parses to the same
// note. The caller must not modify it.
func (n *Note) Canonical() []byte { return n.canonical }

// Digest returns the lower-case hexadecimal SHA-256 of Canonical.
func (n *Note) Digest() string { return n.digest }

// Item identifies an entry of the configuration.
type Item struct {
	Section Section `json:"section"`
	Name    string  `json:"name"`
}

func (i Item) String() string {
	if i == (Item{}) {
		return "unknown items"
	}
	return itemNouns[i.Section] + " " + i.Name
}

// AffectedItems returns all items that the note adds, changes or withdraws,
// ordered by section. Within a section, added items come first, then changed
// and withdrawn ones, each in the order of the note.
func (n *Note) AffectedItems() []Item {
	var items []Item
	for _, s := range Sections {
		for _, list := range [][]item{n.added[s], n.changed[s], n.withdrawn[s]} {
			for _, i := range list {
				items = append(items, Item{
					Section: s,
					Name:    i.name,
				})
			}
		}
	}
	return items
}
