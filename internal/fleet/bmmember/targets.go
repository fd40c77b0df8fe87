package bmmember

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"basilmoor.example/basilmoor"
)

// sparseAbove is the size above which the hosts of a data centre in a large
// fleet no longer all exchange heartbeats with each other: at 16 hosts a full
// mesh costs 15 exchanges a second and node, the sparse one 8.
const sparseAbove = 9

// failedFor is how long a host that didn't answer isn't chosen as the far end
// of an exchange between data centres while others can be.
const failedFor = 5 * basilmoor.Second

// ringOffsets returns the distances on a ring of n hosts at which a host sends
// heartbeats. Every host receives from the hosts at the same distances, so
// that full covers every pair once; otherwise every pair is at most two hops
// apart: the distances are 1 to s/2 and the multiples of s, s being about the
// square root of n.
func ringOffsets(n int, full bool) []int {
	half := n / 2
	var offsets []int
	if full {
		for o := 1; o <= half; o++ {
			offsets = append(offsets, o)
		}
		return offsets
	}
	step := 2 * max(1, int(math.Round(math.Sqrt(float64(n))/2)))
	for o := 1; o <= step/2; o++ {
		offsets = append(offsets, o)
	}
	covered := step / 2
	for o := step; covered < half; o += step {
		offsets = append(offsets, o)
		covered = o + step/2
	}
	return offsets
}

// meshTargets returns the neighbours that are due a heartbeat.
func (s *State) meshTargets(now basilmoor.Millis) []basilmoor.Member {
	ring := s.mesh()
	n := len(ring)
	at, _ := slices.BinarySearchFunc(ring, s.self.Host, func(r *record, host string) int {
		return strings.Compare(r.member.Host, host)
	})
	full := !s.large || n <= sparseAbove
	var targets []basilmoor.Member
	for _, o := range ringOffsets(n, full) {
		next := ring[(at+o)%n].member
		previous := ring[(at-o%n+n)%n].member
		opposite := 2*o == n
		if !opposite || at < o || s.silent(now, next.Host) {
			targets = append(targets, next)
		}
		if !opposite && s.silent(now, previous.Host) {
			targets = append(targets, previous)
		}
	}
	return targets
}

// silent reports whether the host should have sent a heartbeat by now.
func (s *State) silent(now basilmoor.Millis, host string) bool {
	r, ok := s.records[host]
	return ok && now-r.direct >= silentAfter
}

// linkTargets returns the hosts of other data centres that are due an exchange
// of rosters with this host.
func (s *State) linkTargets(now basilmoor.Millis) []basilmoor.Member {
	if !s.large {
		return nil
	}
	own := staying(s.ownMembers(now))
	var targets []basilmoor.Member
	regions := s.dataCentresByRegion()
	for _, dataCentre := range regions[s.self.Region] {
		if s.chosen("link/"+s.self.DataCentre+"/"+dataCentre, own) && s.linkDue(now, dataCentre) {
			targets = s.appendFarEnd(now, targets, dataCentre)
		}
	}
	// In a fixed order, so that a simulated fleet does the same on each run.
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		dataCentres := regions[region]
		key := "link/" + s.self.DataCentre + "/" + region
		if region == s.self.Region || !s.chosen(key, own) || !s.distantDue(key) {
			continue
		}
		targets = s.appendFarEnd(now, targets, s.chooseDataCentre(now, key, dataCentres))
	}
	return targets
}

func (s *State) chosen(key string, own []basilmoor.Member) bool {
	owner, ok := Owner(key, own)
	return ok && owner.Host == s.self.Host
}

// staying prefers members that stay over those that are leaving.
func staying(members []basilmoor.Member) []basilmoor.Member {
	rest := slices.DeleteFunc(slices.Clone(members), func(m basilmoor.Member) bool { return m.Leaving })
	if len(rest) == 0 {
		return members
	}
	return rest
}

// linkDue reports whether this data centre is to start the exchange with
// another data centre of its region: the one with the lower name does, and the
// other only after a silence.
func (s *State) linkDue(now basilmoor.Millis, dataCentre string) bool {
	if s.self.DataCentre < dataCentre {
		return true
	}
	r, ok := s.rosters[dataCentre]
	return !ok || now-r.vouched >= linkSilentAfter
}

func (s *State) distantDue(key string) bool {
	return (s.tick+xxhash.Sum64String(key))%distantPeriods == 0
}

// dataCentresByRegion returns the other data centres that are known, by region
// and ordered by name.
func (s *State) dataCentresByRegion() map[string][]string {
	region := make(map[string]string)
	for _, c := range s.candidates {
		region[c.member.DataCentre] = c.member.Region
	}
	for _, r := range s.records {
		region[r.member.DataCentre] = r.member.Region
	}
	for _, r := range s.rosters {
		region[r.dataCentre] = r.region
	}
	delete(region, s.self.DataCentre)
	delete(region, "")
	dataCentres := make(map[string][]string)
	for dataCentre, r := range region {
		dataCentres[r] = append(dataCentres[r], dataCentre)
	}
	for _, p := range dataCentres {
		slices.Sort(p)
	}
	return dataCentres
}

// chooseDataCentre picks the data centre of another region to exchange rosters
// with: by rendezvous among the data centres whose roster is known, or else
// another one at each attempt.
func (s *State) chooseDataCentre(now basilmoor.Millis, key string, dataCentres []string) string {
	var known []basilmoor.Member
	for _, p := range dataCentres {
		if r, ok := s.rosters[p]; ok && now-r.vouched < s.rosterSuspectAfter(r)/2 {
			known = append(known, basilmoor.Member{
				Host: p,
			})
		}
	}
	if owner, ok := Owner(key, known); ok {
		return owner.Host
	}
	return dataCentres[int(s.tick/distantPeriods%uint64(len(dataCentres)))]
}

// appendFarEnd adds the host of a data centre that this host exchanges rosters
// with.
func (s *State) appendFarEnd(now basilmoor.Millis, targets []basilmoor.Member, dataCentre string) []basilmoor.Member {
	r, ok := s.rosters[dataCentre]
	if !ok {
		if m, found := s.candidateOf(now, dataCentre); found {
			targets = append(targets, m)
		}
		return targets
	}
	members := slices.DeleteFunc(slices.Clone(staying(r.members)), func(m basilmoor.Member) bool {
		p, known := s.peers[m.Host]
		return known && p.failed && now-p.failedAt < failedFor
	})
	if len(members) == 0 {
		members = r.members
	}
	if owner, found := Owner("link/"+s.self.DataCentre+"/"+dataCentre, members); found {
		targets = append(targets, owner)
	}
	return targets
}
