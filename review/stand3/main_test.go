//go:build review

// Command stand3 plays the cases 11 to 15 of the review against the program's own processes.
package stand3

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
	"github.com/jujuberamp/jujuberamp/platform"
	"github.com/jujuberamp/jujuberamp/platform/fake"
)

const headerID = "X-Jujuberamp-Attempt-Id"

// cases are the cases by name.
var cases = map[string]func(*stage){}

// TestMain runs one case: stand3 CASE DIR, in the root of the repository.
func TestMain(*testing.M) {
	args := os.Args[1:]
	run := cases[args[0]]
	s, err := newStage(args[1])
	if run == nil || err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(2)
	}
	os.Exit(s.play(run))
}

// unable is the panic of a case that can't run.
type unable struct{ error }

// stage is one play of a case: the stand-ins, the processes and the record.
type stage struct {
	trouble bool
	tmp     string
	net     int // second byte of the loopback addresses
	start   time.Time
	store   *topic.Store
	addr    string // of the store

	mu       sync.Mutex
	record   *os.File
	broken   []string
	procs    []*proc
	servers  []*http.Server
	listener []net.Listener
}

func newStage(dir string) (*stage, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	s := &stage{trouble: os.Getenv("TROUBLE") != "0", tmp: tmp, record: record, start: time.Now(), store: topic.New()}
	for s.net = 101; ; s.net++ {
		if s.net == 120 {
			return nil, fmt.Errorf("no free loopback addresses")
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", s.net, fake.PortInner))
		if err == nil {
			s.listener = append(s.listener, ln) // Kept, as a sign that the addresses are in use.
			return s, nil
		}
	}
}

// play runs a case and returns the exit code.
func (s *stage) play(run func(*stage)) (code int) {
	defer os.RemoveAll(s.tmp)
	defer s.record.Close()
	defer s.stopAll()
	defer func() {
		if e := recover(); e != nil {
			s.logf("the case could not run: %v", e)
			code = 2
		}
	}()
	s.logf("trouble: %v", s.trouble)
	go s.abort()
	run(s)
	s.mu.Lock()
	n := len(s.broken)
	s.mu.Unlock()
	s.logf("times that the rule was broken: %d", n)
	if n > 0 {
		return 1
	}
	return 0
}

// playLimit is the time after which a play ends without a verdict.
const playLimit = 115 * time.Second

// abort ends the play without a verdict when it is told to stop or takes too long.
func (s *stage) abort() {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	select {
	case got := <-sig:
		s.logf("the case could not run: %v", got)
	case <-time.After(playLimit):
		s.logf("the case could not run: it took longer than %v", playLimit)
	}
	s.stopAll()
	_ = os.RemoveAll(s.tmp)
	os.Exit(2)
}

func (s *stage) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(s.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(s.record, line)
	fmt.Println(line)
}

// breaks records that the rule was broken.
func (s *stage) breaks(format string, args ...any) {
	s.logf("BROKEN: "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

func (s *stage) must(err error) {
	if err != nil {
		panic(unable{err})
	}
}

// ip returns a loopback address of this play.
func (s *stage) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", s.net, host) }

// serve serves HTTP on a free port of an address.
func (s *stage) serve(ip string, h http.Handler) string {
	srv, a, err := fake.Serve(ip+":0", h)
	s.must(err)
	s.servers = append(s.servers, srv)
	return a.String()
}

// configure writes the configuration and starts the store.
func (s *stage) configure(config string) {
	s.addr = s.serve(s.ip(2), fake.StoreHandler{Store: s.store})
	s.store.Write(platform.TopicOperator, "config", []byte(config))
}

// proc is a process of the system, which the platform starts again when it ends.
type proc struct {
	*stage
	name, role string
	settings   fake.Settings
	file       string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	ended   int // ends that nobody asked for, including kills for memory
	peakMB  int
	stopped bool
}

// begin starts a process as the deploy file says.
func (s *stage) begin(role string, settings fake.Settings) *proc {
	settings.StoreAddr = s.addr
	if settings.GraceSeconds == 0 {
		settings.GraceSeconds = 8
	}
	p := &proc{stage: s, name: settings.Node, role: role, settings: settings, file: filepath.Join(s.tmp, settings.Node+".toml")}
	s.must(os.WriteFile(p.file, []byte(settings.TOML()), 0o600))
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	p.spawn()
	go p.supervise()
	return p
}

func (p *proc) spawn() {
	out, err := os.OpenFile(filepath.Join(p.tmp, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.must(err)
	cmd := exec.Command("target/jujuberamp", "site", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.tmp, platform.SettingsVar + "=" + p.file}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		out.Close()
		return
	}
	p.must(cmd.Start())
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(done)
	}()
	p.cmd, p.done = cmd, done
	p.logf("%s (%s, process %d) started", p.name, p.role, cmd.Process.Pid)
}

var rssLine = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// memoryMB returns the resident memory of the process, 0 if it has ended.
func (p *proc) memoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	m := rssLine.FindSubmatch(text)
	if err != nil || m == nil {
		return 0
	}
	kb, err := strconv.Atoi(string(m[1]))
	if err != nil {
		return 0
	}
	return kb >> 10
}

// supervise does what the platform does: it kills a process that exceeds the memory of its
// settings, and starts one that has ended again after a short delay.
func (p *proc) supervise() {
	for {
		p.mu.Lock()
		done, stopped := p.done, p.stopped
		p.mu.Unlock()
		if stopped {
			return
		}
		select {
		case <-done:
			p.mu.Lock()
			stopped = p.stopped
			if !stopped {
				p.ended++
			}
			p.mu.Unlock()
			if stopped {
				return
			}
			p.logf("%s has ended: %v; the platform starts it again", p.name, p.cmd.ProcessState)
			time.Sleep(500 * time.Millisecond)
			p.spawn()
		case <-time.After(5 * time.Millisecond):
			mb := p.memoryMB()
			p.mu.Lock()
			p.peakMB = max(p.peakMB, mb)
			p.mu.Unlock()
			if p.settings.MemoryMB > 0 && mb > p.settings.MemoryMB {
				p.logf("%s uses %d MB, its limit is %d MB: the platform kills it", p.name, mb, p.settings.MemoryMB)
				_ = p.cmd.Process.Kill()
				<-done
			}
		}
	}
}

func (s *stage) stopAll() {
	s.mu.Lock()
	procs := s.procs
	s.mu.Unlock()
	for _, p := range procs {
		p.mu.Lock()
		p.stopped = true
		p.mu.Unlock()
	}
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
	for _, srv := range s.servers {
		srv.Close()
	}
}

func (p *proc) front() string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(fake.PortFront))
}

func (p *proc) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + net.JoinHostPort(p.settings.IP, strconv.Itoa(fake.PortReady)) + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func (s *stage) await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

func (s *stage) awaitReady(procs ...*proc) {
	for _, p := range procs {
		if !s.await(20*time.Second, p.ready) {
			panic(unable{fmt.Errorf("%s is not ready", p.name)})
		}
		s.logf("%s is ready", p.name)
	}
}

// answer is what a client got.
type answer struct {
	status int // 0 for a channel that ended without an answer
	body   []byte
	header http.Header
	err    error
}

// call sends a request of a client on a new channel.
func (s *stage) call(limit time.Duration, method, addr, path, id string, body []byte) answer {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	s.must(err)
	req.Host = "s.example"
	if id != "" {
		req.Header.Set(headerID, id)
	}
	req.Header.Set("X-Jujuberamp-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	c := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: b, header: resp.Header}
}
