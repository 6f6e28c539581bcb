package admit

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/ident"
)

// entriesPerShard is the largest number of entries whose reports reach one holder. At
// more, the time between an entry's reports would be longer than requests can wait.
const entriesPerShard = 40

// A service with many entries is divided into shards of some entries and some of the
// servers, each with a holder of its own.

// Shard returns the shard of an entry and the number of shards.
func Shard(entries []ident.Node, self ident.Node, servers int) (shard, shards int) {
	shards = max(1, min((len(entries)+entriesPerShard-1)/entriesPerShard, servers))
	before, found := 0, false
	for _, name := range entries {
		if name < self {
			before++
		}
		found = found || name == self
	}
	if found {
		shard = before % shards
	}
	return shard, shards
}

// ShardServers returns the servers of a shard. Each zone's servers are dealt out to the
// shards by turns. The slots of the servers that are left over, fewer than there are shards,
// are divided evenly: a shard with half as many servers would refuse requests at half the
// load.
func ShardServers(servers []Server, shard, shards int) []Server {
	if shards <= 1 {
		return servers
	}
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	whole := len(sorted) / shards * shards
	var own []Server
	for i := shard; i < whole; i += shards {
		own = append(own, sorted[i])
	}
	return append(own, divideSlots(sorted[whole:], shard, shards)...)
}

// divideSlots returns the part of a shard in the slots of servers. Each server is named with
// the slots that the shard has there.
func divideSlots(servers []Server, shard, shards int) []Server {
	total := 0
	for _, s := range servers {
		total += max(1, s.Slots)
	}
	from, to := total*shard/shards, total*(shard+1)/shards
	var own []Server
	at := 0
	for _, s := range servers {
		end := at + max(1, s.Slots)
		if n := min(end, to) - max(at, from); n > 0 {
			s.Slots = n
			own = append(own, s)
		}
		at = end
	}
	return own
}
