package bmnote

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// Action is the kind of change that a note makes to an item.
type Action string

// Actions that a plan lists.
const (
	ActionAdd      Action = "add"
	ActionChange   Action = "change"
	ActionWithdraw Action = "withdraw"
)

// FieldChange is the value of a field before and after the change.
type FieldChange struct {
	Field  string `json:"field"`
	Before any    `json:"before,omitempty"`
	After  any    `json:"after,omitempty"`
}

// Change is the change to one item.
type Change struct {
	Item
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// Plan lists the changes that a note makes. Changes are ordered by section, then
// by name, and their fields in the order of the struct.
type Plan struct {
	Note    string   `json:"note"`
	Version int64    `json:"version"` // version to which the note is applied
	Changes []Change `json:"changes"`
}

// NewPlan returns the changes that the note makes to c, the content of the given
// version, and the resulting content. The error is an *InvalidError.
func NewPlan(c bmcatalog.Content, version int64, n *Note) (Plan, bmcatalog.Content, error) {
	next, err := Apply(c, n)
	if err != nil {
		return Plan{}, bmcatalog.Content{}, err
	}
	p := Plan{
		Note:    n.id,
		Version: version,
		Changes: []Change{},
	}
	diffSection(&p, SectionTiers, c.Tiers, next.Tiers, bmcatalog.TierName)
	diffSection(&p, SectionWorkspaces, c.Workspaces, next.Workspaces, bmcatalog.WorkspaceName)
	diffSection(&p, SectionKinds, c.Kinds, next.Kinds, bmcatalog.KindName)
	diffSection(&p, SectionPools, c.Pools, next.Pools, bmcatalog.PoolName)
	diffSection(&p, SectionTargets, c.Targets, next.Targets, bmcatalog.TargetName)
	return p, next, nil
}

// diffSection adds the changes between two lists of a section to p. Both must be
// ordered by name.
func diffSection[T any](p *Plan, s Section, before, after []T, name func(T) string) {
	addChange := func(action Action, itemName string, x, y any) {
		fields := diffFields(x, y)
		if action == ActionChange && len(fields) == 0 {
			return
		}
		p.Changes = append(p.Changes, Change{
			Item: Item{
				Section: s,
				Name:    itemName,
			},
			Action: action,
			Fields: fields,
		})
	}
	var zero T
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case j == len(after) || (i < len(before) && name(before[i]) < name(after[j])):
			addChange(ActionWithdraw, name(before[i]), zero, zero)
			i++
		case i == len(before) || name(after[j]) < name(before[i]):
			addChange(ActionAdd, name(after[j]), zero, after[j])
			j++
		default:
			addChange(ActionChange, name(after[j]), before[i], after[j])
			i++
			j++
		}
	}
}

// diffFields returns the changed fields of two structs of the same type, in the
// order of the struct. The name is left out.
func diffFields(before, after any) []FieldChange {
	x, y := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []FieldChange
	for i := range x.NumField() {
		name, _, _ := strings.Cut(x.Type().Field(i).Tag.Get("yaml"), ",")
		b, a := x.Field(i).Interface(), y.Field(i).Interface()
		if name == "name" || reflect.DeepEqual(b, a) {
			continue
		}
		change := FieldChange{
			Field: name,
		}
		if !x.Field(i).IsZero() {
			change.Before = b
		}
		if !y.Field(i).IsZero() {
			change.After = a
		}
		changes = append(changes, change)
	}
	return changes
}

var actionSigns = map[Action]string{
	ActionAdd:      "+",
	ActionChange:   "~",
	ActionWithdraw: "-",
}

// Text returns the plan in human-readable form.
func (p Plan) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "note %s on version %d: %d changes\n", p.Note, p.Version, len(p.Changes))
	for _, c := range p.Changes {
		fmt.Fprintf(&b, "%s %s\n", actionSigns[c.Action], c.Item)
		for _, f := range c.Fields {
			if c.Action == ActionAdd {
				fmt.Fprintf(&b, "    %s: %s\n", f.Field, formatValue(f.After))
				continue
			}
			fmt.Fprintf(&b, "    %s: %s -> %s\n", f.Field, formatValue(f.Before), formatValue(f.After))
		}
	}
	return b.String()
}

func formatValue(v any) string {
	if v == nil {
		return "(none)"
	}
	return fmt.Sprint(v)
}

// JSON returns the plan as indented JSON.
func (p Plan) JSON() ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetIndent("", "  ")
	if err := enc.Encode(p); err != nil {
		return nil, errors.Wrap(err, "encode plan")
	}
	return b.Bytes(), nil
}
