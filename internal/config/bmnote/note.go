package bmnote

import (
	"go.yaml.in/yaml/v3"
)

// Schema is the version of the format.
const Schema = 1

// MaxBytes bounds a note. The store keeps it in one value of at most 1 MB.
const MaxBytes = 768 << 10

// Section names a list of the configuration.
type Section string

// Sections, in the order of plans.
const (
	SectionTiers      Section = "tiers"
	SectionWorkspaces Section = "workspaces"
	SectionKinds      Section = "kinds"
	SectionPools      Section = "pools"
	SectionTargets    Section = "targets"
)

// Sections lists all sections.
var Sections = []Section{SectionTiers, SectionWorkspaces, SectionKinds, SectionPools, SectionTargets}

// singular is the name of one item in plans and messages.
var singular = map[Section]string{
	SectionTiers:      "tier",
	SectionWorkspaces: "workspace",
	SectionKinds:      "kind",
	SectionPools:      "pool",
	SectionTargets:    "target",
}

// Note is a parsed release note.
type Note struct {
	id          string
	baseVersion int64
	baseLine    int
	added       map[Section][]item
	changed     map[Section][]item
	withdrawn   map[Section][]item
	canonical   []byte
	digest      string
}

// item is one entry of a section.
type item struct {
	name   string
	line   int
	path   string
	fields map[string]itemField // fields that are given
}

// itemField is one field of an item.
type itemField struct {
	line  int
	value *yaml.Node
	bad   bool // a fault of the value is already reported
}

// fieldLine returns the line of a field, or of the item if it is not given.
func (i item) fieldLine(field string) int {
	if f, ok := i.fields[field]; ok {
		return f.line
	}
	return i.line
}

// hasBadField reports whether a value could not be read.
func (i item) hasBadField() bool {
	for _, f := range i.fields {
		if f.bad {
			return true
		}
	}
	return false
}

// ID identifies the note.
func (n *Note) ID() string { return n.id }

// BaseVersion is the version for which the note was written, 0 for none.
func (n *Note) BaseVersion() int64 { return n.baseVersion }

// Canonical returns the note as JSON with ordered fields. It parses to the
// same note. The caller must not change it.
func (n *Note) Canonical() []byte { return n.canonical }

// Digest is the lower-case hexadecimal SHA-256 of Canonical.
func (n *Note) Digest() string { return n.digest }

// Item identifies one entry of the configuration.
type Item struct {
	Section Section `json:"section"`
	Name    string  `json:"name"`
}

func (i Item) String() string {
	if i == (Item{}) {
		return "unknown items"
	}
	return singular[i.Section] + " " + i.Name
}

// Touched returns every item that the note adds, changes or withdraws, ordered
// by section and then as in the note.
func (n *Note) Touched() []Item {
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
