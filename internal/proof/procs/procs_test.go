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

// testTimeout bounds the whole test. It is no requirement on the speed of the
// system.
const testTimeout = 2 * time.Minute

// settingsFormat holds the settings that all nodes have.
const settingsFormat = `
node = %q
zone = "zone-a"
region = "main"
inner-listen = %q
inner-key = "a-key-for-the-process-test"
vms-url = %q
`

// fixture holds the processes, fakes and files of a test.
type fixture struct {
	c           *qt.C
	ctx         context.Context
	dir         string
	binary      string
	platformURL string
	vms         *vmlist.List
	runCounts   *plain.RunCounter // of the actions that the plain service has run
	processes   []*exec.Cmd
}

// freeAddr returns an unused address on loopback.
func (f *fixture) freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// serve starts an HTTP server and returns its URL.
func (f *fixture) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	f.c.Cleanup(srv.Close)
	return srv.URL
}

// startNode starts a node with a settings file, to which extraSettings is
// appended, and adds the node to the VM list.
func (f *fixture) startNode(role plat.Role, name, extraSettings string) *exec.Cmd {
	addr := f.freeAddr()
	file := filepath.Join(f.dir, name+".toml")
	text := fmt.Sprintf(settingsFormat, name, addr, f.platformURL) + extraSettings
	f.c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	cmd := exec.CommandContext(f.ctx, f.binary, string(role), "--settings", file)
	cmd.Stderr = &bytes.Buffer{}
	f.c.Assert(cmd.Start(), qt.IsNil)
	f.processes = append(f.processes, cmd)
	f.vms.Put(plat.VM{Node: ident.Node(name), Role: role, Addr: addr, Zone: "zone-a", Region: "main"})
	return cmd
}

// digest returns the SHA-256 hash of a token in hexadecimal form.
func digest(token string) string {
	d := sha256.Sum256([]byte(token))
	return hex.EncodeToString(d[:])
}

// startEntry starts an entry and returns its process and its URL.
func (f *fixture) startEntry(name, scorer string) (*exec.Cmd, string) {
	addr := f.freeAddr()
	settings := fmt.Sprintf("http-listen = %q\nlog-url = %q\ndrain-delay = \"100ms\"\n", addr, f.platformURL)
	settings += fmt.Sprintf("[[scorer]]\nname = \"tone-check\"\nurl = %q\n", scorer)
	for _, role := range []string{"caller", "trainer", "operator"} {
		settings += fmt.Sprintf("[[token]]\nname = %q\nrole = %q\nsha256 = %q\n", role+"-1", role, digest(role))
	}
	return f.startNode(plat.RoleEntry, name, settings), "http://" + addr
}

// runCommand runs a command with an operator's token and returns its output.
func (f *fixture) runCommand(args ...string) string {
	cmd := exec.CommandContext(f.ctx, f.binary, args...)
	cmd.Env = append(os.Environ(), "JUJUBERAMP_TOKEN=operator")
	out, err := cmd.CombinedOutput()
	f.c.Assert(err, qt.IsNil, qt.Commentf("%v: %s", args, out))
	return string(out)
}

// waitUntil polls a condition until it is true.
func (f *fixture) waitUntil(description string, condition func() bool) {
	for !condition() {
		f.c.Assert(f.ctx.Err(), qt.IsNil, qt.Commentf("waiting until %s", description))
		time.Sleep(20 * time.Millisecond)
	}
}

// sendRequest sends a request with a caller's token and returns the lines of the
// answer, nil if it is not complete.
func (f *fixture) sendRequest(url string, m codec.Request) []codec.Chunk {
	b, err := json.Marshal(m)
	f.c.Assert(err, qt.IsNil)
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, url+"/v1/requests", bytes.NewReader(b))
	f.c.Assert(err, qt.IsNil)
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

// sendForTokens sends a request and returns the tokens of the answer, nil if it is
// not complete.
func (f *fixture) sendForTokens(url string, m codec.Request) (tokens []uint32) {
	for _, line := range f.sendRequest(url, m) {
		tokens = append(tokens, line.Tokens...)
	}
	return tokens
}

// sendAction sends an action with an idempotency key and returns the answer, nil if
// it is not complete.
func (f *fixture) sendAction(url, key, body string) []byte {
	lines := f.sendRequest(url, codec.Request{Class: "branch-notice", Key: key, Body: body})
	if len(lines) == 0 {
		return nil
	}
	return lines[len(lines)-1].Body
}

// newFixture builds the program and starts the fake platform.
func newFixture(t *testing.T) *fixture {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	clk := clock.NewSystem()
	f := &fixture{c: c, ctx: ctx, dir: t.TempDir(), vms: vmlist.New(clk, 100*clock.Milli), runCounts: plain.NewRunCounter()}
	f.binary = filepath.Join(f.dir, "jujuberamp")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", f.binary, "../../../cmd/jujuberamp").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	f.platformURL = f.serve(serve.Platform(logsvc.New(clk, logsvc.Params{}), f.vms, weight.New(clk, 10)))
	c.Cleanup(func() {
		for _, p := range f.processes {
			_ = p.Process.Kill() // Only processes that this test started.
			_ = p.Wait()
		}
	})
	return f
}

// startBackends starts two engines and one plain service, each with its agent, and
// returns the processes of the agents.
func (f *fixture) startBackends() []*exec.Cmd {
	clk := clock.NewSystem()
	var out []*exec.Cmd
	for i := range 2 {
		e := engine.New(engine.Params{
			Batch: batch.Params{Slots: 16, Rate: 200, Knee: 8, PrefillRate: 50_000, CachedPrefixes: 8},
			Model: "notice-model", Version: 1, LoadTime: 50 * clock.Milli, Fenced: i == 0,
		}, clk)
		go e.Run(f.ctx)
		settings := fmt.Sprintf("probe-listen = %q\nweights-url = %q\nengine-url = %q\nreport = \"100ms\"\n", f.freeAddr(), f.platformURL, f.serve(serve.Engine(e)))
		out = append(out, f.startNode(plat.RoleAgent, fmt.Sprintf("agent-%d", i+1), settings))
	}
	svc := f.serve(serve.Plain(plain.New(f.runCounts, clock.Milli)))
	settings := fmt.Sprintf("probe-listen = %q\nservice-url = %q\nservice-name = \"notice-pages\"\n", f.freeAddr(), svc)
	return append(out, f.startNode(plat.RoleAgent, "agent-app-1", settings))
}

// TestProcesses sends requests, actions and a round through two entries, of which
// one is killed, and terminates an agent.
func TestProcesses(t *testing.T) {
	f := newFixture(t)
	c := f.c
	scorer := f.serve(serve.Scorer(score.New(clock.Milli)))
	entry1, url1 := f.startEntry("entry-1", scorer)
	_, url2 := f.startEntry("entry-2", scorer)
	agents := f.startBackends()

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
	f.waitUntil("both entries are ready", func() bool { return ready(url1)() && ready(url2)() })
	out := f.runCommand("apply", "../../../examples/lamphun/classes", "--entry", url1, "--comment", "first")
	c.Assert(out, qt.Contains, "Accepted as revision 1")
	c.Assert(f.runCommand("plan", "../../../examples/lamphun/classes", "--entry", url2), qt.Contains, "No change")
	c.Assert(f.runCommand("audit", "--entry", url2), qt.Contains, "operator-1")

	// A caller gets its complete answer.
	want := oracle.Answer([]byte("snow at dawn"), 5, 512)
	f.waitUntil("an answer is complete", func() bool {
		return slices.Equal(f.sendForTokens(url2, codec.Request{Class: "parent-summary", Body: "snow at dawn", Seed: 5}), want)
	})

	// An action that is sent repeatedly through both entries runs once.
	key := uuid.Must(uuid.NewV7()).String()
	reply := oracle.Reply([]byte("branch 7 is shut"))
	f.waitUntil("the action is answered", func() bool { return bytes.Equal(f.sendAction(url1, key, "branch 7 is shut"), reply) })
	c.Assert(f.sendAction(url2, key, "branch 7 is shut"), qt.DeepEquals, reply)

	// A round continues after an entry was killed, and the trainer gets each sample
	// once.
	tr := trainer.New([]string{url1, url2}, "trainer")
	spec := trainer.Spec{Name: "step-1", Class: "train-notices", Version: 1, Samples: 8, Seed: 9, Prompts: []string{"a", "b", "c", "d"}}
	rd, err := tr.Open(f.ctx, spec)
	c.Assert(err, qt.IsNil)
	c.Assert(entry1.Process.Kill(), qt.IsNil)
	got := make(map[int]int)
	for !rd.Whole() {
		samples, err := rd.Read(f.ctx, 1)
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

	// The outcome of the action is known after the entry that ran it was killed.
	c.Assert(f.sendAction(url2, key, "branch 7 is shut"), qt.DeepEquals, reply)
	c.Assert(f.runCounts.Runs("branch 7 is shut"), qt.Equals, 1)

	// The operator's commands show no quarantined request and the running nodes.
	c.Assert(f.runCommand("quarantine", "--entry", url2), qt.Contains, "No request is quarantined")
	c.Assert(f.runCommand("status", "--entry", url2), qt.Contains, "agent-app-1")

	// An agent exits with status 0 after SIGTERM and truncates no answer.
	type result struct {
		body   string
		tokens []uint32
	}
	results := make(chan result, 8)
	for i := range cap(results) {
		body := fmt.Sprintf("drain %d", i)
		go func() {
			results <- result{body, f.sendForTokens(url2, codec.Request{Class: "parent-summary", Body: body})}
		}()
	}
	c.Assert(agents[0].Process.Signal(syscall.SIGTERM), qt.IsNil)
	for range cap(results) {
		res := <-results
		c.Assert(res.tokens, qt.DeepEquals, oracle.Answer([]byte(res.body), 0, 512), qt.Commentf("%s", res.body))
	}
	c.Assert(agents[0].Wait(), qt.IsNil, qt.Commentf("%s", agents[0].Stderr))
}
