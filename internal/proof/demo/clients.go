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
	callerCount    = 6
	callerInterval = 60 * time.Millisecond
	draftTokens    = 256
)

// runCallers sends drafts and lookups until the context ends.
func (r *run) runCallers(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range r.scene.callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				r.sendDraftOrLookup(ctx, fmt.Sprintf("caller %d request %d", i, n), rng)
				time.Sleep(callerInterval)
			}
		})
	}
	wg.Wait()
}

// sendDraftOrLookup sends a random draft or lookup and checks the answer.
func (r *run) sendDraftOrLookup(ctx context.Context, body string, rng *rand.Rand) {
	urls := r.cluster.entryURLs()
	u := urls[rng.IntN(len(urls))]
	if rng.IntN(r.scene.requestsPerLookup) == 0 {
		r.sendLookup(ctx, u, body)
		return
	}
	seed := rng.Int64()
	startedAt := time.Now()
	ans, err := send(ctx, u, codec.Request{Class: "live-draft", Body: body, Seed: seed, MaxTokens: draftTokens})
	if ctx.Err() != nil || err != nil {
		return // A refusal or reported failure violates no guarantee.
	}
	want := oracle.Answer([]byte(body), seed, draftTokens)
	r.counts.Check(invar.WholeAnswer, slices.Equal(ans.tokens, want), fmt.Sprintf("%s got %d of %d tokens", body, len(ans.tokens), len(want)))
	r.measures.addDraft(time.Since(startedAt), len(want))
}

// sendLookup sends a lookup and checks the answer.
func (r *run) sendLookup(ctx context.Context, u, body string) {
	startedAt := time.Now()
	ans, err := send(ctx, u, codec.Request{Class: "closure-record", Body: body})
	if ctx.Err() != nil || err != nil {
		return
	}
	r.counts.Check(invar.WholeAnswer, bytes.Equal(ans.body, oracle.Reply([]byte(body))), body+" got another answer")
	r.measures.addLookup(time.Since(startedAt))
}

// answer is a complete answer of an entry.
type answer struct {
	tokens []uint32
	body   []byte
}

// send sends a request and reads its answer up to the last line.
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

// Numbers and sizes of the trainer's steps.
const (
	stepCount       = 4
	groupCount      = 8
	samplesPerGroup = 8
	sampleTokens    = 512
	trainingTime    = 300 * time.Millisecond // time in each step in which the trainer updates the weights
	stalenessBound  = 1                      // versions, as in the class train-notices
)

// runTrainer runs the steps of one trainer, each with a new version of the
// weights. It opens the round of the next step before it trains, so that the
// engines don't wait for the trainer.
func (r *run) runTrainer(ctx context.Context) error {
	c := trainer.New(r.cluster.entryURLs(), trainerToken)
	if err := c.Announce(ctx, modelName, 1); err != nil {
		return err
	}
	next, err := r.openStep(ctx, c, 1)
	for version := uint64(1); err == nil && version <= stepCount; version++ {
		if err = c.Announce(ctx, modelName, version); err != nil {
			break
		}
		startedAt := time.Now()
		if err = r.readStep(ctx, next, version); err != nil {
			break
		}
		took := time.Since(startedAt)
		r.progressf("step %d: %d samples in %s", version, groupCount*samplesPerGroup, took.Round(time.Millisecond))
		if version < stepCount {
			next, err = r.openStep(ctx, c, version+1)
		}
		time.Sleep(trainingTime)
		r.measures.addStep(took, trainingTime)
	}
	return err
}

// stepSpec returns the specification of the round of a step. Each step has its own
// version.
func (r *run) stepSpec(version uint64) trainer.Spec {
	spec := trainer.Spec{
		Name:    fmt.Sprintf("step-%d", version),
		Class:   "train-notices",
		Version: version,
		Samples: samplesPerGroup,
		Seed:    int64(r.opts.Seed)*1000 + int64(version)*100,
	}
	for g := range groupCount {
		spec.Prompts = append(spec.Prompts, fmt.Sprintf("step %d group %d: draft a closure notice", version, g))
	}
	return spec
}

// openStep opens the round of a step.
func (r *run) openStep(ctx context.Context, c *trainer.Client, version uint64) (*trainer.Round, error) {
	return c.Open(ctx, r.stepSpec(version))
}

// readStep reads and verifies all samples of a step and cancels the round.
func (r *run) readStep(ctx context.Context, rd *trainer.Round, version uint64) error {
	spec := r.stepSpec(version)
	received := make(map[int]int) // deliveries by ordinal
	for !rd.Whole() {
		samples, err := rd.Read(ctx, version)
		if err != nil {
			return err
		}
		for _, s := range samples {
			received[s.Ordinal]++
			r.verifySample(spec, version, s)
		}
	}
	for o := range groupCount * samplesPerGroup {
		r.counts.Check(invar.SampleOnce, received[o] == 1, fmt.Sprintf("%s ordinal %d came %d times", spec.Name, o, received[o]))
	}
	return rd.Cancel(ctx)
}

// verifySample compares a sample with the expected answer and with the records of
// the fake engines.
func (r *run) verifySample(spec trainer.Spec, version uint64, s trainer.Sample) {
	name := fmt.Sprintf("%s ordinal %d", spec.Name, s.Ordinal)
	want := oracle.Answer([]byte(spec.Prompts[s.Ordinal/samplesPerGroup]), spec.Seed+int64(s.Ordinal), sampleTokens)
	r.counts.Check(invar.WholeAnswer, slices.Equal(s.Tokens, want), name+" is not its own answer")
	oldest := version
	for _, sp := range s.Spans {
		oldest = min(oldest, sp.Version)
	}
	r.counts.Check(invar.FreshSample, oldest+stalenessBound >= version, fmt.Sprintf("%s was made by version %d, wanted %d", name, oldest, version))
	r.measures.addStaleness(int(version - oldest))
	r.counts.Check(invar.TrueVersion, r.versionsConfirmed(spec, s), fmt.Sprintf("%s claims %v", name, s.Spans))
}

// versionsConfirmed reports whether the records of the engines confirm the version
// of every token. The spans of a sample may come from several engines.
func (r *run) versionsConfirmed(spec trainer.Spec, s trainer.Sample) bool {
	prompt := []byte(spec.Prompts[s.Group])
	to := 0
	for _, sp := range codec.ToSpans(s.Spans) {
		if sp.From != to || !r.cluster.confirmSpan(prompt, spec.Seed+int64(s.Ordinal), sp) {
			return false
		}
		to = sp.To
	}
	return to == len(s.Tokens)
}
