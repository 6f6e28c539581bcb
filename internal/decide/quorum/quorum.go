// Package quorum decides which groups of a job a trainer is likely to leave out. A
// trainer waits until a number of groups are complete and ends the job. Groups that it
// left out may come again in a later job; it waits for these in any case.
//
//  1. A group is complete when each of its items has a result.
//  2. The remaining work of a group is that of its longest unfinished item, since the
//     items of a group run at the same time.
//  3. The groups that came again are needed, and those with the least remaining work,
//     as many in total as the trainer waits for. The items of the others are spare: they run on engines that no other
//     item needs.
//
// # Usage
//
//	spare := quorum.Spare(items, 27)
package quorum

import (
	"cmp"
	"slices"
)

// Item is an item of a job.
type Item struct {
	Group     string
	Done      bool    // it has a result
	Repeated  bool    // its group came in an earlier job
	Remaining float64 // number of events that it still lacks, if it is not done
}

// group is the state of a group.
type group struct {
	first     int     // index of its first item, which breaks ties
	remaining float64 // rule 2; 0 if the group is complete
	repeated  bool
}

// Spare reports for each item whether it is spare, given the number of groups that the
// trainer waits for. If that is 0, it is not known, and no item is spare.
func Spare(items []Item, needed int) []bool {
	spare := make([]bool, len(items))
	if needed <= 0 {
		return spare
	}
	byName := make(map[string]*group)
	var all []*group
	for i, it := range items {
		g := byName[it.Group]
		if g == nil {
			g = &group{first: i}
			byName[it.Group] = g
			all = append(all, g)
		}
		g.repeated = g.repeated || it.Repeated
		if !it.Done {
			g.remaining = max(g.remaining, it.Remaining)
		}
	}
	slices.SortFunc(all, func(a, b *group) int { // rule 3
		if a.repeated != b.repeated {
			if a.repeated {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.remaining, b.remaining), cmp.Compare(a.first, b.first))
	})
	isSpare := make(map[*group]bool)
	for _, g := range all[min(needed, len(all)):] {
		isSpare[g] = true
	}
	for i, it := range items {
		spare[i] = !it.Done && isSpare[byName[it.Group]]
	}
	return spare
}
