package bmbench

import "testing"

func TestUnevenTrial(t *testing.T) {
	for _, p := range UnevenPatterns() {
		for _, s := range UnevenSchemes() {
			var r UnevenResult
			for seed := range uint64(4) {
				x := RunUneven(p, s, seed+10)
				r.Value += x.Value / 4
				r.Paused += x.Paused / 4
				r.Served += x.Served / 4
				for i := range r.InTime {
					r.InTime[i] += x.InTime[i] / 4
				}
			}
			t.Logf("%-38s %-13s value %.3f in time %.3f paused %.3f served %.3f inversions %d", p.Name, s.Name, r.Value, r.InTime, r.Paused, r.Served, r.Inversions)
		}
	}
}
