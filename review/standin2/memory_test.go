//go:build review

package standin2

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["one-body"] = oneBody }

const (
	memoryMB     = 324      // of an entry's VM
	maxBodyBytes = 33554432 // in the configuration
)

// oneBody sends a body of legal size to an entry, again after the platform has restarted it. The
// platform kills a process that exceeds the memory of its VM. The rule Fault is broken if
// processes of two VMs end three times each.
func oneBody(c *cluster, trouble bool) (bool, error) {
	const rounds = 3
	s, err := newSite(c, 2, 2, 1, nil)
	if err != nil {
		return false, err
	}
	elements := (maxBodyBytes - 64) / len(",null")
	if !trouble {
		elements = 1000
	}
	body := `{"model_id":"` + model + `","items":[null` + strings.Repeat(",null", elements) + "]}"
	ends := make([]int, len(s.entries))
	for n, p := range s.entries {
		for round := range rounds {
			watch := c.watchMemory(p)
			id := fmt.Sprintf("m%07d%08d", n, round)
			c.rec.add("client: %s to %s, a job of %d bytes; max_body_bytes is %d", id, p.name, len(body), maxBodyBytes)
			r := once(c.front(p), http.MethodPost, "/draft/1", id, body, map[string]string{"Content-Type": "application/json"}, 10*time.Second)
			c.rec.add("client: %s: %s", id, r)
			most, killed := watch()
			c.rec.add("%s used %d MB at most, memory_mb is %d", p.name, most>>10, memoryMB)
			if killed {
				ends[n]++
				c.rec.add("%s was killed by the platform, and is started again", p.name)
				if err := c.start(p); err != nil {
					return false, err
				}
			}
			if err := c.waitReady(s.entries); err != nil {
				return false, err
			}
			r = once(c.front(p), http.MethodGet, "/page/1", id+"x", "", nil, 3*time.Second)
			c.rec.add("client: an ordinary request to %s: %s", p.name, r)
		}
	}
	vms := 0
	for n, p := range s.entries {
		c.rec.add("%s ended %d times", p.name, ends[n])
		if ends[n] >= rounds {
			vms++
		}
	}
	return vms < 2, nil
}

// watchMemory kills a process as soon as its resident memory exceeds that of its VM. The returned
// function ends the watch and returns the most memory seen in KB, and whether it killed.
func (c *cluster) watchMemory(p *process) (end func() (int, bool)) {
	stop, done := make(chan struct{}), make(chan struct{})
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	most, killed := residentKB(pid), false
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			kb := residentKB(pid)
			most = max(most, kb)
			if kb > memoryMB<<10 && !killed {
				killed = true
				p.signal(syscall.SIGKILL)
				return
			}
		}
	}()
	var once sync.Once
	return func() (int, bool) {
		once.Do(func() { close(stop) })
		<-done
		if killed {
			p.kill()
		}
		return most, killed
	}
}

// residentKB returns the resident memory of a process, 0 if it has ended.
func residentKB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, err := strconv.Atoi(f[1])
			if err != nil {
				return 0
			}
			return kb
		}
	}
	return 0
}
