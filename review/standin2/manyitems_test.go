//go:build review

package standin2

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["many-items"] = manyItems }

// manyItems submits jobs of legal size with many small items, one after the other, and then watches
// the entries while nobody sends anything but ordinary requests. The platform kills a process that
// exceeds the memory of its VM and starts it again. The rule Fault is broken if processes of two VMs
// end three times each after the last job was sent.
func manyItems(c *cluster, trouble bool) (bool, error) {
	const entries, itemsEach, ends = 3, 30000, 3
	const sending, watched = 40 * time.Second, 70 * time.Second
	jobs := 45
	if !trouble {
		jobs = 1
	}
	s, err := newSite(c, entries, 2, 1, nil)
	if err != nil {
		return false, err
	}
	var body strings.Builder
	body.WriteString(`{"model_id":"` + model + `","min_version":1,"group_count":1,"items":[`)
	for i := range itemsEach {
		fmt.Fprintf(&body, `{"id":"%x","path":"/draft/1","group_id":"g"},`, i)
	}
	text := strings.TrimSuffix(body.String(), ",") + "]}"
	k := c.keepMemory(s.entries)
	accepted := 0
	for n, end := 0, time.Now().Add(sending); n < jobs && time.Now().Before(end); n++ {
		id := fmt.Sprintf("q%015d", n)
		r := once(c.front(s.entries[n%entries]), http.MethodPost, "/draft/1", id, text, map[string]string{"Content-Type": "application/json"}, 10*time.Second)
		c.rec.add("client: job %s of %d bytes: %s", id, len(text), r)
		if r.status == http.StatusAccepted {
			accepted++
		}
	}
	c.rec.add("%d of %d jobs were accepted; nobody sends anything from now on but an ordinary request a second to each entry", accepted, jobs)
	before := k.counts(s.entries)
	ordinary := c.submitOrdinary(s.entries)
	served, asked, listed, broken := 0, 0, 0, false
	for end := time.Now().Add(watched); time.Now().Before(end) && !broken; time.Sleep(time.Second) {
		for _, p := range s.entries {
			asked++
			if r := once(c.front(p), http.MethodGet, "/page/1", fmt.Sprintf("o%015d", asked), "", nil, 2*time.Second); r.status == http.StatusOK {
				served++
			}
		}
		if page, _ := readResults(c, s.entries[asked/entries%entries], ordinary, listed); page.Next > listed {
			listed = page.Next
			c.rec.add("trainer: %d of %d items of the ordinary job are listed", listed, page.Total)
		}
		vms := 0
		for n, ended := range k.counts(s.entries) {
			if ended-before[n] >= ends {
				vms++
			}
		}
		broken = vms >= 2
	}
	k.stop()
	c.rec.add("%d of %d ordinary requests were served; %d of %d items of the ordinary job were listed", served, asked, listed, ordinaryItems)
	for n, ended := range k.counts(s.entries) {
		c.rec.add("%s ended %d times, %d of these after the last job was sent", s.entries[n].name, ended, ended-before[n])
	}
	return !broken, nil
}

// ordinaryItems is the number of items of an ordinary trainer's job.
const ordinaryItems = 8

// submitOrdinary submits an ordinary job, again at the next entry after a failure. It returns the
// job's ID.
func (c *cluster) submitOrdinary(entries []*process) string {
	const job = "j000000000000001"
	var items []item
	for n := range ordinaryItems {
		items = append(items, item{id: fmt.Sprintf("d%015d", n), events: 30})
	}
	for try := range 10 {
		p := entries[try%len(entries)]
		r := once(c.front(p), http.MethodPost, "/draft/1", job, jobBody(1, items), map[string]string{"Content-Type": "application/json"}, 3*time.Second)
		c.rec.add("trainer: an ordinary job of %d items, try %d at %s: %s", ordinaryItems, try+1, p.name, r)
		if r.status == http.StatusAccepted {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	return job
}

// keeper is the platform's watch on the memory of processes.
type keeper struct {
	done chan struct{}
	all  sync.WaitGroup

	mu   sync.Mutex
	ends map[*process]int
}

// keepMemory kills processes that exceed the memory of their VM, and starts them again after half a
// second.
func (c *cluster) keepMemory(ps []*process) *keeper {
	k := &keeper{done: make(chan struct{}), ends: make(map[*process]int)}
	for _, p := range ps {
		k.all.Go(func() {
			for {
				p.mu.Lock()
				pid := p.cmd.Process.Pid
				p.mu.Unlock()
				select {
				case <-k.done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				kb := residentKB(pid)
				if kb <= memoryMB<<10 {
					continue
				}
				p.kill()
				k.mu.Lock()
				k.ends[p]++
				n := k.ends[p]
				k.mu.Unlock()
				c.rec.add("%s uses %d MB of %d and is killed by the platform, for the %d. time", p.name, kb>>10, memoryMB, n)
				time.Sleep(500 * time.Millisecond)
				if err := c.start(p); err != nil {
					c.rec.add("%s is not started: %v", p.name, err)
					return
				}
			}
		})
	}
	return k
}

func (k *keeper) stop() {
	close(k.done)
	k.all.Wait()
}

// counts returns how often each process has ended.
func (k *keeper) counts(ps []*process) []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []int
	for _, p := range ps {
		out = append(out, k.ends[p])
	}
	return out
}
