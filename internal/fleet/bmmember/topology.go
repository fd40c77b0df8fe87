package bmmember

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"basilmoor.example/basilmoor"
)

// maxFullMeshDataCentreHosts is the size up to which all hosts of a data centre
// in a large fleet exchange heartbeats with each other. At 16 hosts, a full
// mesh costs each host 15 exchanges a second and a sparse one 8.
const maxFullMeshDataCentreHosts = 9

// failedPeerBackoff is how long a host that didn't answer isn't chosen for
// exchanges between data centres while others are available.
const failedPeerBackoff = 5 * basilmoor.Second

// ringOffsets returns the distances on a ring of n hosts at which a host sends
// heartbeats. Each host receives heartbeats from the hosts at the same
// distances. With full, the distances cover every pair once. Otherwise any two
// hosts are at most two hops apart: the distances are 1 to s/2 and the
// multiples of s, where s is about the square root of n.
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

// dueNeighbours returns the neighbours to which a heartbeat is due.
func (s *State) dueNeighbours(now basilmoor.Millis) []basilmoor.Member {
	ring := s.meshMembers()
	n := len(ring)
	index, _ := slices.BinarySearchFunc(ring, s.self.Host, func(r *record, host string) int {
		return strings.Compare(r.member.Host, host)
	})
	full := !s.largeFleet || n <= maxFullMeshDataCentreHosts
	var peers []basilmoor.Member
	for _, o := range ringOffsets(n, full) {
		next := ring[(index+o)%n].member
		previous := ring[(index-o%n+n)%n].member
		opposite := 2*o == n
		if !opposite || index < o || s.overdue(now, next.Host) {
			peers = append(peers, next)
		}
		if !opposite && s.overdue(now, previous.Host) {
			peers = append(peers, previous)
		}
	}
	return peers
}

// overdue reports whether a heartbeat from the host is overdue.
func (s *State) overdue(now basilmoor.Millis, host string) bool {
	r, ok := s.records[host]
	return ok && now-r.lastHeartbeat >= neighbourSilenceLimit
}

// dueLinkPeers returns the hosts of other data centres with which this host is
// due to exchange rosters.
func (s *State) dueLinkPeers(now basilmoor.Millis) []basilmoor.Member {
	if !s.largeFleet {
		return nil
	}
	localMembers := preferStaying(s.ownDataCentreMembers(now))
	var peers []basilmoor.Member
	regions := s.dataCentresByRegion()
	for _, dataCentre := range regions[s.self.Region] {
		if s.ownsLink("link/"+s.self.DataCentre+"/"+dataCentre, localMembers) && s.linkDue(now, dataCentre) {
			peers = s.appendLinkPeer(now, peers, dataCentre)
		}
	}
	// Iterate in a fixed order, so that a simulated fleet behaves the same on
	// each run.
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		dataCentres := regions[region]
		key := "link/" + s.self.DataCentre + "/" + region
		if region == s.self.Region || !s.ownsLink(key, localMembers) || !s.crossRegionLinkDue(key) {
			continue
		}
		peers = s.appendLinkPeer(now, peers, s.chooseDataCentre(now, key, dataCentres))
	}
	return peers
}

func (s *State) ownsLink(key string, localMembers []basilmoor.Member) bool {
	owner, ok := Owner(key, localMembers)
	return ok && owner.Host == s.self.Host
}

// preferStaying returns the members that aren't leaving, or all members if
// every one is leaving.
func preferStaying(members []basilmoor.Member) []basilmoor.Member {
	remaining := slices.DeleteFunc(slices.Clone(members), func(m basilmoor.Member) bool { return m.Leaving })
	if len(remaining) == 0 {
		return members
	}
	return remaining
}

// linkDue reports whether this data centre should start the exchange with
// another data centre of its region. The data centre with the lower name starts
// it; the other does so only after a silence.
func (s *State) linkDue(now basilmoor.Millis, dataCentre string) bool {
	if s.self.DataCentre < dataCentre {
		return true
	}
	r, ok := s.rosters[dataCentre]
	return !ok || now-r.confirmedAt >= linkSilenceLimit
}

func (s *State) crossRegionLinkDue(key string) bool {
	return (s.tick+xxhash.Sum64String(key))%crossRegionPeriods == 0
}

// dataCentresByRegion returns the known data centres other than this host's own
// by region, ordered by name.
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
	for _, names := range dataCentres {
		slices.Sort(names)
	}
	return dataCentres
}

// chooseDataCentre returns the data centre of another region to exchange
// rosters with. It is chosen by rendezvous hashing among those with a recent
// roster; if there are none, all data centres take turns.
func (s *State) chooseDataCentre(now basilmoor.Millis, key string, dataCentres []string) string {
	var known []basilmoor.Member
	for _, name := range dataCentres {
		if r, ok := s.rosters[name]; ok && now-r.confirmedAt < s.rosterSuspectAfter(r)/2 {
			known = append(known, basilmoor.Member{
				Host: name,
			})
		}
	}
	if owner, ok := Owner(key, known); ok {
		return owner.Host
	}
	return dataCentres[int(s.tick/crossRegionPeriods%uint64(len(dataCentres)))]
}

// appendLinkPeer appends the host of a data centre with which this host
// exchanges rosters.
func (s *State) appendLinkPeer(now basilmoor.Millis, peers []basilmoor.Member, dataCentre string) []basilmoor.Member {
	r, ok := s.rosters[dataCentre]
	if !ok {
		if m, found := s.nextCandidateIn(now, dataCentre); found {
			peers = append(peers, m)
		}
		return peers
	}
	members := slices.DeleteFunc(slices.Clone(preferStaying(r.members)), func(m basilmoor.Member) bool {
		p, known := s.peers[m.Host]
		return known && p.failed && now-p.failedAt < failedPeerBackoff
	})
	if len(members) == 0 {
		members = r.members
	}
	if owner, found := Owner("link/"+s.self.DataCentre+"/"+dataCentre, members); found {
		peers = append(peers, owner)
	}
	return peers
}
