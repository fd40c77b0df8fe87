package bmnote

import (
	"net/netip"
	"regexp"
	"strings"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// checkItems checks the field values of all items that the note adds or changes.
func (a *applier) checkItems(c bmcatalog.Content) {
	checkSection(a, SectionTiers, c.Tiers, bmcatalog.TierName, (*itemChecker).checkTier)
	checkSection(a, SectionWorkspaces, c.Workspaces, bmcatalog.WorkspaceName, (*itemChecker).checkWorkspace)
	checkSection(a, SectionKinds, c.Kinds, bmcatalog.KindName, (*itemChecker).checkKind)
	checkSection(a, SectionPools, c.Pools, bmcatalog.PoolName, (*itemChecker).checkPool)
	checkSection(a, SectionTargets, c.Targets, bmcatalog.TargetName, (*itemChecker).checkTarget)
}

// checkSection calls check for each item of a section that the note adds or
// changes.
func checkSection[T any](a *applier, s Section, items []T, name func(T) string, check func(*itemChecker, T)) {
	for _, i := range items {
		if it, ok := a.noteItems[Item{
			Section: s,
			Name:    name(i),
		}]; ok {
			check(&itemChecker{
				faults: &a.faults,
				item:   it,
			}, i)
		}
	}
}

// itemChecker checks the field values of one item.
type itemChecker struct {
	faults *faults
	item   item
}

// addf reports a fault of a field, unless the value was already reported as
// invalid.
func (c *itemChecker) addf(field string, rule Rule, format string, args ...any) {
	if c.item.fields[field].invalid {
		return
	}
	c.faults.addf(c.item.fieldLine(field), c.item.path+"."+field, rule, format, args...)
}

func (c *itemChecker) checkRequired(field, value string) bool {
	if value == "" {
		c.addf(field, RuleMissing, "the field is required")
		return false
	}
	return true
}

// checkAtLeast reports a value below minimum. If minimum is positive, a zero value
// of a field that the note does not set is reported as missing.
func (c *itemChecker) checkAtLeast(field string, value, minimum int) {
	_, given := c.item.fields[field]
	if value == 0 && minimum > 0 && !given {
		c.addf(field, RuleMissing, "the field is required")
		return
	}
	if value < minimum {
		c.addf(field, RuleValue, "must be at least %d", minimum)
	}
}

func (c *itemChecker) checkName(field, value string) {
	if value != "" && !namePattern.MatchString(value) {
		c.addf(field, RuleValue, "%q is not a name", value)
	}
}

// checkText checks the length of a value, and that it contains no blanks.
func (c *itemChecker) checkText(field, value string) {
	const maxLength = 200 // keeps logs and metrics readable
	if len(value) > maxLength || strings.ContainsAny(value, " \t") {
		c.addf(field, RuleValue, "must have at most %d characters and no blanks", maxLength)
	}
}

// checkTextList checks the entries of a list, which must not be empty or repeated.
func (c *itemChecker) checkTextList(field string, values []string) {
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		if v == "" {
			c.addf(field, RuleValue, "an entry is empty")
		}
		if seen[v] {
			c.addf(field, RuleDuplicate, "%s is listed twice", v)
		}
		seen[v] = true
		c.checkText(field, v)
	}
}

func (c *itemChecker) checkTier(t basilmoor.Tier) {
	if _, given := c.item.fields["rank"]; !given && t.Rank == 0 && c.isAdded() {
		c.addf("rank", RuleMissing, "the field is required")
	}
	c.checkAtLeast("rank", t.Rank, 0)
}

// isAdded reports whether the note adds the item.
func (c *itemChecker) isAdded() bool { return strings.HasPrefix(c.item.path, "added.") }

func (c *itemChecker) checkWorkspace(w basilmoor.Workspace) {
	c.checkAtLeast("weight", w.Weight, 1)
	c.checkAtLeast("max-concurrent", w.MaxConcurrent, 0)
	c.checkAtLeast("rate-per-second", w.RatePerSecond, 0)
	c.checkRequired("default-tier", w.DefaultTier)
	if len(w.TokenDigests) == 0 {
		c.addf("token-digests", RuleMissing, "at least one digest is required")
	}
	seen := make(map[string]bool, len(w.TokenDigests))
	for _, d := range w.TokenDigests {
		if !digestPattern.MatchString(d) {
			// The message omits the value, which may be a token given by mistake.
			c.addf("token-digests", RuleValue, "each entry is the lower-case hexadecimal SHA-256 of a token, 64 characters; never the token itself")
		}
		if seen[d] {
			c.addf("token-digests", RuleDuplicate, "a digest is listed twice")
		}
		seen[d] = true
	}
}

func (c *itemChecker) checkKind(k basilmoor.Kind) {
	c.checkRequired("pool", k.Pool)
	c.checkText("model", k.Model)
	c.checkText("path-prefix", k.PathPrefix)
	switch {
	case k.Model == "" && k.PathPrefix == "":
		c.addf("model", RuleMissing, "a kind needs a model or a path-prefix")
	case k.Model != "" && k.PathPrefix != "":
		c.addf("path-prefix", RuleValue, "a kind has either a model or a path-prefix")
	case k.PathPrefix != "" && !strings.HasPrefix(k.PathPrefix, "/"):
		c.addf("path-prefix", RuleValue, "must start with /")
	}
	c.checkAtLeast("deadline-ms", int(k.DeadlineMillis), 0)
	c.checkAtLeast("expected-prompt-tokens", k.ExpectedPromptTokens, 0)
	c.checkAtLeast("expected-output-tokens", k.ExpectedOutputTokens, 0)
}

func (c *itemChecker) checkPool(p basilmoor.Pool) {
	if c.checkRequired("region", p.Region) {
		c.checkName("region", p.Region)
	}
}

func (c *itemChecker) checkTarget(t basilmoor.Target) {
	c.checkRequired("pool", t.Pool)
	if c.checkRequired("data-centre", t.DataCentre) {
		c.checkName("data-centre", t.DataCentre)
	}
	if c.checkRequired("address", t.Address) {
		c.checkAddress(t.Address)
	}
	c.checkAtLeast("slots", t.Slots, 1)
	c.checkAtLeast("cache-tokens", t.CacheTokens, 0)
	c.checkAtLeast("context-tokens", t.ContextTokens, 0)
	c.checkTextList("models", t.Models)
	c.checkTextList("adapters", t.Adapters)
	switch t.Type {
	case basilmoor.EngineTarget:
		if len(t.Models) == 0 {
			c.addf("models", RuleMissing, "an engine needs at least one model")
		}
	case basilmoor.ServiceTarget:
		if len(t.Models) > 0 {
			c.addf("models", RuleValue, "a service has no models")
		}
	case "":
		c.addf("type", RuleMissing, "the field is required")
	default:
		c.addf("type", RuleValue, "%q is not one of engine, service", t.Type)
	}
}

func (c *itemChecker) checkAddress(address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		c.addf("address", RuleValue, "%q is not an IP address and port", address)
	}
}
