package bmstatecheck

import (
	"strings"

	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

func (c *checker) checkWorkspaces() {
	keysNeeded := false
	for _, r := range c.state.Routes {
		keysNeeded = keysNeeded || !r.Public
	}
	names := newNameSet(&c.findings, SectionWorkspaces)
	holders := make(map[string]string) // of keys
	for i, w := range c.state.Workspaces {
		at := names.add(i, w.Name)
		at.checkNotNegative(FieldPriority, int64(w.Rank))
		at.checkKeys(w.Keys, holders)
		if len(w.Keys) == 0 && keysNeeded {
			at.warnf(FieldKeys, "no request belongs to this workspace: it has no keys")
		}
		at.checkQuota(w.Quota)
	}
}

// checkKeys checks the keys of one workspace and enters it as their holder.
func (e entry) checkKeys(keys []string, holders map[string]string) {
	for _, k := range keys {
		holder, held := holders[k]
		switch {
		case k == "" || strings.ContainsAny(k, " \t\r\n"):
			e.errorf(FieldKeys, "a key is empty or contains blanks")
		case held && holder == e.place.Entry:
			e.warnf(FieldKeys, "key %s is there twice", keyDigest(k))
		case held:
			e.errorf(FieldKeys, "key %s also belongs to workspace %s", keyDigest(k), holder)
		}
		holders[k] = e.place.Entry
	}
}

func (e entry) checkQuota(q bmrouting.Quota) {
	if q.Rate < 0 {
		e.errorf(FieldRate, "%v is negative", q.Rate)
	}
	if q.Burst < 0 {
		e.errorf(FieldBurst, "%v is negative", q.Burst)
	}
	e.checkNotNegative(FieldDefaultTokens, int64(q.DefaultTokens))
	switch {
	case !q.Limited() && q.Burst > 0:
		e.warnf(FieldBurst, "has no effect: the rate is not limited")
	case q.Limited() && !q.PerRequest && q.Burst < float64(q.DefaultTokens):
		e.warnf(FieldBurst, "%s is less than the %d tokens that a request without a number of tokens is charged", formatFloat(q.Burst), q.DefaultTokens)
	}
}
