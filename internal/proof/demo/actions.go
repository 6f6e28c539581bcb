package demo

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	errkind "github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/proof/invar"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
)

const (
	actionClass   = "branch-notice"
	actionCallers = 3
	actionPause   = 30 * time.Millisecond
	actionTries   = 8
	actionRetry   = 150 * time.Millisecond
	oldKey        = 24 * time.Hour
)

// deeds are the bodies of all actions sent, and of those whose callers were
// told that they did not run and never sent them again.
type deeds struct {
	mu      sync.Mutex
	sent    []string
	refused []string
}

func (d *deeds) add(list *[]string, body string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*list = append(*list, body)
}

// actions send work that may run once until the context ends.
func (r *run) actions(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range actionCallers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(r.o.Seed, uint64(1000+i)))
			for n := 0; ctx.Err() == nil; n++ {
				r.oneAction(ctx, fmt.Sprintf("action %d of caller %d", n, i), rng)
				time.Sleep(actionPause)
			}
		})
	}
	wg.Wait()
}

// oneAction sends one action, at times through two entries at once, and again
// through other entries until its outcome is known.
func (r *run) oneAction(ctx context.Context, body string, rng *rand.Rand) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	r.deeds.add(&r.deeds.sent, body)
	m := codec.Request{Class: actionClass, Key: key.String(), Body: body, FirstSend: true}
	var wg sync.WaitGroup
	if rng.IntN(8) == 0 {
		m.FirstSend = false
		u := r.anyURL(rng)
		wg.Go(func() { r.sendAction(ctx, u, m) })
	}
	patient := rng.IntN(3) > 0
	again := rng.IntN(4) == 0
	for range actionTries {
		out := r.sendAction(ctx, r.anyURL(rng), m)
		m.FirstSend = false
		if out == errkind.Done && !again {
			break
		}
		if out == errkind.Done {
			again = false
			continue // Its answer must be learned, not made again.
		}
		wg.Wait()
		if out == errkind.NotRun {
			r.counts.Check(invar.TrueRefusal, r.w.ledger.Runs(body) == 0, body+" was refused as not run, and ran")
			if !patient {
				r.deeds.add(&r.deeds.refused, body)
				break
			}
		}
		time.Sleep(actionRetry)
	}
	wg.Wait()
}

func (r *run) anyURL(rng *rand.Rand) string {
	urls := r.w.urls()
	return urls[rng.IntN(len(urls))]
}

// sendAction sends once and checks an answer. An answer that did not come, or
// that names no kind, leaves the outcome unknown.
func (r *run) sendAction(ctx context.Context, u string, m codec.Request) errkind.Outcome {
	ans, err := send(ctx, u, m)
	if err == nil {
		r.counts.Check(invar.WholeAnswer, bytes.Equal(ans.body, oracle.Reply([]byte(m.Body))), m.Body+" got another answer")
		r.counts.Check(invar.AtMostOnce, r.w.ledger.Runs(m.Body) == 1, fmt.Sprintf("%s is done, and ran %d times", m.Body, r.w.ledger.Runs(m.Body)))
		return errkind.Done
	}
	f, ok := errkind.As(err)
	if !ok || ctx.Err() != nil {
		return errkind.Unknown
	}
	return f.Outcome()
}

// probes sends actions that must be refused, once each.
func (r *run) probes(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	first := codec.Request{Class: actionClass, Key: key.String(), Body: "probe", FirstSend: true}
	u := r.w.urls()[0]
	if out := r.sendAction(ctx, u, first); out != errkind.Done {
		return fmt.Errorf("the first action ended as %s", out)
	}
	old := key
	ms := time.Now().Add(-oldKey).UnixMilli()
	for i := range 6 {
		old[i] = byte(ms >> (40 - 8*i))
	}
	for _, p := range []struct {
		body string
		want errkind.Kind
		m    codec.Request
	}{
		{"probe of a used key", errkind.KeyReused, codec.Request{Class: actionClass, Key: first.Key}},
		{"probe of an old key", errkind.KeyExpired, codec.Request{Class: actionClass, Key: old.String()}},
		{"probe of no key", errkind.BadRequest, codec.Request{Class: actionClass}},
		{"probe of a past deadline", errkind.PastDeadline, codec.Request{Class: actionClass, Key: newKey(), FirstSend: true, DeadlineMS: -1}},
		{"probe of no class", errkind.UnknownClass, codec.Request{Class: "no-class", Key: newKey()}},
	} {
		p.m.Body = p.body
		r.deeds.add(&r.deeds.refused, p.body)
		_, err := send(ctx, u, p.m)
		r.counts.Check(invar.TrueRefusal, errkind.Is(err, p.want), fmt.Sprintf("%s was answered with %v", p.body, err))
	}
	return nil
}

func newKey() string {
	k, err := uuid.NewV7()
	if err != nil {
		return ""
	}
	return k.String()
}

// judgeActions compares what callers were told with the service's own record.
func (r *run) judgeActions() {
	r.deeds.mu.Lock()
	defer r.deeds.mu.Unlock()
	for _, b := range r.deeds.sent {
		n := r.w.ledger.Runs(b)
		r.counts.Check(invar.AtMostOnce, n <= 1, fmt.Sprintf("%s ran %d times", b, n))
	}
	for _, b := range r.deeds.refused {
		r.counts.Check(invar.TrueRefusal, r.w.ledger.Runs(b) == 0, b+" was refused as not run, and ran later")
	}
}
