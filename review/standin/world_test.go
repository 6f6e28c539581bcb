//go:build review

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
	"github.com/jujuberamp/jujuberamp/platform"
)

const (
	// programPath is the program that the deploy file builds.
	programPath = "target/jujuberamp"
	// host is the host of all routes.
	host = "s.example"
	// heartbeatInterval is how often a server writes its registry entry, and
	// missedHeartbeats how many of them a silent server misses until the entry is removed.
	heartbeatInterval = 1200 * time.Millisecond
	missedHeartbeats  = 3
	// Bounds of a small deployment.
	graceTime    = 8 * time.Second
	drainTime    = 2500 * time.Millisecond
	contactTime  = 4 * time.Second
	restartDelay = 500 * time.Millisecond // of the platform, after the end of a process
	readyTimeout = 20 * time.Second
)

// Last bytes of the loopback addresses of a run.
const (
	ipStore   = 1
	ipEntries = 10
	ipEngines = 40 // agents have the address of their engine
	ipPlain   = 100
)

// world is a small deployment: the real entries and agents as processes, and stand-ins
// for the platform and for the servers.
type world struct {
	record   *recorder
	dir      string
	prefix   string // first three bytes of all addresses
	port     int    // first of the ports that all machines share
	store    *topic.Store
	entries  []*process
	agents   []*process
	trouble  bool
	mu       sync.Mutex
	config   map[string]any
	version  int
	stopping chan struct{}
	lengths  sync.Map // by item: its number of events, if the estimate is wrong
}

// Offsets of the ports from world.port.
const (
	portInner = iota
	portInnerEnd
	portFront
	portReady
	portApp
	portStore
	portCount
)

func newWorld(rec *recorder, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	w := &world{record: rec, dir: dir, store: topic.New(), trouble: trouble, stopping: make(chan struct{})}
	if err := w.chooseAddresses(); err != nil {
		return nil, err
	}
	_, err = w.serve(w.addr(ipStore, portStore), newStoreHandler(w.store))
	return w, err
}

// chooseAddresses chooses a range of loopback addresses and ports that are free.
func (w *world) chooseAddresses() error {
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		w.port = 20000 + rand.IntN(9000)
		if w.addressesFree() {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (w *world) addressesFree() bool {
	for _, ip := range []int{ipStore, ipEntries, ipEngines, ipPlain} {
		for p := range portCount {
			ln, err := net.Listen("tcp", w.addr(ip, p))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

func (w *world) ip(n int) string { return w.prefix + strconv.Itoa(n) }

func (w *world) addr(n, port int) string {
	return net.JoinHostPort(w.ip(n), strconv.Itoa(w.port+port))
}

// serve serves HTTP on an address until the returned server is closed.
func (w *world) serve(addr string, h http.Handler) (*http.Server, error) {
	return w.serveConns(addr, h, nil)
}

// serveConns is serve with a context for each connection.
func (w *world) serveConns(addr string, h http.Handler, connContext func(context.Context, net.Conn) context.Context) (*http.Server, error) {
	ln, err := net.Listen("tcp", addr)
	for end := time.Now().Add(2 * time.Second); err != nil && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		ln, err = net.Listen("tcp", addr)
	}
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ConnContext: connContext}
	go func() { _ = srv.Serve(ln) }() // Returns when the server is closed.
	return srv, nil
}

// route is a route of the configuration.
type route map[string]any

// setConfig writes a configuration as the operator does.
func (w *world) setConfig(idleTimeout time.Duration, routes []route, services []map[string]any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	w.config = map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": idleTimeout.Milliseconds()},
	}
	b, err := json.Marshal(w.config)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	w.store.Write(platform.TopicOperator, "config", b)
	w.record.printf("operator: configuration %d acknowledged, idle_timeout_ms %d", w.version, idleTimeout.Milliseconds())
	return nil
}

// process is an entry or an agent.
type process struct {
	world    *world
	name     string
	role     string
	ip       string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
	ends    int  // times that the process ended by itself
	wanted  bool // the platform restarts the process when it ends
	killed  bool // the current start was sent a signal that ends it
}

// settingsText returns the settings file of a process.
func (w *world) settingsText(name, role, ip, engine string, seeds []string) string {
	class, listen := "side", ""
	if role == "entry" {
		class = "edge"
		listen = fmt.Sprintf("frontend = %q\nready = %q\n", net.JoinHostPort(ip, strconv.Itoa(w.port+portFront)), net.JoinHostPort(ip, strconv.Itoa(w.port+portReady)))
	}
	for i, s := range seeds {
		seeds[i] = strconv.Quote(s)
	}
	return fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
ip = %q
zone = "z1"
region = "r1"
app = %q
port_range = [%d,%d]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
z1 = "r1"
[listen]
%s[limits]
cpu_share = 0.8
cores = 1
memory_mb = 304
max_fds = 8200
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4.5
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_ms = 2500
rollback_slack_ms = 250
outer_ms = 6000
recover_s = 12
pass_ms = 250
finish_s = 10
status_s = 120
cancel_ms = 3000
settle_ms = 1000
fencing_enforced = false
lease_ms = 3000
thaw_ms = 300
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
record_bytes = 262144
call_bytes = 2097152
retention_s = 300
part_mb = 200
`, name, role, class, ip, engine, w.port+portInner, w.port+portInnerEnd, strings.Join(seeds, ","), listen, w.addr(ipStore, portStore))
}

// startEntries starts the given number of entries and waits until they are ready.
func (w *world) startEntries(n int) error {
	for i := range n {
		p := &process{world: w, name: fmt.Sprintf("entry-%d", i+1), role: "entry", ip: w.ip(ipEntries + i)}
		if err := w.startNew(p, ""); err != nil {
			return err
		}
		w.entries = append(w.entries, p)
	}
	for _, p := range w.entries {
		if !p.waitReady(readyTimeout) {
			return errors.Errorf("%s is not ready after %v", p.name, readyTimeout)
		}
	}
	return nil
}

// startAgent starts the agent beside an engine.
func (w *world) startAgent(n int) error {
	p := &process{world: w, name: fmt.Sprintf("agent-%d", n+1), role: "agent", ip: w.ip(ipEngines + n)}
	w.agents = append(w.agents, p)
	return w.startNew(p, w.addr(ipEngines+n, portApp))
}

func (w *world) startNew(p *process, engine string) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, net.JoinHostPort(w.ip(ipEntries+i), strconv.Itoa(w.port+portInner)))
	}
	p.settings = filepath.Join(w.dir, p.name+".toml")
	if err := os.WriteFile(p.settings, []byte(w.settingsText(p.name, p.role, p.ip, engine, seeds)), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	p.wanted = true
	return p.start()
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.world.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer log.Close() // The process has its own file descriptor.
	cmd := exec.Command(programPath, "site", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), platform.SettingsVar + "=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	p.cmd, p.exited, p.started, p.killed = cmd, make(chan struct{}), time.Now(), false
	p.world.record.printf("%s: started, process %d", p.name, cmd.Process.Pid)
	go p.wait(cmd, p.exited)
	return nil
}

// wait waits for the end of the process and restarts it as the platform does.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	byItself, wanted := !p.killed, p.wanted
	if byItself {
		p.ends++
	}
	p.mu.Unlock()
	close(exited)
	p.world.record.printf("%s: process %d ended, by itself: %v (%v)%s", p.name, cmd.Process.Pid, byItself, err, p.panicLine(byItself))
	if wanted && byItself {
		time.Sleep(restartDelay)
		p.restart()
	}
}

// panicLine returns the line of the log that names a panic.
func (p *process) panicLine(byItself bool) string {
	b, err := os.ReadFile(filepath.Join(p.world.dir, p.name+".log"))
	if err != nil || !byItself {
		return ""
	}
	for line := range strings.Lines(string(b)) {
		if strings.HasPrefix(line, "panic: ") {
			return ": " + strings.TrimSpace(line)
		}
	}
	return ""
}

func (p *process) restart() {
	select {
	case <-p.world.stopping:
		return
	default:
	}
	if err := p.start(); err != nil {
		p.world.record.printf("%s: not restarted: %v", p.name, err)
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.killed = true
	}
	p.world.record.printf("%s: sent %v", p.name, s)
	_ = p.cmd.Process.Signal(s) // Fails only if the process has already ended.
}

// killAndRestart kills the process and starts it again after a delay.
func (p *process) killAndRestart(delay time.Duration) {
	p.signal(syscall.SIGKILL)
	<-p.exited
	time.Sleep(delay)
	p.restart()
}

func (p *process) selfEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

func (p *process) frontAddr() string {
	return net.JoinHostPort(p.ip, strconv.Itoa(p.world.port+portFront))
}

func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + net.JoinHostPort(p.ip, strconv.Itoa(p.world.port+portReady)) + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) waitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.isReady() {
			return true
		}
	}
	return false
}

// close ends all processes and keeps their logs if LOGS names a folder.
func (w *world) close() {
	close(w.stopping)
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		p.mu.Lock()
		p.wanted, p.killed = false, true
		cmd, exited := p.cmd, p.exited
		p.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill() // Fails only if the process has already ended.
			<-exited
		}
	}
	if os.Getenv("LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
