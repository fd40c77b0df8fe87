package bmstatecheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

// keyDigestLength is the number of hexadecimal digits that identify a key in
// findings.
const keyDigestLength = 8

// fieldValue is the printable value of a field.
type fieldValue struct {
	field Field
	value string
}

// item is an entry of a section in printable form.
type item struct {
	name   string
	fields []fieldValue
}

// Compare returns an error if next can't follow the state in effect, and what differs
// between the two, by section: first the changed and added entries in the order of
// next, then the removed ones.
func Compare(inEffect, next State) []Finding {
	var f findings
	if next.Version <= inEffect.Version {
		f.errorf(Place{
			Field: FieldVersion,
		}, "%d is not higher than %d, the version in effect", next.Version, inEffect.Version)
	}
	diffFields(&f, Place{
		Section: SectionLimits,
	}, limitFields(inEffect.Limits), limitFields(next.Limits))
	diffSection(&f, SectionRoutes, itemsOf(inEffect.Routes, routeItem), itemsOf(next.Routes, routeItem))
	diffSection(&f, SectionPools, itemsOf(inEffect.Pools, poolItem), itemsOf(next.Pools, poolItem))
	diffSection(&f, SectionWorkspaces, itemsOf(inEffect.Workspaces, workspaceItem), itemsOf(next.Workspaces, workspaceItem))
	diffKeys(&f, inEffect.Workspaces, next.Workspaces)
	return f.list
}

func itemsOf[T any](entries []T, newItem func(T) item) []item {
	items := make([]item, 0, len(entries))
	for _, e := range entries {
		items = append(items, newItem(e))
	}
	return items
}

func diffSection(f *findings, s Section, before, after []item) {
	old := make(map[string]item, len(before))
	for _, i := range before {
		old[i.name] = i
	}
	kept := make(map[string]bool, len(after))
	for _, i := range after {
		p := Place{
			Section: s,
			Entry:   i.name,
		}
		if b, ok := old[i.name]; ok {
			diffFields(f, p, b.fields, i.fields)
		} else {
			f.addf(SeverityAdded, p, "")
		}
		kept[i.name] = true
	}
	for _, i := range before {
		if !kept[i.name] {
			f.addf(SeverityRemoved, Place{
				Section: s,
				Entry:   i.name,
			}, "")
		}
	}
}

// diffFields reports the fields whose values differ. Both lists hold the same fields.
func diffFields(f *findings, p Place, before, after []fieldValue) {
	for i, a := range after {
		if b := before[i]; b.value != a.value {
			p.Field = a.field
			f.addf(SeverityChanged, p, "%s -> %s", orNone(b.value), orNone(a.value))
		}
	}
}

// diffKeys reports keys that workspaces in both states gain or lose, by their digests.
func diffKeys(f *findings, before, after []bmrouting.Workspace) {
	old := make(map[string][]string, len(before))
	for _, w := range before {
		old[w.Name] = w.Keys
	}
	for _, w := range after {
		keys, ok := old[w.Name]
		if !ok {
			continue
		}
		changes := keyChanges(keys, w.Keys)
		if len(changes) > 0 {
			f.addf(SeverityChanged, Place{
				Section: SectionWorkspaces,
				Entry:   w.Name,
				Field:   FieldKeys,
			}, "%d -> %d keys: %s", len(keys), len(w.Keys), strings.Join(changes, " "))
		}
	}
}

func keyChanges(before, after []string) []string {
	var changes []string
	for _, k := range after {
		if !slices.Contains(before, k) {
			changes = append(changes, "+"+keyDigest(k))
		}
	}
	for _, k := range before {
		if !slices.Contains(after, k) {
			changes = append(changes, "-"+keyDigest(k))
		}
	}
	return changes
}

// keyDigest identifies a key without showing it.
func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])[:keyDigestLength]
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

func limitFields(l bmrouting.Limits) []fieldValue {
	return []fieldValue{
		newFieldValue(FieldHeaderBytes, l.HeaderBytes),
		newFieldValue(FieldBodyBytes, l.BodyBytes),
		newFieldValue(FieldHeaderTimeout, l.HeaderTimeout),
		newFieldValue(FieldIdleTimeout, l.IdleTimeout),
	}
}

func routeItem(r Route) item {
	return item{
		name: r.Name,
		fields: []fieldValue{
			newFieldValue(FieldHost, r.Host),
			newFieldValue(FieldPrefix, r.Prefix),
			newFieldValue(FieldType, string(r.Type)),
			newFieldValue(FieldTimeout, r.Timeout),
			newFieldValue(FieldObjective, r.Objective),
			newFieldValue(FieldMaxPause, r.MaxPause),
			newFieldValue(FieldMaxAttempts, r.MaxAttempts),
			newFieldValue(FieldPriority, r.Priority),
			newFieldValue(FieldPublic, r.Public),
			newFieldValue(FieldResumable, r.Resumable),
			newFieldValue(FieldPool, r.Pool),
			newFieldValue(FieldSplit, splitText(r.Split)),
		},
	}
}

func splitText(split []bmrouting.WeightedPool) string {
	parts := make([]string, 0, len(split))
	for _, s := range split {
		parts = append(parts, s.Pool+":"+formatFloat(s.Weight))
	}
	return strings.Join(parts, ",")
}

func poolItem(p bmrouting.Pool) item {
	engine := bmrouting.Engine{} // all zero in a pool without engines
	if p.Engine != nil {
		engine = *p.Engine
	}
	return item{
		name: p.Name,
		fields: []fieldValue{
			newFieldValue(FieldHealthPath, p.HealthPath),
			newFieldValue(FieldMaxConnections, p.MaxConnections),
			newFieldValue(FieldSlots, engine.Slots),
			newFieldValue(FieldCacheTokens, engine.CacheTokens),
			newFieldValue(FieldEventTokens, engine.EventTokens),
		},
	}
}

// workspaceItem leaves the keys out.
func workspaceItem(w bmrouting.Workspace) item {
	unit := "tokens"
	if w.Quota.PerRequest {
		unit = "requests"
	}
	return item{
		name: w.Name,
		fields: []fieldValue{
			newFieldValue(FieldPriority, w.Rank),
			newFieldValue(FieldUnit, unit),
			newFieldValue(FieldDefaultTokens, w.Quota.DefaultTokens),
			newFieldValue(FieldRate, w.Quota.Rate),
			newFieldValue(FieldBurst, w.Quota.Burst),
		},
	}
}

func newFieldValue(f Field, value any) fieldValue {
	v := fieldValue{
		field: f,
	}
	switch x := value.(type) {
	case string:
		v.value = x
	case float64:
		v.value = formatFloat(x)
	default:
		v.value = fmt.Sprint(x)
	}
	return v
}

// formatFloat formats x without an exponent.
func formatFloat(x float64) string {
	return strconv.FormatFloat(x, 'f', -1, 64)
}
