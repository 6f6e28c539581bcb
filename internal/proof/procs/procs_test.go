package procs

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
	"github.com/jujuberamp/jujuberamp/internal/stand/engine"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
	"github.com/jujuberamp/jujuberamp/internal/stand/plain"
	"github.com/jujuberamp/jujuberamp/internal/stand/score"
	"github.com/jujuberamp/jujuberamp/internal/stand/serve"
	"github.com/jujuberamp/jujuberamp/internal/stand/vmlist"
	"github.com/jujuberamp/jujuberamp/internal/stand/weight"
	"github.com/jujuberamp/jujuberamp/trainer"
)

// hang bounds the whole test; it says nothing of how fast the system is.
const hang = 2 * time.Minute

const settings = `
node = %q
zone = "zone-a"
region = "main"
inner-listen = %q
inner-key = "a-key-for-the-process-test"
vms-url = %q
`

type rig struct {
	c      *qt.C
	ctx    context.Context
	dir    string
	bin    string
	plat   string
	vms    *vmlist.List
	ledger *plain.RunCounter // what the plain service has done
	procs  []*exec.Cmd
}

// free returns an address that nobody listens on.
func (r *rig) free() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func (r *rig) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	r.c.Cleanup(srv.Close)
	return srv.URL
}

// start runs one node from a settings file and puts it on the VM list.
func (r *rig) start(role plat.Role, name, more string) *exec.Cmd {
	addr := r.free()
	file := filepath.Join(r.dir, name+".toml")
	text := fmt.Sprintf(settings, name, addr, r.plat) + more
	r.c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	cmd := exec.CommandContext(r.ctx, r.bin, string(role), "--settings", file)
	cmd.Stderr = &bytes.Buffer{}
	r.c.Assert(cmd.Start(), qt.IsNil)
	r.procs = append(r.procs, cmd)
	r.vms.Put(plat.VM{Node: ident.Node(name), Role: role, Addr: addr, Zone: "zone-a", Region: "main"})
	return cmd
}

func digest(token string) string {
	d := sha256.Sum256([]byte(token))
	return hex.EncodeToString(d[:])
}

// startEntry runs an entry and returns its URL.
func (r *rig) startEntry(name, scorer string) (*exec.Cmd, string) {
	at := r.free()
	more := fmt.Sprintf("http-listen = %q\nlog-url = %q\ndrain-delay = \"100ms\"\n", at, r.plat)
	more += fmt.Sprintf("[[scorer]]\nname = \"tone-check\"\nurl = %q\n", scorer)
	for _, role := range []string{"caller", "trainer", "operator"} {
		more += fmt.Sprintf("[[token]]\nname = %q\nrole = %q\nsha256 = %q\n", role+"-1", role, digest(role))
	}
	return r.start(plat.RoleEntry, name, more), "http://" + at
}

// command runs one command of an operator.
func (r *rig) command(args ...string) string {
	cmd := exec.CommandContext(r.ctx, r.bin, args...)
	cmd.Env = append(os.Environ(), "JUJUBERAMP_TOKEN=operator")
	out, err := cmd.CombinedOutput()
	r.c.Assert(err, qt.IsNil, qt.Commentf("%v: %s", args, out))
	return string(out)
}

// until tries again until a step succeeds.
func (r *rig) until(what string, ok func() bool) {
	for !ok() {
		r.c.Assert(r.ctx.Err(), qt.IsNil, qt.Commentf("waiting until %s", what))
		time.Sleep(20 * time.Millisecond)
	}
}

// post sends a caller's request and returns the lines of the answer, nil if it
// was not whole.
func (r *rig) post(url string, m codec.Request) []codec.Chunk {
	b, err := json.Marshal(m)
	r.c.Assert(err, qt.IsNil)
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, url+"/v1/requests", bytes.NewReader(b))
	r.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer caller")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var lines []codec.Chunk
	for dec := json.NewDecoder(resp.Body); ; {
		var line codec.Chunk
		if err := dec.Decode(&line); err != nil {
			return nil
		}
		lines = append(lines, line)
		if line.Done {
			return lines
		}
	}
}

// send makes a request and returns the answer, nil if it was not whole.
func (r *rig) send(url string, m codec.Request) (tokens []uint32) {
	for _, line := range r.post(url, m) {
		tokens = append(tokens, line.Tokens...)
	}
	return tokens
}

// act sends an action with a key and returns the answer, nil if there is none.
func (r *rig) act(url, key, body string) []byte {
	lines := r.post(url, codec.Request{Class: "branch-notice", Key: key, Body: body})
	if len(lines) == 0 {
		return nil
	}
	return lines[len(lines)-1].Body
}

func newRig(t *testing.T) *rig {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	c.Cleanup(cancel)
	clk := clock.NewSystem()
	r := &rig{c: c, ctx: ctx, dir: t.TempDir(), vms: vmlist.New(clk, 100*clock.Milli), ledger: plain.NewRunCounter()}
	r.bin = filepath.Join(r.dir, "jujuberamp")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", r.bin, "../../../cmd/jujuberamp").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	r.plat = r.serve(serve.Platform(logsvc.New(clk, logsvc.Params{}), r.vms, weight.New(clk, 10)))
	c.Cleanup(func() {
		for _, p := range r.procs {
			_ = p.Process.Kill() // Only processes that this test started.
			_ = p.Wait()
		}
	})
	return r
}

// startBackends runs agents beside two engines and one plain service.
func (r *rig) startBackends() []*exec.Cmd {
	clk := clock.NewSystem()
	var out []*exec.Cmd
	for i := range 2 {
		e := engine.New(engine.Params{
			Batch: batch.Params{Slots: 16, Rate: 200, Knee: 8, PrefillRate: 50_000, CachedPrefixes: 8},
			Model: "notice-model", Version: 1, LoadTime: 50 * clock.Milli, Fenced: i == 0,
		}, clk)
		go e.Run(r.ctx)
		more := fmt.Sprintf("probe-listen = %q\nweights-url = %q\nengine-url = %q\nreport = \"100ms\"\n", r.free(), r.plat, r.serve(serve.Engine(e)))
		out = append(out, r.start(plat.RoleAgent, fmt.Sprintf("agent-%d", i+1), more))
	}
	svc := r.serve(serve.Plain(plain.New(r.ledger, clock.Milli)))
	more := fmt.Sprintf("probe-listen = %q\nservice-url = %q\nservice-name = \"notice-pages\"\n", r.free(), svc)
	return append(out, r.start(plat.RoleAgent, "agent-app-1", more))
}

func TestProcesses(t *testing.T) {
	r := newRig(t)
	c := r.c
	scorer := r.serve(serve.Scorer(score.New(clock.Milli)))
	first, url1 := r.startEntry("entry-1", scorer)
	_, url2 := r.startEntry("entry-2", scorer)
	agents := r.startBackends()

	ready := func(u string) func() bool {
		return func() bool {
			resp, err := http.Get(u + "/readyz")
			if err != nil {
				return false
			}
			defer func() { _ = resp.Body.Close() }()
			return resp.StatusCode == http.StatusOK
		}
	}
	r.until("both entries are ready", func() bool { return ready(url1)() && ready(url2)() })
	out := r.command("apply", "../../../examples/lamphun/classes", "--entry", url1, "--comment", "first")
	c.Assert(out, qt.Contains, "Accepted as revision 1")
	c.Assert(r.command("plan", "../../../examples/lamphun/classes", "--entry", url2), qt.Contains, "No change")
	c.Assert(r.command("audit", "--entry", url2), qt.Contains, "operator-1")

	// A caller gets its whole answer.
	want := oracle.Answer([]byte("snow at dawn"), 5, 512)
	r.until("an answer is whole", func() bool {
		return slices.Equal(r.send(url2, codec.Request{Class: "parent-summary", Body: "snow at dawn", Seed: 5}), want)
	})

	// An action is sent again and again through both entries, and runs once.
	key := uuid.Must(uuid.NewV7()).String()
	reply := oracle.Reply([]byte("branch 7 is shut"))
	r.until("the action is answered", func() bool { return bytes.Equal(r.act(url1, key, "branch 7 is shut"), reply) })
	c.Assert(r.act(url2, key, "branch 7 is shut"), qt.DeepEquals, reply)

	// A trainer's round survives the death of an entry, each sample once.
	tr := trainer.New([]string{url1, url2}, "trainer")
	spec := trainer.Spec{Name: "step-1", Class: "train-notices", Version: 1, Samples: 8, Seed: 9, Prompts: []string{"a", "b", "c", "d"}}
	rd, err := tr.Open(r.ctx, spec)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Process.Kill(), qt.IsNil)
	got := make(map[int]int)
	for !rd.Whole() {
		samples, err := rd.Read(r.ctx, 1)
		c.Assert(err, qt.IsNil)
		for _, s := range samples {
			got[s.Ordinal]++
			p := spec.Prompts[s.Ordinal/spec.Samples]
			c.Assert(s.Tokens, qt.DeepEquals, oracle.Answer([]byte(p), spec.Seed+int64(s.Ordinal), 1024))
		}
	}
	c.Assert(got, qt.HasLen, 32)
	for o, n := range got {
		c.Assert(n, qt.Equals, 1, qt.Commentf("ordinal %d", o))
	}

	// The action's outcome is known after the entry that ran it has died.
	c.Assert(r.act(url2, key, "branch 7 is shut"), qt.DeepEquals, reply)
	c.Assert(r.ledger.Runs("branch 7 is shut"), qt.Equals, 1)

	// Operators see that nothing is quarantined and that both nodes stand.
	c.Assert(r.command("quarantine", "--entry", url2), qt.Contains, "No request is quarantined")
	c.Assert(r.command("status", "--entry", url2), qt.Contains, "agent-app-1")

	// A terminated agent ends by itself and cuts no answer.
	type result struct {
		body   string
		tokens []uint32
	}
	results := make(chan result, 8)
	for i := range cap(results) {
		body := fmt.Sprintf("drain %d", i)
		go func() { results <- result{body, r.send(url2, codec.Request{Class: "parent-summary", Body: body})} }()
	}
	c.Assert(agents[0].Process.Signal(syscall.SIGTERM), qt.IsNil)
	for range cap(results) {
		res := <-results
		c.Assert(res.tokens, qt.DeepEquals, oracle.Answer([]byte(res.body), 0, 512), qt.Commentf("%s", res.body))
	}
	c.Assert(agents[0].Wait(), qt.IsNil, qt.Commentf("%s", agents[0].Stderr))
}
