package bmsoak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// oddEntries are values that another writer may leave among the entries of the replicas.
var oddEntries = []string{
	"",
	"\xff\x00",
	"null",
	strings.Repeat("[", 300_000),
	strings.Repeat(`{"backend":`, 100_000),
	`{"backend":"services","address":"127.0.0.1:70000","zone":"z1","version":"v1","slots":4,"lifecycle":"ready","cold_left_ms":0,"seq_num":1}`,
	`{"backend":"services","address":"127.0.0.1:80","zone":"z1","version":"v1","slots":1e400,"lifecycle":"ready","cold_left_ms":0,"seq_num":1}`,
	`{"backend":"services","address":"127.0.0.1:80","zone":"z1","version":"v1","slots":9000000000000000000,"lifecycle":"ready","cold_left_ms":0,"seq_num":1}`,
}

// writeOddEntries leaves an odd entry of its own, and one under the ID of a replica: the
// entry of a replica of the other pool with a field missing. After a while the replica
// writes its own entry again.
func (j *injector) writeOddEntries(rng *rand.Rand, duration time.Duration) {
	j.fleet.store.Put("servers/odd", []byte(oddEntries[rng.IntN(len(oddEntries))]))
	ids := slices.Sorted(maps.Keys(j.fleet.entries))
	id := ids[rng.IntN(len(ids))]
	forged := maps.Clone(j.fleet.entries[id])
	forged["backend"] = map[string]string{"engines": "services", "services": "engines"}[forged["backend"].(string)]
	fields := slices.Sorted(maps.Keys(forged))
	delete(forged, fields[rng.IntN(len(fields))])
	j.fleet.store.Put("servers/"+id, forged)
	time.Sleep(duration)
	j.fleet.store.Put("servers/"+id, j.fleet.entries[id])
	j.fleet.store.Delete("servers/odd")
}
