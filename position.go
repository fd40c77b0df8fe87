package basilmoor

// Position is a state of the platform's key-value service: all changes up to a
// revision. Revisions order states only within an era. The era rises each time the
// service comes back from a copy, which gives revisions out again. The zero value is
// before any state.
type Position struct {
	Era      int64
	Revision int64
}

// Before reports whether p is an earlier state than q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// IsZero reports whether p is before any state.
func (p Position) IsZero() bool {
	return p == Position{}
}
