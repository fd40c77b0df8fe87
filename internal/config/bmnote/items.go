package bmnote

import (
	"net/netip"
	"regexp"
	"strings"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// checkItems checks the values of every item that the note adds or changes.
func (a *applier) checkItems(c bmcatalog.Content) {
	eachGiven(a, SectionTiers, c.Tiers, bmcatalog.TierName, (*itemCheck).tier)
	eachGiven(a, SectionWorkspaces, c.Workspaces, bmcatalog.WorkspaceName, (*itemCheck).workspace)
	eachGiven(a, SectionKinds, c.Kinds, bmcatalog.KindName, (*itemCheck).kind)
	eachGiven(a, SectionPools, c.Pools, bmcatalog.PoolName, (*itemCheck).pool)
	eachGiven(a, SectionTargets, c.Targets, bmcatalog.TargetName, (*itemCheck).target)
}

func eachGiven[T any](a *applier, s Section, items []T, name func(T) string, check func(*itemCheck, T)) {
	for _, i := range items {
		if it, ok := a.given[Item{
			Section: s,
			Name:    name(i),
		}]; ok {
			check(&itemCheck{
				faults: &a.faults,
				item:   it,
			}, i)
		}
	}
}

// itemCheck checks the values of one item.
type itemCheck struct {
	faults *faults
	item   item
}

func (c *itemCheck) bad(field string, rule Rule, format string, args ...any) {
	if c.item.fields[field].bad {
		return
	}
	c.faults.add(c.item.fieldLine(field), c.item.path+"."+field, rule, format, args...)
}

func (c *itemCheck) required(field, value string) bool {
	if value == "" {
		c.bad(field, RuleMissing, "the field is required")
		return false
	}
	return true
}

func (c *itemCheck) atLeast(field string, value, least int) {
	_, given := c.item.fields[field]
	if value == 0 && least > 0 && !given {
		c.bad(field, RuleMissing, "the field is required")
		return
	}
	if value < least {
		c.bad(field, RuleValue, "must be at least %d", least)
	}
}

func (c *itemCheck) name(field, value string) {
	if value != "" && !namePattern.MatchString(value) {
		c.bad(field, RuleValue, "%q is not a name", value)
	}
}

// word checks a value that is free but for blanks.
func (c *itemCheck) word(field, value string) {
	const maxLength = 200 // keeps requests' logs and metrics readable
	if len(value) > maxLength || strings.ContainsAny(value, " \t") {
		c.bad(field, RuleValue, "must have at most %d characters and no blanks", maxLength)
	}
}

func (c *itemCheck) words(field string, values []string) {
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		if v == "" {
			c.bad(field, RuleValue, "an entry is empty")
		}
		if seen[v] {
			c.bad(field, RuleDuplicate, "%s is listed twice", v)
		}
		seen[v] = true
		c.word(field, v)
	}
}

func (c *itemCheck) tier(t basilmoor.Tier) {
	if _, given := c.item.fields["rank"]; !given && t.Rank == 0 && c.added() {
		c.bad("rank", RuleMissing, "the field is required")
	}
	c.atLeast("rank", t.Rank, 0)
}

func (c *itemCheck) added() bool { return strings.HasPrefix(c.item.path, "added.") }

func (c *itemCheck) workspace(w basilmoor.Workspace) {
	c.atLeast("weight", w.Weight, 1)
	c.atLeast("max-concurrent", w.MaxConcurrent, 0)
	c.atLeast("rate-per-second", w.RatePerSecond, 0)
	c.required("default-tier", w.DefaultTier)
	if len(w.TokenDigests) == 0 {
		c.bad("token-digests", RuleMissing, "at least one digest is required")
	}
	seen := make(map[string]bool, len(w.TokenDigests))
	for _, d := range w.TokenDigests {
		if !digestPattern.MatchString(d) {
			// The value is not repeated: it may be a token by mistake.
			c.bad("token-digests", RuleValue, "each entry is the lower-case hexadecimal SHA-256 of a token, 64 characters; never the token itself")
		}
		if seen[d] {
			c.bad("token-digests", RuleDuplicate, "a digest is listed twice")
		}
		seen[d] = true
	}
}

func (c *itemCheck) kind(k basilmoor.Kind) {
	c.required("pool", k.Pool)
	c.word("model", k.Model)
	c.word("path-prefix", k.PathPrefix)
	switch {
	case k.Model == "" && k.PathPrefix == "":
		c.bad("model", RuleMissing, "a kind needs a model or a path-prefix")
	case k.Model != "" && k.PathPrefix != "":
		c.bad("path-prefix", RuleValue, "a kind has either a model or a path-prefix")
	case k.PathPrefix != "" && !strings.HasPrefix(k.PathPrefix, "/"):
		c.bad("path-prefix", RuleValue, "must start with /")
	}
	c.atLeast("deadline-ms", int(k.DeadlineMillis), 0)
	c.atLeast("expected-prompt-tokens", k.ExpectedPromptTokens, 0)
	c.atLeast("expected-output-tokens", k.ExpectedOutputTokens, 0)
}

func (c *itemCheck) pool(p basilmoor.Pool) {
	if c.required("region", p.Region) {
		c.name("region", p.Region)
	}
}

func (c *itemCheck) target(t basilmoor.Target) {
	c.required("pool", t.Pool)
	if c.required("data-centre", t.DataCentre) {
		c.name("data-centre", t.DataCentre)
	}
	if c.required("address", t.Address) {
		c.address(t.Address)
	}
	c.atLeast("slots", t.Slots, 1)
	c.atLeast("cache-tokens", t.CacheTokens, 0)
	c.atLeast("context-tokens", t.ContextTokens, 0)
	c.words("models", t.Models)
	c.words("adapters", t.Adapters)
	switch t.Type {
	case basilmoor.EngineTarget:
		if len(t.Models) == 0 {
			c.bad("models", RuleMissing, "an engine needs at least one model")
		}
	case basilmoor.ServiceTarget:
		if len(t.Models) > 0 {
			c.bad("models", RuleValue, "a service has no models")
		}
	case "":
		c.bad("type", RuleMissing, "the field is required")
	default:
		c.bad("type", RuleValue, "%q is not one of engine, service", t.Type)
	}
}

func (c *itemCheck) address(address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		c.bad("address", RuleValue, "%q is not an IP address and port", address)
	}
}
