// Package scale decides how many servers of a service are ordered in each zone, where the
// platform runs servers on order. The load that it answers: items of jobs that wait or run,
// with the time until their results are due, and the servers that plain requests keep busy.
//
//  1. Requests need as many servers as they keep busy, at a share of use that leaves room
//     for bursts.
//  2. Jobs get the number of servers at which lateness and servers together cost least: a
//     second of lateness of a job is worth Policy.LatenessWorth seconds of one server. A
//     server that isn't there yet helps only after its boot time.
//  3. The orders stay between the limits of each zone. Without an order so far, the largest
//     number of servers that was seen there counts as ordered.
//  4. Orders grow as soon as more are needed. An order is the number of servers, not the
//     number of further ones, so that a repeated or late one does no harm.
//  5. Orders shrink to the largest number that was needed during the whole idle time,
//     which is several boot times. It begins anew when the total has grown, for whatever
//     reason, and when as many as ordered were needed. So a total shrinks no sooner than the
//     idle time after it has changed.
//     Nothing is ordered in the first settleTime.
//  6. The next server is ordered in the zone with the fewest, and given back where most
//     are, so that a zone that is lost takes few servers with it.
//
// # Usage
//
//	p := scale.New(scale.DefaultPolicy())
//	p.Ordered("pool", "z1", 6) // from the log
//	for _, o := range p.Plan(now, svc, load) { send(o) }
package scale

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// settleTime is how long a planner only watches: a registry that was just read, or that the
// store has just recovered, lists fewer servers than there are. An order by such a list would take
// servers away.
const settleTime = 15 * clock.Second

// Policy weighs servers against lateness.
type Policy struct {
	LatenessWorth float64      // seconds of one server for which a job is one second less late
	MaxUse        float64      // share of the slots that plain requests may keep busy
	MinIdle       clock.Millis // least time after which servers are given back
	IdleBoots     int          // the same, in boot times
}

// DefaultPolicy returns the policy of a caller whose training job keeps several servers
// waiting while it is late: 20 servers for each second.
func DefaultPolicy() Policy {
	return Policy{LatenessWorth: 20, MaxUse: 0.6, MinIdle: clock.Minute, IdleBoots: 4}
}

// Service is a service with servers on order.
type Service struct {
	Name  string
	Min   int // in each zone
	Max   int // in each zone
	Boot  clock.Millis
	Slots int // of each server
	// Present is the number of servers that take work, by zone. Zones in which the service
	// runs are listed with 0 if they have none now.
	Present map[string]int
}

// Job is the rest of a job.
type Job struct {
	Items int          // that wait or run
	DueIn clock.Millis // time until its results are due, below 0 if they are late
}

// Load is the load of one service in all zones.
type Load struct {
	Busy     float64      // slots that plain requests keep busy, on average
	Jobs     []Job        // with items that wait or run
	ItemTime clock.Millis // usual time of an item, 0 if not known
}

// Order is the number of servers that a service has in a zone.
type Order struct {
	Service string
	Zone    string
	Servers int
	Reason  string
}

// subject is what the planner keeps of one service.
type subject struct {
	ordered map[string]int // by zone
	seen    map[string]int // by zone: the largest number of servers that take work
	total   int            // in all zones
	started clock.Millis   // when the service was first planned
	since   clock.Millis   // when the idle time began
	highest int            // largest number that was needed since then
}

// Planner keeps the orders of all services. It is not safe for concurrent use.
type Planner struct {
	policy   Policy
	subjects map[string]*subject
}

// New returns a planner that knows of no order.
func New(p Policy) *Planner { return &Planner{policy: p, subjects: make(map[string]*subject)} }

func (p *Planner) subject(service string) *subject {
	s := p.subjects[service]
	if s == nil {
		s = &subject{ordered: make(map[string]int), seen: make(map[string]int)}
		p.subjects[service] = s
	}
	return s
}

// Ordered takes the last order for a zone from the log.
func (p *Planner) Ordered(service, zone string, n int) { p.subject(service).ordered[zone] = n }

// OrderedIn returns the number that is ordered for a zone, and whether there is an order.
func (p *Planner) OrderedIn(service, zone string) (int, bool) {
	s := p.subjects[service]
	if s == nil {
		return 0, false
	}
	n, ok := s.ordered[zone]
	return n, ok
}

// IdleTime returns how long servers of a boot time are kept after they were needed (rule 5).
func (p *Planner) IdleTime(boot clock.Millis) clock.Millis {
	return max(p.policy.MinIdle, clock.Millis(p.policy.IdleBoots)*boot)
}

// Watch notes the servers that are there, without an order.
func (p *Planner) Watch(now clock.Millis, svc Service) {
	s := p.subject(svc.Name)
	if s.started == 0 {
		s.started = now
	}
	for zone, n := range svc.Present {
		s.seen[zone] = max(s.seen[zone], n)
	}
}

// Plan returns the orders that change now, by zone. The planner counts them as given.
func (p *Planner) Plan(now clock.Millis, svc Service, load Load) []Order {
	if svc.Max <= 0 || svc.Max < svc.Min || svc.Slots <= 0 || len(svc.Present) == 0 {
		return nil
	}
	p.Watch(now, svc)
	s := p.subject(svc.Name)
	current := make(map[string]int, len(svc.Present))
	within := make(map[string]int, len(svc.Present)) // the limits
	total := 0
	for zone := range svc.Present {
		current[zone] = s.seen[zone]
		if ordered, ok := s.ordered[zone]; ok {
			current[zone] = ordered
		}
		within[zone] = min(max(current[zone], svc.Min), svc.Max)
		total += within[zone]
	}
	if now-s.started < settleTime {
		return nil
	}
	needed, reason := p.need(svc, load, total)
	if s.since == 0 || total > s.total || needed >= total {
		s.since, s.highest = now, 0
	}
	if needed < total {
		s.highest = max(s.highest, needed)
	}
	target := max(total, needed)
	if now-s.since >= p.IdleTime(svc.Boot) { // rule 5
		target, reason = s.highest, "idle"
		s.since, s.highest = now, 0
	}
	planned := spread(within, target, svc.Min, svc.Max)
	var out []Order
	s.total = 0
	for _, zone := range slices.Sorted(maps.Keys(planned)) {
		n := planned[zone]
		s.total += n
		if n != current[zone] {
			why := reason
			if current[zone] < svc.Min || current[zone] > svc.Max {
				why = "limits"
			}
			s.ordered[zone] = n
			out = append(out, Order{Service: svc.Name, Zone: zone, Servers: n, Reason: why})
		}
	}
	return out
}

// need returns the number of servers that the load needs in all zones, and which load it is.
func (p *Planner) need(svc Service, load Load, ordered int) (int, string) {
	requests := int(math.Ceil(load.Busy / (p.policy.MaxUse * float64(svc.Slots))))
	jobs := p.needOfJobs(svc, load, ordered)
	if jobs > requests {
		return jobs, "jobs"
	}
	return requests, "requests"
}

// needOfJobs returns the number of servers that costs least (rule 2).
func (p *Planner) needOfJobs(svc Service, load Load, ordered int) int {
	if len(load.Jobs) == 0 || load.ItemTime <= 0 {
		return 0
	}
	jobs := slices.Clone(load.Jobs)
	slices.SortFunc(jobs, func(a, b Job) int { return cmp.Compare(a.DueIn, b.DueIn) })
	items := 0
	for _, j := range jobs {
		items += j.Items
	}
	best, bestCost := 0, math.Inf(1)
	limit := min(svc.Max*len(svc.Present), (items+svc.Slots-1)/svc.Slots)
	for n := 1; n <= limit; n++ {
		late, span := lateness(svc, jobs, load.ItemTime, n, ordered)
		cost := p.policy.LatenessWorth*late.Seconds() + float64(n)*span.Seconds()
		if cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// lateness returns by how much all jobs together are late if n servers run their items in
// the order in which they are due, and how long that takes. Of the n servers those beyond the
// ordered ones run items only after the boot time.
func lateness(svc Service, jobs []Job, itemTime clock.Millis, n, ordered int) (late, span clock.Millis) {
	slots, more := min(n, ordered)*svc.Slots, max(0, n-ordered)*svc.Slots
	done := 0
	for _, j := range jobs {
		done += j.Items
		end := clock.Never
		if slots > 0 {
			end = clock.Millis((done+slots-1)/slots) * itemTime
		}
		if end > svc.Boot && more > 0 {
			before := slots * int(svc.Boot/itemTime) // items that the ordered servers end until then
			rest := max(0, done-before)
			end = min(end, svc.Boot+clock.Millis((rest+slots+more-1)/(slots+more))*itemTime)
		}
		late += max(0, end-max(0, j.DueIn))
		span = max(span, end)
	}
	return late, span
}

// spread returns the numbers by zone that come nearest to a total, from numbers that are
// within the limits (rules 3 and 6).
func spread(current map[string]int, total, least, most int) map[string]int {
	out := maps.Clone(current)
	sum := 0
	for _, n := range out {
		sum += n
	}
	zones := slices.Sorted(maps.Keys(out))
	for ; sum < total; sum++ {
		zone := slices.MinFunc(zones, func(a, b string) int { return cmp.Compare(out[a], out[b]) })
		if out[zone] >= most {
			break
		}
		out[zone]++
	}
	for ; sum > total; sum-- {
		zone := slices.MaxFunc(zones, func(a, b string) int { return cmp.Compare(out[a], out[b]) })
		if out[zone] <= least {
			break
		}
		out[zone]--
	}
	return out
}
