package bmstatecheck

import (
	"strings"
)

// match is what selects a route.
type match struct {
	host   string
	prefix string
}

func (c *checker) checkRoutes() {
	pools := make(map[string]bool, len(c.state.Pools))
	for _, p := range c.state.Pools {
		pools[p.Name] = true
	}
	names := newNameSet(&c.findings, SectionRoutes)
	matched := make(map[match]string)
	for i, r := range c.state.Routes {
		at := names.add(i, r.Name)
		at.checkHost(r.Host)
		at.checkPrefix(r.Prefix)
		m := match{
			host:   strings.ToLower(r.Host),
			prefix: r.Prefix,
		}
		if first, ok := matched[m]; ok {
			at.warnf(FieldPrefix, "never matches: route %s has the same host and prefix", first)
		} else {
			matched[m] = at.place.Entry
		}
		at.checkSplit(r, pools)
		at.checkRouteTimes(r)
		at.checkRouteType(r)
		at.checkNotNegative(FieldPriority, int64(r.Priority))
	}
}

func (e entry) checkHost(host string) {
	switch {
	case host == "":
		e.errorf(FieldHost, "the host name is empty")
	case strings.ContainsAny(host, ":/ \t"):
		e.errorf(FieldHost, "%q never matches: it is not a host name without a port", host)
	case host != strings.ToLower(host):
		e.errorf(FieldHost, "%q is not in lower case", host)
	}
}

func (e entry) checkPrefix(prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/"):
		e.errorf(FieldPrefix, "%q does not begin and end with a slash", prefix)
	case strings.ContainsAny(prefix, "?#"):
		e.errorf(FieldPrefix, "%q never matches: a path has no query and no fragment", prefix)
	}
}

// checkSplit checks the pools of a route.
func (e entry) checkSplit(r Route, pools map[string]bool) {
	if len(r.Split) == 0 {
		e.checkPool(FieldPool, r.Pool, pools)
		return
	}
	if r.Pool != "" {
		e.warnf(FieldPool, "%q has no effect: the route has a split", r.Pool)
	}
	total := 0.0
	seen := make(map[string]bool)
	for _, s := range r.Split {
		e.checkPool(FieldSplit, s.Pool, pools)
		if seen[s.Pool] {
			e.warnf(FieldSplit, "pool %q is there twice", s.Pool)
		}
		seen[s.Pool] = true
		switch {
		case s.Weight < 0:
			e.errorf(FieldSplit, "pool %q has the negative weight %v", s.Pool, s.Weight)
		case s.Weight == 0:
			e.warnf(FieldSplit, "pool %q gets no requests: its weight is 0", s.Pool)
		}
		total += s.Weight
	}
	if total <= 0 {
		e.errorf(FieldSplit, "the weights add up to %v", total)
	}
}

func (e entry) checkPool(f Field, pool string, pools map[string]bool) {
	switch {
	case pool == "":
		e.errorf(f, "no pool is named")
	case !pools[pool]:
		e.errorf(f, "pool %q does not exist", pool)
	}
}

func (e entry) checkRouteTimes(r Route) {
	e.checkDuration(FieldTimeout, r.Timeout)
	e.checkDuration(FieldObjective, r.Objective)
	e.checkDuration(FieldMaxPause, r.MaxPause)
	if r.Timeout <= 0 {
		return
	}
	if r.Objective > r.Timeout {
		e.warnf(FieldObjective, "%d ms is longer than the timeout of %d ms", r.Objective, r.Timeout)
	}
	if r.MaxPause > r.Timeout {
		e.warnf(FieldMaxPause, "%d ms is longer than the timeout of %d ms", r.MaxPause, r.Timeout)
	}
}

func (e entry) checkRouteType(r Route) {
	if r.Type != TypeStreaming && r.Resumable {
		e.warnf(FieldResumable, "has no effect: the route is not a streaming one")
	}
	if r.Type != TypeStreaming && r.MaxPause > 0 {
		e.warnf(FieldMaxPause, "has no effect: the route is not a streaming one")
	}
	switch {
	case r.MaxAttempts < 1:
		e.errorf(FieldMaxAttempts, "%d is not above 0", r.MaxAttempts)
	case r.MaxAttempts > 1 && r.runsOnce():
		e.warnf(FieldMaxAttempts, "a request of this route may run once: attempts beyond the first follow only on targets that did not run it")
	}
}
