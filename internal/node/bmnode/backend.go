package bmnode

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmacceptance"
	"basilmoor.example/basilmoor/internal/config/bmnote"
	"basilmoor.example/basilmoor/internal/node/bmadmin"
)

// Status implements bmadmin.Backend.
func (n *Node) Status() bmadmin.Status {
	s := bmadmin.Status{
		Host:       n.settings.Host,
		Ready:      n.ready(),
		InProgress: n.gateway.InProgress(),
		Hosts:      []bmadmin.HostStatus{},
		Targets:    []bmadmin.TargetStatus{},
		Lagging:    []string{},
	}
	c := n.follower.Status()
	s.ConfigVersion = c.Version
	s.ConfigNote = c.Note
	s.ConfigMode = string(c.Mode)
	for _, condition := range c.Conditions {
		s.ConfigReasons = append(s.ConfigReasons, condition.Reason)
	}
	if catalog, ok := n.follower.Catalog(); ok {
		s.Targets = n.targetStatus(catalog)
	}
	for _, m := range n.membership.Live() {
		s.Hosts = append(s.Hosts, bmadmin.HostStatus{
			Host:          m.Host,
			Address:       m.Address,
			DataCentre:    m.DataCentre,
			ConfigVersion: m.ConfigVersion,
			ConfigNote:    m.ConfigNote,
			Load:          m.Load,
			Leaving:       m.Leaving,
		})
		if m.ConfigVersion < s.ConfigVersion {
			s.Lagging = append(s.Lagging, m.Host)
		}
	}
	return s
}

func (n *Node) targetStatus(c basilmoor.Catalog) []bmadmin.TargetStatus {
	list := []bmadmin.TargetStatus{}
	for _, p := range c.Pools() {
		for _, t := range c.Targets(p.Name) {
			list = append(list, bmadmin.TargetStatus{
				Name:       t.Name,
				Pool:       p.Name,
				DataCentre: t.DataCentre,
				Leaving:    t.Leaving || n.leaving.isLeaving(t.Name),
			})
		}
	}
	return list
}

// Counters implements bmadmin.Backend.
func (n *Node) Counters() map[string]int64 {
	return n.metrics.Snapshot()
}

// CheckNote implements bmadmin.Backend.
func (n *Node) CheckNote(ctx context.Context, text []byte) (string, error) {
	note, err := bmnote.Parse(text)
	if err != nil {
		return "", noteProblem(err)
	}
	plan, err := n.acceptor.Plan(ctx, note)
	if err != nil {
		return "", noteProblem(err)
	}
	return plan.Text(), nil
}

// AcceptNote implements bmadmin.Backend.
func (n *Node) AcceptNote(ctx context.Context, text []byte, author string) (bmadmin.AcceptResult, error) {
	r, err := n.acceptor.AcceptText(ctx, text, author)
	if err != nil {
		return bmadmin.AcceptResult{}, noteProblem(err)
	}
	return bmadmin.AcceptResult{
		Version: r.Version,
		Note:    r.Note,
		Already: r.AlreadyAccepted,
		Rebased: len(r.RebasedOver) > 0,
		Plan:    r.Plan.Text(),
	}, nil
}

// RestoreStore implements bmadmin.Backend.
func (n *Node) RestoreStore(ctx context.Context) (int64, error) {
	held := n.follower.Snapshot()
	if held == nil {
		return 0, noteProblem(errors.New("this host holds no configuration"))
	}
	if err := n.acceptor.Restore(ctx, held); err != nil {
		return 0, noteProblem(err)
	}
	return held.Version(), nil
}

// noteProblem converts an error of the acceptor to a problem response, which
// says why the note was not accepted or that its acceptance is unknown.
func noteProblem(err error) error {
	p := bmadmin.Problem{
		Type:   "about:blank",
		Status: http.StatusServiceUnavailable,
		Title:  "release note not accepted",
		Detail: err.Error(),
	}
	var (
		invalid  *bmnote.InvalidError
		conflict *bmacceptance.ConflictError
		reused   *bmacceptance.NoteReusedError
		behind   *bmacceptance.StoreBehindError
		unknown  *bmacceptance.OutcomeUnknownError
		lineage  *bmacceptance.LineageError
	)
	switch {
	case errors.As(err, &unknown):
		p.Title = "acceptance of the release note is unknown"
		p.Status = http.StatusGatewayTimeout
	case errors.As(err, &conflict):
		p.Status = http.StatusConflict
	case errors.As(err, &reused), errors.As(err, &behind), errors.As(err, &lineage):
		p.Status = http.StatusConflict
	case errors.As(err, &invalid):
		p.Status = http.StatusUnprocessableEntity
	}
	if errors.As(err, &invalid) {
		p.Detail = "the note has faults"
		for _, f := range invalid.Faults {
			p.Faults = append(p.Faults, f.String())
		}
	}
	return &bmadmin.ProblemError{
		Problem: p,
	}
}

// Crashes implements bmadmin.Backend.
func (n *Node) Crashes() []basilmoor.Crash {
	return n.crashes.Recent()
}

// LiftCrash implements bmadmin.Backend.
func (n *Node) LiftCrash(digest uint64) bool {
	for _, c := range n.crashes.Recent() {
		if c.Digest == digest {
			n.crashAnnouncer.Lift(digest)
			return true
		}
	}
	return false
}
