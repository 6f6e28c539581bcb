//go:build review

package standin2

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["streams-taken-up"] = streamsTakenUp }

// takenUp is a stream of a client that breaks and that the client takes up again.
type takenUp struct {
	id       string
	software string // of the engine that began it
	last     int    // last event that came whole
	goesOn   bool
	inTouch  bool // it was taken up at an entry in touch
}

// streamsTakenUp begins streams at engines of two software versions and kills all entries at the
// same moment. They are back after a second. Clients take their streams up again after pauses of
// one, two and four seconds, at other entries. The rule LOST looks at the tries that reach
// entries in touch.
func streamsTakenUp(c *cluster, trouble bool) (bool, error) {
	const streams, events, downtime = 16, 700, time.Second
	s, err := newSite(c, 3, 4, 1, func(n int, e *engine) {
		e.gap, e.software = 40*time.Millisecond, []string{"v1", "v2"}[n%2]
		e.text = func(item string, n int) string { return fmt.Sprintf("%s.%d of %s", item, n, e.software) }
	})
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // Nothing is disturbed, and the releases are recorded.
	broken := time.Now().Add(2 * time.Second)
	touched := broken.Add(downtime + contactMS*time.Millisecond + 500*time.Millisecond)
	until := broken // when clients close their channels
	if trouble {
		until = broken.Add(5 * time.Second)
	}
	all := make([]*takenUp, streams)
	var wg sync.WaitGroup
	for n := range all {
		t := &takenUp{id: fmt.Sprintf("b%015d", n)}
		all[n] = t
		wg.Go(func() {
			t.begin(c, s.entries[n%3], events, until)
			for try, wait := range []time.Duration{1, 2, 4} {
				time.Sleep(wait * time.Second)
				if t.last > 0 && !t.goesOn {
					t.takeUp(c, s.entries[(n+try+1)%3], try, events, touched)
				}
			}
		})
	}
	time.Sleep(time.Until(broken))
	if trouble {
		if err := restartAll(c, s.entries, downtime); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(touched))
	const newStreams = 16
	newOnes := make([]*takenUp, newStreams)
	for n := range newOnes {
		t := &takenUp{id: fmt.Sprintf("n%015d", n)}
		newOnes[n] = t
		wg.Go(func() { t.begin(c, s.entries[n%3], 5, time.Now().Add(2*time.Second)) })
	}
	wg.Wait()
	tried, goOn, newBegun := 0, 0, 0
	for _, t := range all {
		if t.inTouch || !trouble {
			tried++
			if t.goesOn {
				goOn++
			}
		}
	}
	for _, t := range newOnes {
		if t.last > 0 {
			newBegun++
		}
	}
	c.rec.add("%d streams were taken up at entries in touch, %d go on; %d new streams, %d begin", tried, goOn, newStreams, newBegun)
	if tried < 12 || newBegun == 0 {
		return false, fmt.Errorf("%d streams were taken up, %d new ones began", tried, newBegun)
	}
	return 2*goOn*newStreams >= tried*newBegun, nil
}

// restartAll kills processes at the same moment and starts them again.
func restartAll(c *cluster, ps []*process, downtime time.Duration) error {
	for _, p := range ps {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range ps {
		p.kill()
	}
	c.rec.add("all %d entries were killed", len(ps))
	time.Sleep(downtime)
	for _, p := range ps {
		if err := c.start(p); err != nil {
			return err
		}
	}
	c.rec.add("all entries are started")
	return nil
}

// begin reads a stream, until a time at which the client closes its channel.
func (t *takenUp) begin(c *cluster, p *process, events int, until time.Time) {
	ch, err := openChannel(c.front(p))
	if err != nil {
		c.rec.add("client: %s: %v", t.id, err)
		return
	}
	defer ch.close()
	status := t.read(ch, events, t.id, until)
	c.rec.add("client: %s at %s: %s, events to %d of software %s", t.id, p.name, status, t.last, t.software)
}

// takeUp takes the stream up again. Entries are in touch from a time on.
func (t *takenUp) takeUp(c *cluster, p *process, try, events int, touched time.Time) {
	from := t.last
	inTouch := time.Now().After(touched)
	t.inTouch = t.inTouch || inTouch
	status := ""
	if ch, err := openChannel(c.front(p)); err != nil {
		status = "no channel"
	} else {
		status = t.read(ch, events, fmt.Sprintf("r%d%s", try, t.id[2:]), time.Now().Add(1500*time.Millisecond))
		ch.close()
	}
	t.goesOn = t.last > from
	c.rec.add("client: %s is taken up at %s, in touch %v, after event %d: %s, events to %d", t.id, p.name, inTouch, from, status, t.last)
}

// read sends the request for a stream and reads events until a time.
func (t *takenUp) read(ch *channel, events int, attempt string, until time.Time) string {
	_ = ch.conn.SetDeadline(until) // Fails only on a closed connection.
	header := fmt.Sprintf("%s: %s\r\n%s: %d\r\n", headerModel, model, headerLength, events)
	if attempt != t.id {
		header += fmt.Sprintf("%s: %d\r\n%s: %s\r\n", headerLastID, t.last, headerResumes, t.id)
	}
	fmt.Fprintf(ch.conn, "POST /talk/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 29000\r\n%sContent-Length: 6\r\n\r\nprompt", host, headerAttempt, attempt, headerDeadline, header)
	resp, err := http.ReadResponse(ch.in, nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d, Retry-After %s", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	text, buf := "", make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		text += string(buf[:n])
		for {
			event, rest, whole := strings.Cut(text, "\n\n")
			if !whole {
				break
			}
			text = rest
			t.add(event)
		}
		if err != nil {
			return "status 200, then: " + err.Error()
		}
	}
}

// add takes an event that came whole.
func (t *takenUp) add(event string) {
	line, data, _ := strings.Cut(event, "\n")
	if id, err := strconv.Atoi(strings.TrimPrefix(line, "id: ")); err == nil {
		t.last = id
	}
	if _, software, ok := strings.Cut(data, " of "); ok && t.software == "" {
		t.software = software
	}
}
