package cmds

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/httpd"
	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/node/entry"
	"github.com/jujuberamp/jujuberamp/internal/stand/logsvc"
	"github.com/jujuberamp/jujuberamp/internal/stand/vmlist"
)

// testCluster is two entries on loopback addresses, with a fake log and a fake VM
// list, against which operator commands run.
type testCluster struct {
	*qt.C
	t    *testing.T
	log  *logsvc.Log
	vms  *vmlist.List
	urls []string
}

func newTestCluster(t *testing.T) *testCluster {
	t.Setenv(tokenVar, "ann-token")
	clk := clock.NewSystem()
	s := &testCluster{C: qt.New(t), t: t, log: logsvc.New(clk, logsvc.Params{Seed: 3}), vms: vmlist.New(clk, 0)}
	for _, n := range []ident.Node{"one", "two"} {
		e, err := entry.New(entry.Params{
			Node: n, HTTPAddr: "127.0.0.1:0", InnerAddr: "127.0.0.1:0", Key: []byte("k"), PollInterval: 20 * clock.Milli,
			Tokens:  []httpd.Token{{Digest: sha256.Sum256([]byte("ann-token")), Name: "ann", Role: httpd.RoleOperator}},
			Policy:  match.DefaultPolicy(),
			Clock:   clk,
			Log:     zerolog.Nop(),
			Meter:   noop.Meter{},
			Metrics: http.NotFoundHandler(),
			Source:  s.log,
			VMs:     s.vms,
		})
		s.Assert(err, qt.IsNil)
		ctx, stop := context.WithCancel(context.Background())
		go e.Run(ctx)
		t.Cleanup(func() { stop(); e.Close() })
		s.vms.Put(plat.VM{Node: n, Role: plat.RoleEntry, Addr: e.Addr()})
		s.urls = append(s.urls, e.URL())
	}
	for _, u := range s.urls {
		for ns := 0; ns < 2; time.Sleep(time.Millisecond) {
			out, _ := opcli.New("ann-token", u).Nodes(t.Context())
			ns = len(out.Nodes)
		}
	}
	return s
}

// writeDecls writes declarations to a new directory and returns its path. Each
// class is given as "NAME LATENESS".
func (s *testCluster) writeDecls(classes ...string) string {
	dir := s.t.TempDir()
	var b strings.Builder
	for _, c := range classes {
		f := strings.Fields(c)
		b.WriteString("[class." + f[0] + "]\nkind = \"lookup\"\nservice = \"s\"\nwaiting = \"10ms\"\nlateness = \"" + f[1] + "\"\n")
	}
	s.Assert(os.WriteFile(filepath.Join(dir, "c.toml"), []byte(b.String()), 0o600), qt.IsNil)
	return dir
}

// run executes a command against one of the entries and returns its output and
// exit status.
func (s *testCluster) run(entry int, args ...string) (text string, status int) {
	var out bytes.Buffer
	status = Run(append(args, "--entry", s.urls[entry], "--wait", "20s"), &out, &out)
	return out.String(), status
}

// expectContains checks that an output contains each of the parts.
func (s *testCluster) expectContains(text string, parts ...string) {
	for _, p := range parts {
		s.Check(strings.Contains(text, p), qt.IsTrue, qt.Commentf("%q not in:\n%s", p, text))
	}
}

// TestApply plans, adds, changes, removes and restores a class while the answers
// to half of the appends to the log are lost.
func TestApply(t *testing.T) {
	s := newTestCluster(t)
	s.log.SetReplyLossRate(0.5)
	steps := []struct {
		name string
		args []string
		want []string
	}{
		{"plan", []string{"plan", s.writeDecls("a 1s")}, []string{"+ a", "lateness: 1s"}},
		{"apply", []string{"apply", s.writeDecls("a 1s"), "--comment", "first"}, []string{"Accepted as revision", "In force on all 2 live nodes"}},
		{"repeated apply", []string{"apply", s.writeDecls("a 1s")}, []string{"No change", "In force on all 2 live nodes"}},
		{"change", []string{"apply", s.writeDecls("a 2s", "b 1s")}, []string{"~ a (from revision", "lateness: 1s -> 2s", "+ b", "In force"}},
		{"remove", []string{"apply", s.writeDecls("b 1s")}, []string{"- a (from revision", "In force"}},
		{"restore", []string{"apply", s.writeDecls("a 3s", "b 1s")}, []string{"+ a", "In force"}},
		{"show", []string{"show"}, []string{"a ", "lateness 3000ms", "by ann"}},
		{"status", []string{"status"}, []string{"entry  one", "entry  two", "live=true", "lease: placement"}},
		{"audit", []string{"audit"}, []string{"ann accepted \"first\"", "lateness: 1s -> 2s", "- a (from revision"}},
		{"audit in JSON", []string{"audit", "--json"}, []string{`"from"`, `"to"`, `"date"`}},
	}
	for i, st := range steps {
		text, status := s.run(i%2, st.args...)
		s.Check(status, qt.Equals, 0, qt.Commentf("%s: %s", st.name, text))
		s.expectContains(text, st.want...)
	}
}

// TestApplyRace has two operators publish different values on the same base
// revision through two entries, while answers of the log are lost. Exactly one
// change must be accepted. The other must be refused with the name of the
// operator whose change was accepted.
func TestApplyRace(t *testing.T) {
	s := newTestCluster(t)
	text, status := s.run(0, "apply", s.writeDecls("a 1s"))
	s.Assert(status, qt.Equals, 0, qt.Commentf(text))
	s.log.SetReplyLossRate(0.5)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	clients, plans, errs := make([]*opcli.Client, 2), make([]plan, 2), make([]error, 2)
	for i, class := range []string{"a 2s", "a 3s"} {
		var err error
		clients[i] = opcli.New("ann-token", s.urls[i])
		plans[i], err = makePlan(ctx, clients[i], s.writeDecls(class))
		s.Assert(err, qt.IsNil)
	}
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { _, errs[i] = publish(ctx, clients[i], codec.Change{Edits: plans[i].edits}) })
	}
	wg.Wait()
	s.Assert((errs[0] == nil) != (errs[1] == nil), qt.IsTrue, qt.Commentf("%v", errs))
	s.expectContains(fmt.Sprint(errs), "conflict", "was changed by ann at revision", "run plan again")
}

// TestLagging checks that apply names a node on which the accepted revision is
// not in force.
func TestLagging(t *testing.T) {
	s := newTestCluster(t)
	var out bytes.Buffer
	s.vms.Put(plat.VM{Node: "three", Role: plat.RoleEntry, Addr: "127.0.0.1:1"})
	status := 0
	for status == 0 { // until the entry has read the VM list
		out.Reset()
		status = Run([]string{"apply", s.writeDecls("a 1s"), "--entry", s.urls[0], "--wait", "300ms"}, &out, &out)
	}
	s.expectContains(out.String(), "is accepted and stays", "not in force yet on", "three", "run status")
	text, code := s.run(0, "apply", s.writeDecls("a 1s")) // Node three is dead after the liveness timeout.
	s.Check(code, qt.Equals, 0)
	s.expectContains(text, "No change", "In force on all 2 live nodes")
}

// TestQuarantine checks that an empty list is reported, and that "lift" refuses a
// missing name and a name that the entry does not know.
func TestQuarantine(t *testing.T) {
	s := newTestCluster(t)
	text, status := s.run(0, "quarantine")
	s.Assert(status, qt.Equals, 0)
	s.expectContains(text, "No request is quarantined.")
	_, status = s.run(0, "quarantine", "lift")
	s.Assert(status, qt.Equals, 1)
	text, status = s.run(1, "quarantine", "lift", "abc")
	s.Assert(status, qt.Equals, 1)
	s.expectContains(text, "not-found", "abc")
}
