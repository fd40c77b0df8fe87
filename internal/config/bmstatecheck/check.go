package bmstatecheck

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

// Check returns the errors and warnings of s, in the order of its sections and
// entries.
func Check(s State) []Finding {
	c := checker{
		state: s,
	}
	c.checkVersion()
	c.checkLimits()
	c.checkRoutes()
	c.checkPools()
	c.checkWorkspaces()
	return c.findings.list
}

type checker struct {
	state    State
	findings findings
}

func (c *checker) checkVersion() {
	if c.state.Version < 1 {
		c.findings.errorf(Place{
			Field: FieldVersion,
		}, "%d is not above 0", c.state.Version)
	}
}

func (c *checker) checkLimits() {
	l := c.state.Limits
	at := entry{
		findings: &c.findings,
		place: Place{
			Section: SectionLimits,
		},
	}
	at.checkNotNegative(FieldHeaderBytes, int64(l.HeaderBytes))
	at.checkNotNegative(FieldBodyBytes, l.BodyBytes)
	at.checkDuration(FieldHeaderTimeout, l.HeaderTimeout)
	at.checkDuration(FieldIdleTimeout, l.IdleTimeout)
	if l.BodyBytes == 0 {
		at.errorf(FieldBodyBytes, "every request with a body is refused")
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		at.warnf(FieldHeaderTimeout, "%d ms is longer than the idle timeout of %d ms", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (c *checker) checkPools() {
	used := make(map[string]bool)
	for _, r := range c.state.Routes {
		for _, p := range r.pools() {
			used[p] = true
		}
	}
	names := newNameSet(&c.findings, SectionPools)
	for i, p := range c.state.Pools {
		at := names.add(i, p.Name)
		at.checkPath(FieldHealthPath, p.HealthPath)
		at.checkNotNegative(FieldMaxConnections, int64(p.MaxConnections))
		at.checkEngine(p)
		if !used[p.Name] {
			at.warnf("", "no route names this pool")
		}
	}
}

func (e entry) checkEngine(p bmrouting.Pool) {
	if p.Engine == nil {
		return
	}
	if p.Engine.Slots < 1 {
		e.errorf(FieldSlots, "an engine with %d slots runs nothing", p.Engine.Slots)
	}
	if p.Engine.CacheTokens < 1 {
		e.errorf(FieldCacheTokens, "an engine with a cache of %d tokens runs nothing", p.Engine.CacheTokens)
	}
	e.checkNotNegative(FieldEventTokens, int64(p.Engine.EventTokens))
	if p.MaxConnections > 0 && p.MaxConnections < p.Engine.Slots {
		e.warnf(FieldMaxConnections, "%d connections can't use %d slots", p.MaxConnections, p.Engine.Slots)
	}
}

// entry reports findings on the fields of one entry.
type entry struct {
	findings *findings
	place    Place
}

func (e entry) field(f Field) Place {
	p := e.place
	p.Field = f
	return p
}

func (e entry) errorf(f Field, format string, args ...any) {
	e.findings.errorf(e.field(f), format, args...)
}

func (e entry) warnf(f Field, format string, args ...any) {
	e.findings.warnf(e.field(f), format, args...)
}

func (e entry) checkNotNegative(f Field, n int64) {
	if n < 0 {
		e.errorf(f, "%d is negative", n)
	}
}

func (e entry) checkDuration(f Field, d basilmoor.Millis) {
	if d < 0 {
		e.errorf(f, "%d ms is negative", d)
	}
}

func (e entry) checkPath(f Field, path string) {
	if path == "" || path[0] != '/' {
		e.errorf(f, "%q does not begin with a slash", path)
	}
}

// nameSet reports entries of a section without a name, or with that of another.
type nameSet struct {
	findings *findings
	section  Section
	seen     map[string]bool
}

func newNameSet(f *findings, s Section) *nameSet {
	return &nameSet{
		findings: f,
		section:  s,
		seen:     make(map[string]bool),
	}
}

func (n *nameSet) add(index int, name string) entry {
	e := entry{
		findings: n.findings,
		place: Place{
			Section: n.section,
			Entry:   EntryLabel(name, index),
		},
	}
	switch {
	case name == "":
		e.errorf(FieldName, "the name is empty")
	case n.seen[name]:
		e.errorf(FieldName, "the name is there twice")
	}
	n.seen[name] = true
	return e
}
