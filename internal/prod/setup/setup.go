// Package setup holds the settings of a process: one table of keys with their
// defaults, documentation and checks, read from a TOML file.
//
// # Usage
//
//	s, err := setup.Load("entry.toml", setup.RoleEntry)
//	fmt.Print(s.Print())
//
// Load reads nothing but the file. An error names the file, the key and what
// to write instead, and comes before anything listens.
package setup

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/httpd"
)

// Role tells which program the settings are for.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// token is one bearer token in the file.
type token struct {
	Name   string `toml:"name"`
	Role   string `toml:"role"`
	Digest string `toml:"sha256"`
}

// service is the address of a scoring service.
type service struct {
	Name string `toml:"name"`
	URL  string `toml:"url"`
}

// Settings are the settings in force.
type Settings struct {
	role Role

	node, zone, region          string
	httpListen, innerListen     string
	probeListen                 string
	innerKey                    string
	logURL, vmsURL, weightsURL  string
	engineURL, plainURL         string
	plainName                   string
	slots                       int
	fanout, reportTo, appends   int
	crossRate                   int
	configBound, snapshots      clock.Millis
	poll, report, keep          clock.Millis
	lease, drainDelay, drainFor clock.Millis
	logLevel                    string
	traceFile                   string
	traceLimit                  int
	tokens                      []token
	scorers                     []service
}

// Node returns the name of this process.
func (s *Settings) Node() ident.Node { return ident.Node(s.node) }

// Zone returns the availability zone.
func (s *Settings) Zone() ident.Zone { return ident.Zone(s.zone) }

// Region returns the region.
func (s *Settings) Region() ident.Region { return ident.Region(s.region) }

// HTTPListen returns the outer address of an entry.
func (s *Settings) HTTPListen() string { return s.httpListen }

// ProbeListen returns the address of an agent's health and metrics.
func (s *Settings) ProbeListen() string { return s.probeListen }

// InnerListen returns the address for other nodes.
func (s *Settings) InnerListen() string { return s.innerListen }

// InnerKey returns the key that all nodes share.
func (s *Settings) InnerKey() []byte { return []byte(s.innerKey) }

// LogURL returns the address of the platform's log.
func (s *Settings) LogURL() string { return s.logURL }

// VMsURL returns the address of the platform's VM list.
func (s *Settings) VMsURL() string { return s.vmsURL }

// WeightsURL returns the address of the weight store.
func (s *Settings) WeightsURL() string { return s.weightsURL }

// EngineURL returns the address of the model engine, empty for a plain service.
func (s *Settings) EngineURL() string { return s.engineURL }

// PlainURL returns the address of the plain service, empty for an engine.
func (s *Settings) PlainURL() string { return s.plainURL }

// PlainName returns the name of the plain service.
func (s *Settings) PlainName() ident.Service { return ident.Service(s.plainName) }

// Slots returns how much work an agent runs at once.
func (s *Settings) Slots() int { return s.slots }

// VMPollInterval returns the time between looks at the VM list.
func (s *Settings) VMPollInterval() clock.Millis { return s.poll }

// ReportInterval returns the time between an agent's reports.
func (s *Settings) ReportInterval() clock.Millis { return s.report }

// AnswerRetention returns how long an agent keeps an answer that nobody fetches.
func (s *Settings) AnswerRetention() clock.Millis { return s.keep }

// ReportFanout returns how many entries get an agent's reports.
func (s *Settings) ReportFanout() int { return s.reportTo }

// PeerFanout returns how many other entries an entry calls.
func (s *Settings) PeerFanout() int { return s.fanout }

// MaxConfigAge returns the time after which an entry that can't get the newest
// configuration says so.
func (s *Settings) MaxConfigAge() clock.Millis { return s.configBound }

// SnapshotInterval returns the time between snapshots on the log.
func (s *Settings) SnapshotInterval() clock.Millis { return s.snapshots }

// CrossRegionRate returns the bytes a second that requests of all entries together
// may send to other regions.
func (s *Settings) CrossRegionRate() float64 { return float64(s.crossRate) }

// LogAppendRate returns the appends a second of all entries together.
func (s *Settings) LogAppendRate() float64 { return float64(s.appends) }

// LivenessTimeout returns how long a silent agent stays in use.
func (s *Settings) LivenessTimeout() clock.Millis { return s.lease }

// DrainDelay returns the balancer's delay at a shutdown.
func (s *Settings) DrainDelay() clock.Millis { return s.drainDelay }

// DrainTimeout returns how long a shutdown waits for work in progress.
func (s *Settings) DrainTimeout() clock.Millis { return s.drainFor }

// LogLevel returns the least level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// TraceFile returns the file to which the node writes its trace, empty for none.
func (s *Settings) TraceFile() string { return s.traceFile }

// TraceLimit returns the size in MB at which the trace ends.
func (s *Settings) TraceLimit() int { return s.traceLimit }

// Tokens returns the callers, trainers and operators that an entry admits.
func (s *Settings) Tokens() []httpd.Token {
	out := make([]httpd.Token, 0, len(s.tokens))
	for _, t := range s.tokens {
		tk := httpd.Token{Name: ident.Caller(t.Name), Role: httpd.Role(t.Role)}
		b, _ := hex.DecodeString(t.Digest) // checked by Load
		copy(tk.Digest[:], b)
		out = append(out, tk)
	}
	return out
}

// Scorer returns the address of a scoring service.
func (s *Settings) Scorer(n ident.Service) (string, bool) {
	for _, sc := range s.scorers {
		if sc.Name == string(n) {
			return sc.URL, true
		}
	}
	return "", false
}

// key is one row of the table of settings.
type key struct {
	name  string
	roles []Role
	def   string // as written in TOML, empty if there is none
	doc   string
	bind  func(*Settings) any
	check func(*Settings) string // what is wrong and what to write, empty if nothing
}

var (
	both      = []Role{RoleEntry, RoleAgent}
	entryOnly = []Role{RoleEntry}
	agentOnly = []Role{RoleAgent}
)

// keys is the table of all settings.
var keys = []key{
	{"node", both, "", "name of this process, unique in the deployment", func(s *Settings) any { return &s.node }, need(func(s *Settings) string { return s.node })},
	{"zone", both, "", "availability zone of this VM", func(s *Settings) any { return &s.zone }, need(func(s *Settings) string { return s.zone })},
	{"region", both, "", "region of this VM", func(s *Settings) any { return &s.region }, need(func(s *Settings) string { return s.region })},
	{"http-listen", entryOnly, `"127.0.0.1:7400"`, "address for callers, trainers and operators", func(s *Settings) any { return &s.httpListen }, addr(func(s *Settings) string { return s.httpListen })},
	{"probe-listen", agentOnly, `"127.0.0.1:7402"`, "address for /healthz, /readyz and /metrics", func(s *Settings) any { return &s.probeListen }, addr(func(s *Settings) string { return s.probeListen })},
	{"inner-listen", both, `"127.0.0.1:7401"`, "address for other nodes", func(s *Settings) any { return &s.innerListen }, addr(func(s *Settings) string { return s.innerListen })},
	{"inner-key", both, "", "key that all nodes share, 16 characters or more", func(s *Settings) any { return &s.innerKey }, checkKey},
	{"log-url", entryOnly, "", "the platform's log", func(s *Settings) any { return &s.logURL }, link(func(s *Settings) string { return s.logURL })},
	{"vms-url", both, "", "the platform's VM list", func(s *Settings) any { return &s.vmsURL }, link(func(s *Settings) string { return s.vmsURL })},
	{"weights-url", agentOnly, "", "the weight store, for an agent beside an engine", func(s *Settings) any { return &s.weightsURL }, checkWeights},
	{"engine-url", agentOnly, "", "the model engine beside this agent", func(s *Settings) any { return &s.engineURL }, checkBackend},
	{"service-url", agentOnly, "", "the plain service beside this agent", func(s *Settings) any { return &s.plainURL }, checkBackend},
	{"service-name", agentOnly, "", "name of the plain service", func(s *Settings) any { return &s.plainName }, checkPlain},
	{"slots", agentOnly, "16", "work that runs at once on the backend server", func(s *Settings) any { return &s.slots }, positive(func(s *Settings) int { return s.slots })},
	{"poll", both, `"1s"`, "time between looks at the VM list", func(s *Settings) any { return &s.poll }, span(func(s *Settings) clock.Millis { return s.poll })},
	{"report", agentOnly, `"500ms"`, "time between reports to the entries", func(s *Settings) any { return &s.report }, span(func(s *Settings) clock.Millis { return s.report })},
	{"keep", agentOnly, `"2m"`, "time an answer that nobody fetches is kept", func(s *Settings) any { return &s.keep }, span(func(s *Settings) clock.Millis { return s.keep })},
	{"report-entries", agentOnly, "8", "entries that get the reports, the nearest ones; in a deployment of fewer all of them", func(s *Settings) any { return &s.reportTo }, positive(func(s *Settings) int { return s.reportTo })},
	{"peer-fanout", entryOnly, "8", "other entries that this one calls; in a deployment of fewer all of them", func(s *Settings) any { return &s.fanout }, positive(func(s *Settings) int { return s.fanout })},
	{"config-bound", entryOnly, `"10s"`, "time after which an entry that can't get the newest configuration says so", func(s *Settings) any { return &s.configBound }, span(func(s *Settings) clock.Millis { return s.configBound })},
	{"snapshot-every", entryOnly, `"10m"`, "time between snapshots of the configuration on the log; well below the time that the log keeps records", func(s *Settings) any { return &s.snapshots }, span(func(s *Settings) clock.Millis { return s.snapshots })},
	{"cross-rate", entryOnly, "15000000", "bytes a second that requests of all entries together may send to other regions", func(s *Settings) any { return &s.crossRate }, positive(func(s *Settings) int { return s.crossRate })},
	{"log-appends", entryOnly, "300", "appends a second that all entries together may ask of the log", func(s *Settings) any { return &s.appends }, positive(func(s *Settings) int { return s.appends })},
	{"lease", entryOnly, `"3s"`, "time a silent agent stays in use", func(s *Settings) any { return &s.lease }, span(func(s *Settings) clock.Millis { return s.lease })},
	{"drain-delay", entryOnly, `"5s"`, "time the balancer needs to see that the entry leaves", func(s *Settings) any { return &s.drainDelay }, span(func(s *Settings) clock.Millis { return s.drainDelay })},
	{"drain-for", both, `"10m"`, "time a shutdown waits for work in progress", func(s *Settings) any { return &s.drainFor }, span(func(s *Settings) clock.Millis { return s.drainFor })},
	{"log-level", both, `"info"`, "least level that is logged: debug, info, warn or error", func(s *Settings) any { return &s.logLevel }, checkLevel},
	{"trace-file", both, `""`, "file for the trace that \"jujuberamp replay\" reads, empty for none", func(s *Settings) any { return &s.traceFile }, func(*Settings) string { return "" }},
	{"trace-limit", both, "64", "size in MB at which the trace ends", func(s *Settings) any { return &s.traceLimit }, positive(func(s *Settings) int { return s.traceLimit })},
	{"token", entryOnly, "", "a [[token]] table for each caller, trainer and operator: name, role, sha256", func(s *Settings) any { return &s.tokens }, checkTokens},
	{"scorer", entryOnly, "", "a [[scorer]] table for each scoring service: name, url", func(s *Settings) any { return &s.scorers }, checkScorers},
}

func need(get func(*Settings) string) func(*Settings) string {
	return func(s *Settings) string {
		if get(s) == "" {
			return "is missing; add it"
		}
		return ""
	}
}

func addr(get func(*Settings) string) func(*Settings) string {
	return func(s *Settings) string {
		if _, err := netip.ParseAddrPort(get(s)); err != nil {
			return fmt.Sprintf("%q is no IP address with a port; write one such as \"10.0.0.7:7400\"", get(s))
		}
		return ""
	}
}

func link(get func(*Settings) string) func(*Settings) string {
	return func(s *Settings) string { return badURL(get(s)) }
}

func badURL(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" {
		return fmt.Sprintf("%q is no http URL; write one such as \"http://10.0.0.2:7300\"", text)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return fmt.Sprintf("%q does not name an IP address with a port; write one such as \"http://10.0.0.2:7300\"", text)
	}
	return ""
}

func positive(get func(*Settings) int) func(*Settings) string {
	return func(s *Settings) string {
		if get(s) <= 0 {
			return "must be above 0"
		}
		return ""
	}
}

func span(get func(*Settings) clock.Millis) func(*Settings) string {
	return func(s *Settings) string {
		if get(s) <= 0 {
			return "must be above 0; write a time such as \"2s\""
		}
		return ""
	}
}

const minKey = 16

func checkKey(s *Settings) string {
	if len(s.innerKey) < minKey {
		return "is missing or shorter than 16 characters; use the same random text on all nodes"
	}
	return ""
}

func checkBackend(s *Settings) string {
	if (s.engineURL == "") == (s.plainURL == "") {
		return "set exactly one of engine-url and service-url"
	}
	return badURL(s.engineURL + s.plainURL)
}

func checkWeights(s *Settings) string {
	if s.engineURL == "" {
		return ""
	}
	return badURL(s.weightsURL)
}

func checkPlain(s *Settings) string {
	if (s.plainURL == "") != (s.plainName == "") {
		return "goes together with service-url; set both or none"
	}
	return ""
}

func checkLevel(s *Settings) string {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.logLevel) {
		return fmt.Sprintf("%q is none of debug, info, warn, error", s.logLevel)
	}
	return ""
}

func checkTokens(s *Settings) string {
	for _, t := range s.tokens {
		if t.Name == "" {
			return "has a table without a name"
		}
		if !slices.Contains([]httpd.Role{httpd.RoleCaller, httpd.RoleTrainer, httpd.RoleOperator}, httpd.Role(t.Role)) {
			return fmt.Sprintf("%s: role %q is none of caller, trainer, operator", t.Name, t.Role)
		}
		if b, err := hex.DecodeString(t.Digest); err != nil || len(b) != sha256.Size {
			return t.Name + ": sha256 must be the 64 hexadecimal digits that \"printf %s TOKEN | sha256sum\" prints"
		}
	}
	return ""
}

func checkScorers(s *Settings) string {
	for _, sc := range s.scorers {
		if sc.Name == "" {
			return "has a table without a name"
		}
		if bad := badURL(sc.URL); bad != "" {
			return sc.Name + ": url " + bad
		}
	}
	return ""
}

// Load reads and checks the settings of a role.
func Load(file string, role Role) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.NoFile, err, "settings file can't be read")
	}
	return Parse(file, string(b), role)
}

// Parse reads and checks settings from text; file is named in errors.
func Parse(file, text string, role Role) (*Settings, error) {
	bad := func(key, what string) error {
		return fault.New(fault.BadSetting, fmt.Sprintf("file %s: key %s: %s", file, key, what))
	}
	var raw map[string]toml.Primitive
	md, err := toml.Decode(text, &raw)
	if err != nil {
		return nil, fault.New(fault.BadSetting, fmt.Sprintf("file %s: %v", file, err))
	}
	s := &Settings{role: role}
	for _, k := range keys {
		p, ok := raw[k.name]
		delete(raw, k.name)
		if ok && !slices.Contains(k.roles, role) {
			return nil, bad(k.name, "is not a setting of "+string(role)+"; remove it")
		}
		if err := k.fill(s, md, p, ok); err != nil {
			return nil, bad(k.name, err.Error())
		}
	}
	for name := range raw {
		return nil, bad(name, "is not known; \"jujuberamp "+string(role)+" --help\" lists the settings")
	}
	if left := md.Undecoded(); len(left) > 0 {
		return nil, bad(left[0].String(), "is not known; remove it")
	}
	for _, k := range keys {
		if !slices.Contains(k.roles, role) {
			continue
		}
		if what := k.check(s); what != "" {
			return nil, bad(k.name, what)
		}
	}
	return s, nil
}

// fill sets a key from the file, or from its default.
func (k key) fill(s *Settings, md toml.MetaData, p toml.Primitive, set bool) error {
	if set {
		return errors.WithMessage(md.PrimitiveDecode(p, k.bind(s)), "wrong type or unit")
	}
	if k.def == "" {
		return nil
	}
	var raw map[string]toml.Primitive
	md, err := toml.Decode("v = "+k.def, &raw)
	if err != nil {
		return errors.Wrap(err, "default")
	}
	return errors.Wrap(md.PrimitiveDecode(raw["v"], k.bind(s)), "default")
}

// Format returns the settings in force as TOML. The inner key is left out.
func (s *Settings) Format() string {
	var b strings.Builder
	for _, k := range keys {
		if !slices.Contains(k.roles, s.role) {
			continue
		}
		switch v := k.bind(s).(type) {
		case *string:
			if k.name == "inner-key" {
				fmt.Fprintf(&b, "# %s is set and not shown\n", k.name)
				continue
			}
			fmt.Fprintf(&b, "%s = %q\n", k.name, *v)
		case *int:
			fmt.Fprintf(&b, "%s = %d\n", k.name, *v)
		case *clock.Millis:
			fmt.Fprintf(&b, "%s = %q\n", k.name, v.String())
		}
	}
	for _, t := range s.tokens {
		fmt.Fprintf(&b, "\n[[token]]\nname = %q\nrole = %q\nsha256 = %q\n", t.Name, t.Role, t.Digest)
	}
	for _, sc := range s.scorers {
		fmt.Fprintf(&b, "\n[[scorer]]\nname = %q\nurl = %q\n", sc.Name, sc.URL)
	}
	return b.String()
}

// Help lists the settings of a role with defaults.
func Help(role Role) string {
	var b strings.Builder
	for _, k := range keys {
		if !slices.Contains(k.roles, role) {
			continue
		}
		def := k.def
		if def == "" {
			def = "no default"
		}
		fmt.Fprintf(&b, "  %-14s %s (%s)\n", k.name, k.doc, def)
	}
	return b.String()
}
