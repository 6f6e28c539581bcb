package demo

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
	"github.com/jujuberamp/jujuberamp/internal/inner/record"
	"github.com/jujuberamp/jujuberamp/internal/proof/invar"
)

const (
	configIn   = 10 * time.Second // stated bound from accepted to in force everywhere
	changeFor  = 8 * time.Second  // one try of an operator
	raceEvery  = 700 * clock.Milli
	watchEvery = 100 * clock.Milli
	raced      = "live-draft" // the class that operators change
)

// accepted is a change that an operator was told is accepted.
type accepted struct {
	lateness int64
	at       time.Time
}

// book is what operators were told, by revision.
type book struct {
	mu   sync.Mutex
	revs map[int64]accepted
}

func (b *book) add(rev, lateness int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.revs == nil {
		b.revs = make(map[int64]accepted)
	}
	b.revs[rev] = accepted{lateness: lateness, at: time.Now()}
}

// due returns the newest revision that must be in force everywhere by now.
func (b *book) due(now time.Time) (newest int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for rev, a := range b.revs {
		if now.Sub(a.at) >= configIn {
			newest = max(newest, rev)
		}
	}
	return newest
}

func (b *book) find(rev int64) (accepted, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.revs[rev]
	return a, ok
}

// apply publishes classes through one entry and waits until they are in force
// on all entries.
func (r *run) apply(ctx context.Context, classes []record.ClassMsg) error {
	var edits []codec.Edit
	for _, c := range classes {
		edits = append(edits, codec.Edit{Name: c.Name, Class: &c})
	}
	op := opcli.New(operatorToken, r.w.urls()[0])
	done, err := op.Change(ctx, codec.Change{Comment: "first classes", Edits: edits})
	if err != nil {
		return err
	}
	took := time.Now()
	ok := r.inForce(ctx, done.Revision)
	r.counts.Check(invar.ConfigStands, ok, fmt.Sprintf("revision %d is not in force everywhere after %s", done.Revision, configIn))
	r.say("revision %d in force on every entry after %s", done.Revision, time.Since(took).Round(time.Millisecond))
	return nil
}

// inForce waits until every entry that is alive has a revision in force.
func (r *run) inForce(ctx context.Context, rev int64) bool {
	until := time.Now().Add(configIn)
	for time.Now().Before(until) && ctx.Err() == nil {
		behind := 0
		for _, u := range r.w.urls() {
			cfg, err := opcli.New(operatorToken, u).Config(ctx)
			if err != nil || cfg.Offset < rev {
				behind++
			}
		}
		if behind == 0 {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// operators lets two operators change one class from the same revision, again
// and again, each through another entry.
func (r *run) operators(ctx context.Context) {
	races, conflicts := 0, 0
	for n := int64(1); ctx.Err() == nil; n++ {
		won, lost, ok := r.race(ctx, n)
		if ok {
			races++
			conflicts += lost
			r.counts.Check(invar.ConfigStands, won <= 1, fmt.Sprintf("race %d: two changes of one revision were accepted", n))
		}
		clock.Sleep(ctx, raceEvery)
	}
	r.say("operators raced %d times, %d changes were refused as conflicts", races, conflicts)
}

// race makes two changes at once and returns how many were accepted and how
// many were refused. It is not ok if the revision can't be read.
func (r *run) race(ctx context.Context, n int64) (won, lost int, ok bool) {
	urls := r.w.urls()
	cfg, err := opcli.New(operatorToken, urls[0]).Config(ctx)
	if err != nil {
		return 0, 0, false
	}
	base, found := classIn(cfg, raced)
	if !found {
		return 0, 0, false
	}
	errs := make([]error, 2)
	var wg sync.WaitGroup
	for i := range errs {
		u := urls[i%len(urls)]
		wg.Go(func() { errs[i] = r.edit(ctx, u, base, 8000+2*n+int64(i)) })
	}
	wg.Wait()
	for _, err := range errs {
		switch {
		case err == nil:
			won++
		case fault.Is(err, fault.Conflict):
			lost++
			named := strings.Contains(err.Error(), "operator-1")
			r.counts.Check(invar.ConfigStands, named, "a conflict does not name who won: "+err.Error())
		}
	}
	return won, lost, true
}

// edit changes the lateness target of a class from a revision. An entry that
// dies or can't tell leaves the change open: then nothing was promised.
func (r *run) edit(ctx context.Context, url string, base codec.Class, lateness int64) error {
	ctx, cancel := context.WithTimeout(ctx, changeFor)
	defer cancel()
	m := base.Class
	m.LatenessMS = lateness
	op := opcli.New(operatorToken, url)
	done, err := op.Change(ctx, codec.Change{
		Comment: fmt.Sprintf("lateness %d ms", lateness),
		Edits:   []codec.Edit{{Name: m.Name, Base: base.Revision, Class: &m}},
	})
	if err == nil {
		r.book.add(done.Revision, lateness)
	}
	return err
}

func classIn(cfg codec.Config, name string) (codec.Class, bool) {
	for _, c := range cfg.Classes {
		if c.Class.Name == name {
			return c, true
		}
	}
	return codec.Class{}, false
}

// watch looks at every entry again and again: what was accepted is in force
// within the bound, shows the value that was accepted, and never goes back.
func (r *run) watch(ctx context.Context) {
	seen := make(map[string]int64)
	for ctx.Err() == nil {
		for _, u := range r.w.urls() {
			due := r.book.due(time.Now())
			cfg, err := opcli.New(operatorToken, u).Config(ctx)
			if err != nil {
				continue // The entry died, or the run ends.
			}
			r.judgeConfig(u, cfg, max(due, seen[u]))
			seen[u] = cfg.Offset
		}
		r.watchAgents(ctx, seen)
		clock.Sleep(ctx, watchEvery)
	}
}

func (r *run) judgeConfig(url string, cfg codec.Config, least int64) {
	r.counts.Check(invar.ConfigStands, cfg.Offset >= least, fmt.Sprintf("%s stands at offset %d, behind %d", url, cfg.Offset, least))
	c, ok := classIn(cfg, raced)
	r.counts.Check(invar.ConfigStands, ok, url+" lost class "+raced)
	if a, told := r.book.find(c.Revision); told {
		same := a.lateness == c.Class.LatenessMS
		r.counts.Check(invar.ConfigStands, same, fmt.Sprintf("%s shows %d ms at revision %d, accepted were %d", url, c.Class.LatenessMS, c.Revision, a.lateness))
	}
}

// watchAgents looks that no agent's configuration goes back, as far as the
// entries know it.
func (r *run) watchAgents(ctx context.Context, seen map[string]int64) {
	u := r.w.urls()[0]
	st, err := opcli.New(operatorToken, u).Status(ctx)
	if err != nil {
		return
	}
	for _, n := range st.Nodes {
		if n.Role != "agent" {
			continue
		}
		key := u + "/" + n.Node
		r.counts.Check(invar.ConfigStands, n.Offset >= seen[key], fmt.Sprintf("%s fell from offset %d to %d", n.Node, seen[key], n.Offset))
		seen[key] = n.Offset
	}
}
