package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/edge/client"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/proof/invar"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
	"github.com/jujuberamp/jujuberamp/trainer"
)

const (
	callerCount = 6
	callerPause = 60 * time.Millisecond
	draftTokens = 256
)

// callers send drafts and lookups until the context ends.
func (r *run) callers(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range r.scene.callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(r.o.Seed, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				r.oneCall(ctx, fmt.Sprintf("caller %d request %d", i, n), rng)
				time.Sleep(callerPause)
			}
		})
	}
	wg.Wait()
}

func (r *run) oneCall(ctx context.Context, body string, rng *rand.Rand) {
	urls := r.w.urls()
	u := urls[rng.IntN(len(urls))]
	if rng.IntN(r.scene.lookups) == 0 {
		r.lookup(ctx, u, body)
		return
	}
	seed := rng.Int64()
	began := time.Now()
	ans, err := send(ctx, u, codec.Request{Class: "live-draft", Body: body, Seed: seed, MaxTokens: draftTokens})
	if ctx.Err() != nil || err != nil {
		return // Refused or failed openly: nothing was claimed.
	}
	want := oracle.Answer([]byte(body), seed, draftTokens)
	r.counts.Check(invar.WholeAnswer, slices.Equal(ans.tokens, want), fmt.Sprintf("%s got %d of %d tokens", body, len(ans.tokens), len(want)))
	r.meas.draft(time.Since(began), len(want))
}

func (r *run) lookup(ctx context.Context, u, body string) {
	began := time.Now()
	ans, err := send(ctx, u, codec.Request{Class: "closure-record", Body: body})
	if ctx.Err() != nil || err != nil {
		return
	}
	r.counts.Check(invar.WholeAnswer, bytes.Equal(ans.body, oracle.Reply([]byte(body))), body+" got another answer")
	r.meas.lookup(time.Since(began))
}

type answer struct {
	tokens []uint32
	body   []byte
}

// send makes one request and reads its answer to the last line.
func send(ctx context.Context, u string, m codec.Request) (answer, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return answer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u+"/v1/requests", bytes.NewReader(b))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer client.DrainAndClose(resp.Body)
	dec := json.NewDecoder(resp.Body)
	if resp.StatusCode != http.StatusOK {
		var f codec.Fault
		if err := dec.Decode(&f); err != nil {
			return answer{}, err
		}
		return answer{}, f.Err()
	}
	var a answer
	for {
		var c codec.Chunk
		if err := dec.Decode(&c); err != nil {
			return a, errors.Wrap(err, "answer ended without its last line")
		}
		if c.Fault != nil {
			return a, c.Fault.Err()
		}
		a.tokens = append(a.tokens, c.Tokens...)
		if c.Done {
			a.body = c.Body
			return a, nil
		}
	}
}

// Size of a step of the demonstration's trainer.
const (
	steps      = 4
	groups     = 8
	perGroup   = 8
	stepTokens = 512
	trainFor   = 300 * time.Millisecond // the trainer's own work in a step
	bound      = 1                      // versions; as declared
)

// train runs the steps of one trainer, with new weights after each. It opens
// the next step's round before it trains, so that the engines don't wait for
// the trainer.
func (r *run) train(ctx context.Context) error {
	c := trainer.New(r.w.urls(), trainerToken)
	if err := c.Announce(ctx, model, 1); err != nil {
		return err
	}
	next, err := r.openStep(ctx, c, 1)
	for version := uint64(1); err == nil && version <= steps; version++ {
		if err = c.Announce(ctx, model, version); err != nil {
			break
		}
		began := time.Now()
		if err = r.readStep(ctx, next, version); err != nil {
			break
		}
		took := time.Since(began)
		r.say("step %d: %d samples in %s", version, groups*perGroup, took.Round(time.Millisecond))
		if version < steps {
			next, err = r.openStep(ctx, c, version+1)
		}
		time.Sleep(trainFor)
		r.meas.step(took, trainFor)
	}
	return err
}

// stepSpec is the round of the step whose samples are for a version.
func (r *run) stepSpec(version uint64) trainer.Spec {
	spec := trainer.Spec{
		Name:    fmt.Sprintf("step-%d", version),
		Class:   "train-notices",
		Version: version,
		Samples: perGroup,
		Seed:    int64(r.o.Seed)*1000 + int64(version)*100,
	}
	for g := range groups {
		spec.Prompts = append(spec.Prompts, fmt.Sprintf("step %d group %d: draft a closure notice", version, g))
	}
	return spec
}

func (r *run) openStep(ctx context.Context, c *trainer.Client, version uint64) (*trainer.Round, error) {
	return c.Open(ctx, r.stepSpec(version))
}

func (r *run) readStep(ctx context.Context, rd *trainer.Round, version uint64) error {
	spec := r.stepSpec(version)
	got := make(map[int]int)
	for !rd.Whole() {
		samples, err := rd.Read(ctx, version)
		if err != nil {
			return err
		}
		for _, s := range samples {
			got[s.Ordinal]++
			r.judge(spec, version, s)
		}
	}
	for o := range groups * perGroup {
		r.counts.Check(invar.SampleOnce, got[o] == 1, fmt.Sprintf("%s ordinal %d came %d times", spec.Name, o, got[o]))
	}
	return rd.Cancel(ctx)
}

// judge compares one sample with the stand-ins' own records.
func (r *run) judge(spec trainer.Spec, version uint64, s trainer.Sample) {
	name := fmt.Sprintf("%s ordinal %d", spec.Name, s.Ordinal)
	want := oracle.Answer([]byte(spec.Prompts[s.Ordinal/perGroup]), spec.Seed+int64(s.Ordinal), stepTokens)
	r.counts.Check(invar.WholeAnswer, slices.Equal(s.Tokens, want), name+" is not its own answer")
	oldest := version
	for _, sp := range s.Spans {
		oldest = min(oldest, sp.Version)
	}
	r.counts.Check(invar.FreshSample, oldest+bound >= version, fmt.Sprintf("%s was made by version %d, wanted %d", name, oldest, version))
	r.meas.stale(int(version - oldest))
	r.counts.Check(invar.TrueVersion, r.isTrue(spec, s), fmt.Sprintf("%s claims %v", name, s.Spans))
}

// isTrue reports whether the engines' records confirm the version of every
// token, over all engines that made a part.
func (r *run) isTrue(spec trainer.Spec, s trainer.Sample) bool {
	prompt := []byte(spec.Prompts[s.Group])
	to := 0
	for _, sp := range codec.ToSpans(s.Spans) {
		if sp.From != to || !r.w.confirms(prompt, spec.Seed+int64(s.Ordinal), sp) {
			return false
		}
		to = sp.To
	}
	return to == len(s.Tokens)
}
