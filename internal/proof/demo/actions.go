package demo

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/proof/invar"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
)

const (
	actionClass       = "branch-notice"
	actionCallers     = 3
	actionInterval    = 30 * time.Millisecond
	maxActionAttempts = 8
	actionRetryDelay  = 150 * time.Millisecond
	expiredKeyAge     = 24 * time.Hour
)

// actionLog holds the bodies of all actions that were sent, and of those that
// were refused as not executed and not sent again. It is safe for concurrent use.
type actionLog struct {
	mu      sync.Mutex
	sent    []string
	refused []string
}

// add appends a body to one of the lists of l.
func (l *actionLog) add(list *[]string, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, body)
}

// runActionCallers sends actions, which may run at most once each, until the
// context ends.
func (r *run) runActionCallers(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range actionCallers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(1000+i)))
			for n := 0; ctx.Err() == nil; n++ {
				r.performAction(ctx, fmt.Sprintf("action %d of caller %d", n, i), rng)
				time.Sleep(actionInterval)
			}
		})
	}
	wg.Wait()
}

// performAction sends an action and retries it through random entries until its
// outcome is known. In one of eight cases it sends the action twice concurrently.
func (r *run) performAction(ctx context.Context, body string, rng *rand.Rand) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	r.actionLog.add(&r.actionLog.sent, body)
	m := codec.Request{Class: actionClass, Key: key.String(), Body: body, FirstSend: true}
	var wg sync.WaitGroup
	if rng.IntN(8) == 0 {
		m.FirstSend = false
		u := r.anyURL(rng)
		wg.Go(func() { r.sendAction(ctx, u, m) })
	}
	retryRefused := rng.IntN(3) > 0
	sendTwice := rng.IntN(4) == 0 // once more after it is done
	for range maxActionAttempts {
		outcome := r.sendAction(ctx, r.anyURL(rng), m)
		m.FirstSend = false
		if outcome == fault.Done && !sendTwice {
			break
		}
		if outcome == fault.Done {
			sendTwice = false
			continue // The next answer must come from the record, not from another run.
		}
		wg.Wait()
		if outcome == fault.NotRun {
			r.counts.Check(invar.TrueRefusal, r.cluster.runCounts.Runs(body) == 0, body+" was refused as not run, and ran")
			if !retryRefused {
				r.actionLog.add(&r.actionLog.refused, body)
				break
			}
		}
		time.Sleep(actionRetryDelay)
	}
	wg.Wait()
}

// anyURL returns the URL of a random entry.
func (r *run) anyURL(rng *rand.Rand) string {
	urls := r.cluster.entryURLs()
	return urls[rng.IntN(len(urls))]
}

// sendAction sends an action once, checks the answer and returns the outcome. The
// outcome is unknown if there is no answer or if the error has no fault kind.
func (r *run) sendAction(ctx context.Context, u string, m codec.Request) fault.Outcome {
	ans, err := send(ctx, u, m)
	if err == nil {
		r.counts.Check(invar.WholeAnswer, bytes.Equal(ans.body, oracle.Reply([]byte(m.Body))), m.Body+" got another answer")
		r.counts.Check(invar.AtMostOnce, r.cluster.runCounts.Runs(m.Body) == 1, fmt.Sprintf("%s is done, and ran %d times", m.Body, r.cluster.runCounts.Runs(m.Body)))
		return fault.Done
	}
	f, ok := fault.As(err)
	if !ok || ctx.Err() != nil {
		return fault.Unknown
	}
	return f.Outcome()
}

// checkRefusals sends an action that must succeed and then actions that must be
// refused, once each.
func (r *run) checkRefusals(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	first := codec.Request{Class: actionClass, Key: key.String(), Body: "probe", FirstSend: true}
	u := r.cluster.entryURLs()[0]
	if outcome := r.sendAction(ctx, u, first); outcome != fault.Done {
		return fmt.Errorf("the first action ended as %s", outcome)
	}
	expired := key // with a time stamp of expiredKeyAge ago
	ms := time.Now().Add(-expiredKeyAge).UnixMilli()
	for i := range 6 {
		expired[i] = byte(ms >> (40 - 8*i))
	}
	for _, probe := range []struct {
		body string
		want fault.Kind
		m    codec.Request
	}{
		{"probe of a used key", fault.KeyReused, codec.Request{Class: actionClass, Key: first.Key}},
		{"probe of an old key", fault.KeyExpired, codec.Request{Class: actionClass, Key: expired.String()}},
		{"probe of no key", fault.BadRequest, codec.Request{Class: actionClass}},
		{"probe of a past deadline", fault.PastDeadline, codec.Request{Class: actionClass, Key: newKey(), FirstSend: true, DeadlineMS: -1}},
		{"probe of no class", fault.UnknownClass, codec.Request{Class: "no-class", Key: newKey()}},
	} {
		probe.m.Body = probe.body
		r.actionLog.add(&r.actionLog.refused, probe.body)
		_, err := send(ctx, u, probe.m)
		r.counts.Check(invar.TrueRefusal, fault.Is(err, probe.want), fmt.Sprintf("%s was answered with %v", probe.body, err))
	}
	return nil
}

// newKey returns a new idempotency key, or "" if random bytes can't be read.
func newKey() string {
	k, err := uuid.NewV7()
	if err != nil {
		return ""
	}
	return k.String()
}

// verifyActions compares the outcomes that callers received with the run counts of
// the fake service.
func (r *run) verifyActions() {
	r.actionLog.mu.Lock()
	defer r.actionLog.mu.Unlock()
	for _, b := range r.actionLog.sent {
		n := r.cluster.runCounts.Runs(b)
		r.counts.Check(invar.AtMostOnce, n <= 1, fmt.Sprintf("%s ran %d times", b, n))
	}
	for _, b := range r.actionLog.refused {
		r.counts.Check(invar.TrueRefusal, r.cluster.runCounts.Runs(b) == 0, b+" was refused as not run, and ran later")
	}
}
