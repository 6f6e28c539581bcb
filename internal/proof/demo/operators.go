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
	maxConfigDelay = 10 * time.Second // guaranteed bound from accepting a change to having it in force on all entries
	changeTimeout  = 8 * time.Second  // for one change by an operator
	raceInterval   = 700 * clock.Milli
	watchInterval  = 100 * clock.Milli
	racedClass     = "live-draft" // class that two operators change concurrently
)

// acceptedChange is a change that an entry reported to an operator as accepted.
type acceptedChange struct {
	latenessMS int64
	acceptedAt time.Time
}

// changeLog holds the accepted changes by revision. It is safe for concurrent use.
type changeLog struct {
	mu         sync.Mutex
	byRevision map[int64]acceptedChange
}

// add adds a change that was accepted just now.
func (l *changeLog) add(rev, lateness int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRevision == nil {
		l.byRevision = make(map[int64]acceptedChange)
	}
	l.byRevision[rev] = acceptedChange{latenessMS: lateness, acceptedAt: time.Now()}
}

// newestDue returns the newest revision that must be in force on all entries by
// now.
func (l *changeLog) newestDue(now time.Time) (newest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for rev, a := range l.byRevision {
		if now.Sub(a.acceptedAt) >= maxConfigDelay {
			newest = max(newest, rev)
		}
	}
	return newest
}

// find returns the accepted change with a revision.
func (l *changeLog) find(rev int64) (acceptedChange, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.byRevision[rev]
	return a, ok
}

// applyClasses publishes classes through one entry and waits until they are in force
// on all entries.
func (r *run) applyClasses(ctx context.Context, classes []record.ClassMsg) error {
	var edits []codec.Edit
	for _, c := range classes {
		edits = append(edits, codec.Edit{Name: c.Name, Class: &c})
	}
	op := opcli.New(operatorToken, r.cluster.entryURLs()[0])
	accepted, err := op.Change(ctx, codec.Change{Comment: "first classes", Edits: edits})
	if err != nil {
		return err
	}
	acceptedAt := time.Now()
	ok := r.waitInForce(ctx, accepted.Revision)
	r.counts.Check(invar.ConfigStands, ok, fmt.Sprintf("revision %d is not in force everywhere after %s", accepted.Revision, maxConfigDelay))
	r.progressf("revision %d in force on every entry after %s", accepted.Revision, time.Since(acceptedAt).Round(time.Millisecond))
	return nil
}

// waitInForce waits until a revision is in force on every entry that is not
// stopped. It returns false after maxConfigDelay or when the context ends.
func (r *run) waitInForce(ctx context.Context, rev int64) bool {
	deadline := time.Now().Add(maxConfigDelay)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		behind := 0
		for _, u := range r.cluster.entryURLs() {
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

// runOperators runs two operators that repeatedly change the same class from the
// same revision, each through a different entry. At most one of the two changes
// may be accepted.
func (r *run) runOperators(ctx context.Context) {
	races, conflicts := 0, 0
	for n := int64(1); ctx.Err() == nil; n++ {
		accepted, refused, ok := r.raceChanges(ctx, n)
		if ok {
			races++
			conflicts += refused
			r.counts.Check(invar.ConfigStands, accepted <= 1, fmt.Sprintf("race %d: two changes of one revision were accepted", n))
		}
		clock.Sleep(ctx, raceInterval)
	}
	r.progressf("operators raced %d times, %d changes were refused as conflicts", races, conflicts)
}

// raceChanges makes two changes concurrently and returns how many were accepted
// and how many were refused as conflicts. The result ok is false if the current
// configuration can't be read or lacks the class.
func (r *run) raceChanges(ctx context.Context, n int64) (accepted, conflicts int, ok bool) {
	urls := r.cluster.entryURLs()
	cfg, err := opcli.New(operatorToken, urls[0]).Config(ctx)
	if err != nil {
		return 0, 0, false
	}
	base, found := classIn(cfg, racedClass)
	if !found {
		return 0, 0, false
	}
	errs := make([]error, 2)
	var wg sync.WaitGroup
	for i := range errs {
		u := urls[i%len(urls)]
		wg.Go(func() { errs[i] = r.changeLateness(ctx, u, base, 8000+2*n+int64(i)) })
	}
	wg.Wait()
	for _, err := range errs {
		switch {
		case err == nil:
			accepted++
		case fault.Is(err, fault.Conflict):
			conflicts++
			namesWinner := strings.Contains(err.Error(), "operator-1")
			r.counts.Check(invar.ConfigStands, namesWinner, "a conflict does not name who won: "+err.Error())
		}
	}
	return accepted, conflicts, true
}

// changeLateness changes the lateness target of a class from a revision and adds
// the change to the change log if it was accepted. If the entry dies or returns
// an unknown outcome, the change isn't added, since no guarantee applies to it.
func (r *run) changeLateness(ctx context.Context, url string, base codec.Class, lateness int64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	m := base.Class
	m.LatenessMS = lateness
	op := opcli.New(operatorToken, url)
	accepted, err := op.Change(ctx, codec.Change{
		Comment: fmt.Sprintf("lateness %d ms", lateness),
		Edits:   []codec.Edit{{Name: m.Name, Base: base.Revision, Class: &m}},
	})
	if err == nil {
		r.changeLog.add(accepted.Revision, lateness)
	}
	return err
}

// classIn returns the class with a name from a configuration.
func classIn(cfg codec.Config, name string) (codec.Class, bool) {
	for _, c := range cfg.Classes {
		if c.Class.Name == name {
			return c, true
		}
	}
	return codec.Class{}, false
}

// watchConfig polls every entry. It checks that an accepted change is in force
// within maxConfigDelay and has the accepted value, and that the configuration
// never returns to an earlier offset.
func (r *run) watchConfig(ctx context.Context) {
	seen := make(map[string]int64)
	for ctx.Err() == nil {
		for _, u := range r.cluster.entryURLs() {
			due := r.changeLog.newestDue(time.Now())
			cfg, err := opcli.New(operatorToken, u).Config(ctx)
			if err != nil {
				continue // The entry has died or the run ends.
			}
			r.verifyConfig(u, cfg, max(due, seen[u]))
			seen[u] = cfg.Offset
		}
		r.checkAgentOffsets(ctx, seen)
		clock.Sleep(ctx, watchInterval)
	}
}

// verifyConfig checks the configuration of an entry, which must have reached
// minOffset.
func (r *run) verifyConfig(url string, cfg codec.Config, minOffset int64) {
	r.counts.Check(invar.ConfigStands, cfg.Offset >= minOffset, fmt.Sprintf("%s stands at offset %d, behind %d", url, cfg.Offset, minOffset))
	c, ok := classIn(cfg, racedClass)
	r.counts.Check(invar.ConfigStands, ok, url+" lost class "+racedClass)
	if a, found := r.changeLog.find(c.Revision); found {
		same := a.latenessMS == c.Class.LatenessMS
		r.counts.Check(invar.ConfigStands, same, fmt.Sprintf("%s shows %d ms at revision %d, accepted were %d", url, c.Class.LatenessMS, c.Revision, a.latenessMS))
	}
}

// checkAgentOffsets checks that the configuration of no agent returns to an
// earlier offset. It reads the offsets from the status of the first entry and
// stores them in seen.
func (r *run) checkAgentOffsets(ctx context.Context, seen map[string]int64) {
	u := r.cluster.entryURLs()[0]
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
