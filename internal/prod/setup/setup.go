// Package setup reads the settings of a process from a TOML file. One table
// lists every key with its default, help text and check.
//
// # Usage
//
//	s, err := setup.Load("entry.toml", setup.RoleEntry)
//	fmt.Print(s.Format())
//
// Load reads nothing but the file. An error names the file, the key and how to
// correct its value. Programs call Load before they open any listener.
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

// Role is the program that the settings are for.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// tokenTable is one [[token]] table of the file: a bearer token, stored as its
// SHA-256 digest.
type tokenTable struct {
	Name   string `toml:"name"`
	Role   string `toml:"role"`
	Digest string `toml:"sha256"`
}

// scorerTable is one [[scorer]] table of the file: a scoring service and its URL.
type scorerTable struct {
	Name string `toml:"name"`
	URL  string `toml:"url"`
}

// Settings holds the settings of one process, with defaults filled in.
type Settings struct {
	role Role

	node, zone, region                              string
	httpListen, innerListen                         string
	probeListen                                     string
	innerKey                                        string
	logURL, vmsURL, weightsURL                      string
	engineURL, plainURL                             string
	plainName                                       string
	slots                                           int
	peerFanout, reportFanout, logAppendRate         int
	crossRegionRate                                 int
	maxConfigAge, snapshotInterval                  clock.Millis
	vmPollInterval, reportInterval, answerRetention clock.Millis
	livenessTimeout, drainDelay, drainTimeout       clock.Millis
	logLevel                                        string
	traceFile                                       string
	traceLimit                                      int
	tokens                                          []tokenTable
	scorers                                         []scorerTable
}

// Node returns the name of this process.
func (s *Settings) Node() ident.Node { return ident.Node(s.node) }

// Zone returns the availability zone.
func (s *Settings) Zone() ident.Zone { return ident.Zone(s.zone) }

// Region returns the region.
func (s *Settings) Region() ident.Region { return ident.Region(s.region) }

// HTTPListen returns the address on which an entry serves callers, trainers and
// operators.
func (s *Settings) HTTPListen() string { return s.httpListen }

// ProbeListen returns the address on which an agent serves its health checks and
// metrics.
func (s *Settings) ProbeListen() string { return s.probeListen }

// InnerListen returns the address on which a node serves other nodes.
func (s *Settings) InnerListen() string { return s.innerListen }

// InnerKey returns the secret key that all nodes of a deployment share.
func (s *Settings) InnerKey() []byte { return []byte(s.innerKey) }

// LogURL returns the URL of the platform's log.
func (s *Settings) LogURL() string { return s.logURL }

// VMsURL returns the URL of the platform's VM list.
func (s *Settings) VMsURL() string { return s.vmsURL }

// WeightsURL returns the URL of the weight store.
func (s *Settings) WeightsURL() string { return s.weightsURL }

// EngineURL returns the URL of the agent's model engine. It is empty if the
// agent's backend server is a plain service.
func (s *Settings) EngineURL() string { return s.engineURL }

// PlainURL returns the URL of the agent's plain service. It is empty if the
// agent's backend server is a model engine.
func (s *Settings) PlainURL() string { return s.plainURL }

// PlainName returns the name of the plain service.
func (s *Settings) PlainName() ident.Service { return ident.Service(s.plainName) }

// Slots returns the number of requests that an agent runs concurrently on its
// backend server.
func (s *Settings) Slots() int { return s.slots }

// VMPollInterval returns the interval at which the VM list is read.
func (s *Settings) VMPollInterval() clock.Millis { return s.vmPollInterval }

// ReportInterval returns the interval of an agent's reports to the entries.
func (s *Settings) ReportInterval() clock.Millis { return s.reportInterval }

// AnswerRetention returns how long an agent keeps an answer that nobody fetches.
func (s *Settings) AnswerRetention() clock.Millis { return s.answerRetention }

// ReportFanout returns the number of entries to which an agent reports.
func (s *Settings) ReportFanout() int { return s.reportFanout }

// PeerFanout returns the number of other entries that an entry calls.
func (s *Settings) PeerFanout() int { return s.peerFanout }

// MaxConfigAge returns the age of the configuration above which an entry reports
// that it can't read the newest one.
func (s *Settings) MaxConfigAge() clock.Millis { return s.maxConfigAge }

// SnapshotInterval returns the interval at which snapshots of the configuration
// are appended to the log.
func (s *Settings) SnapshotInterval() clock.Millis { return s.snapshotInterval }

// CrossRegionRate returns the limit, in bytes per second, on the traffic that
// requests send to other regions. All entries share the limit.
func (s *Settings) CrossRegionRate() float64 { return float64(s.crossRegionRate) }

// LogAppendRate returns the limit on appends to the log per second. All entries
// share the limit.
func (s *Settings) LogAppendRate() float64 { return float64(s.logAppendRate) }

// LivenessTimeout returns how long an agent without reports stays in use.
func (s *Settings) LivenessTimeout() clock.Millis { return s.livenessTimeout }

// DrainDelay returns the time that the load balancer needs to see that an entry
// is shutting down.
func (s *Settings) DrainDelay() clock.Millis { return s.drainDelay }

// DrainTimeout returns how long a shutdown waits for requests in progress.
func (s *Settings) DrainTimeout() clock.Millis { return s.drainTimeout }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// TraceFile returns the file to which the node writes its trace. It is empty if
// the node writes none.
func (s *Settings) TraceFile() string { return s.traceFile }

// TraceLimit returns the size of the trace in MB above which no more events are
// written.
func (s *Settings) TraceLimit() int { return s.traceLimit }

// Tokens returns the bearer tokens of the callers, trainers and operators that an
// entry admits.
func (s *Settings) Tokens() []httpd.Token {
	out := make([]httpd.Token, 0, len(s.tokens))
	for _, t := range s.tokens {
		token := httpd.Token{Name: ident.Caller(t.Name), Role: httpd.Role(t.Role)}
		b, _ := hex.DecodeString(t.Digest) // Load has checked the digest.
		copy(token.Digest[:], b)
		out = append(out, token)
	}
	return out
}

// Scorer returns the URL of a scoring service and whether the settings have one.
func (s *Settings) Scorer(n ident.Service) (string, bool) {
	for _, sc := range s.scorers {
		if sc.Name == string(n) {
			return sc.URL, true
		}
	}
	return "", false
}

// setting is one row of the table of settings.
type setting struct {
	name        string
	roles       []Role
	defaultTOML string // default as a TOML value, empty if there is none
	help        string
	field       func(*Settings) any
	check       func(*Settings) string // returns the problem and its remedy, or an empty string
}

var (
	bothRoles = []Role{RoleEntry, RoleAgent}
	entryOnly = []Role{RoleEntry}
	agentOnly = []Role{RoleAgent}
)

// settingTable lists the settings of all roles, in the order of Format and Help.
var settingTable = []setting{
	{"node", bothRoles, "", "name of this process, unique in the deployment", func(s *Settings) any { return &s.node }, checkPresent(func(s *Settings) string { return s.node })},
	{"zone", bothRoles, "", "availability zone of this VM", func(s *Settings) any { return &s.zone }, checkPresent(func(s *Settings) string { return s.zone })},
	{"region", bothRoles, "", "region of this VM", func(s *Settings) any { return &s.region }, checkPresent(func(s *Settings) string { return s.region })},
	{"http-listen", entryOnly, `"127.0.0.1:7400"`, "address for callers, trainers and operators", func(s *Settings) any { return &s.httpListen }, checkAddrPort(func(s *Settings) string { return s.httpListen })},
	{"probe-listen", agentOnly, `"127.0.0.1:7402"`, "address for /healthz, /readyz and /metrics", func(s *Settings) any { return &s.probeListen }, checkAddrPort(func(s *Settings) string { return s.probeListen })},
	{"inner-listen", bothRoles, `"127.0.0.1:7401"`, "address for other nodes", func(s *Settings) any { return &s.innerListen }, checkAddrPort(func(s *Settings) string { return s.innerListen })},
	{"inner-key", bothRoles, "", "key that all nodes share, 16 characters or more", func(s *Settings) any { return &s.innerKey }, checkInnerKey},
	{"log-url", entryOnly, "", "the platform's log", func(s *Settings) any { return &s.logURL }, checkURL(func(s *Settings) string { return s.logURL })},
	{"vms-url", bothRoles, "", "the platform's VM list", func(s *Settings) any { return &s.vmsURL }, checkURL(func(s *Settings) string { return s.vmsURL })},
	{"weights-url", agentOnly, "", "the weight store, for an agent beside an engine", func(s *Settings) any { return &s.weightsURL }, checkWeightsURL},
	{"engine-url", agentOnly, "", "the model engine beside this agent", func(s *Settings) any { return &s.engineURL }, checkBackend},
	{"service-url", agentOnly, "", "the plain service beside this agent", func(s *Settings) any { return &s.plainURL }, checkBackend},
	{"service-name", agentOnly, "", "name of the plain service", func(s *Settings) any { return &s.plainName }, checkServiceName},
	{"slots", agentOnly, "16", "work that runs at once on the backend server", func(s *Settings) any { return &s.slots }, checkPositive(func(s *Settings) int { return s.slots })},
	{"poll", bothRoles, `"1s"`, "time between looks at the VM list", func(s *Settings) any { return &s.vmPollInterval }, checkDuration(func(s *Settings) clock.Millis { return s.vmPollInterval })},
	{"report", agentOnly, `"500ms"`, "time between reports to the entries", func(s *Settings) any { return &s.reportInterval }, checkDuration(func(s *Settings) clock.Millis { return s.reportInterval })},
	{"keep", agentOnly, `"2m"`, "time an answer that nobody fetches is kept", func(s *Settings) any { return &s.answerRetention }, checkDuration(func(s *Settings) clock.Millis { return s.answerRetention })},
	{"report-entries", agentOnly, "8", "entries that get the reports, the nearest ones; in a deployment of fewer all of them", func(s *Settings) any { return &s.reportFanout }, checkPositive(func(s *Settings) int { return s.reportFanout })},
	{"peer-fanout", entryOnly, "8", "other entries that this one calls; in a deployment of fewer all of them", func(s *Settings) any { return &s.peerFanout }, checkPositive(func(s *Settings) int { return s.peerFanout })},
	{"config-bound", entryOnly, `"10s"`, "time after which an entry that can't get the newest configuration says so", func(s *Settings) any { return &s.maxConfigAge }, checkDuration(func(s *Settings) clock.Millis { return s.maxConfigAge })},
	{"snapshot-every", entryOnly, `"10m"`, "time between snapshots of the configuration on the log; well below the time that the log keeps records", func(s *Settings) any { return &s.snapshotInterval }, checkDuration(func(s *Settings) clock.Millis { return s.snapshotInterval })},
	{"cross-rate", entryOnly, "15000000", "bytes a second that requests of all entries together may send to other regions", func(s *Settings) any { return &s.crossRegionRate }, checkPositive(func(s *Settings) int { return s.crossRegionRate })},
	{"log-appends", entryOnly, "300", "appends a second that all entries together may ask of the log", func(s *Settings) any { return &s.logAppendRate }, checkPositive(func(s *Settings) int { return s.logAppendRate })},
	{"lease", entryOnly, `"3s"`, "time a silent agent stays in use", func(s *Settings) any { return &s.livenessTimeout }, checkDuration(func(s *Settings) clock.Millis { return s.livenessTimeout })},
	{"drain-delay", entryOnly, `"5s"`, "time the balancer needs to see that the entry leaves", func(s *Settings) any { return &s.drainDelay }, checkDuration(func(s *Settings) clock.Millis { return s.drainDelay })},
	{"drain-for", bothRoles, `"10m"`, "time a shutdown waits for work in progress", func(s *Settings) any { return &s.drainTimeout }, checkDuration(func(s *Settings) clock.Millis { return s.drainTimeout })},
	{"log-level", bothRoles, `"info"`, "least level that is logged: debug, info, warn or error", func(s *Settings) any { return &s.logLevel }, checkLogLevel},
	{"trace-file", bothRoles, `""`, "file for the trace that \"jujuberamp replay\" reads, empty for none", func(s *Settings) any { return &s.traceFile }, func(*Settings) string { return "" }},
	{"trace-limit", bothRoles, "64", "size in MB at which the trace ends", func(s *Settings) any { return &s.traceLimit }, checkPositive(func(s *Settings) int { return s.traceLimit })},
	{"token", entryOnly, "", "a [[token]] table for each caller, trainer and operator: name, role, sha256", func(s *Settings) any { return &s.tokens }, checkTokens},
	{"scorer", entryOnly, "", "a [[scorer]] table for each scoring service: name, url", func(s *Settings) any { return &s.scorers }, checkScorers},
}

// checkPresent returns a check that refuses an empty value. The functions below
// with a parameter get also return checks; the others are checks themselves. get
// returns the value to check.
func checkPresent(get func(*Settings) string) func(*Settings) string {
	return func(s *Settings) string {
		if get(s) == "" {
			return "is missing; add it"
		}
		return ""
	}
}

func checkAddrPort(get func(*Settings) string) func(*Settings) string {
	return func(s *Settings) string {
		if _, err := netip.ParseAddrPort(get(s)); err != nil {
			return fmt.Sprintf("%q is no IP address with a port; write one such as \"10.0.0.7:7400\"", get(s))
		}
		return ""
	}
}

func checkURL(get func(*Settings) string) func(*Settings) string {
	return func(s *Settings) string { return urlProblem(get(s)) }
}

// urlProblem returns what is wrong with a URL, or an empty string.
func urlProblem(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" {
		return fmt.Sprintf("%q is no http URL; write one such as \"http://10.0.0.2:7300\"", text)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return fmt.Sprintf("%q does not name an IP address with a port; write one such as \"http://10.0.0.2:7300\"", text)
	}
	return ""
}

func checkPositive(get func(*Settings) int) func(*Settings) string {
	return func(s *Settings) string {
		if get(s) <= 0 {
			return "must be above 0"
		}
		return ""
	}
}

func checkDuration(get func(*Settings) clock.Millis) func(*Settings) string {
	return func(s *Settings) string {
		if get(s) <= 0 {
			return "must be above 0; write a time such as \"2s\""
		}
		return ""
	}
}

const minInnerKeyLen = 16 // characters

func checkInnerKey(s *Settings) string {
	if len(s.innerKey) < minInnerKeyLen {
		return "is missing or shorter than 16 characters; use the same random text on all nodes"
	}
	return ""
}

func checkBackend(s *Settings) string {
	if (s.engineURL == "") == (s.plainURL == "") {
		return "set exactly one of engine-url and service-url"
	}
	return urlProblem(s.engineURL + s.plainURL)
}

func checkWeightsURL(s *Settings) string {
	if s.engineURL == "" {
		return ""
	}
	return urlProblem(s.weightsURL)
}

func checkServiceName(s *Settings) string {
	if (s.plainURL == "") != (s.plainName == "") {
		return "goes together with service-url; set both or none"
	}
	return ""
}

func checkLogLevel(s *Settings) string {
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
		if problem := urlProblem(sc.URL); problem != "" {
			return sc.Name + ": url " + problem
		}
	}
	return ""
}

// Load reads and checks the settings of a role from a file.
func Load(file string, role Role) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.NoFile, err, "settings file can't be read")
	}
	return Parse(file, string(b), role)
}

// Parse reads and checks the settings of a role from text. Errors name file.
func Parse(file, text string, role Role) (*Settings, error) {
	settingErr := func(key, problem string) error {
		return fault.New(fault.BadSetting, fmt.Sprintf("file %s: key %s: %s", file, key, problem))
	}
	var raw map[string]toml.Primitive
	md, err := toml.Decode(text, &raw)
	if err != nil {
		return nil, fault.New(fault.BadSetting, fmt.Sprintf("file %s: %v", file, err))
	}
	s := &Settings{role: role}
	for _, k := range settingTable {
		p, ok := raw[k.name]
		delete(raw, k.name)
		if ok && !slices.Contains(k.roles, role) {
			return nil, settingErr(k.name, "is not a setting of "+string(role)+"; remove it")
		}
		if err := k.decode(s, md, p, ok); err != nil {
			return nil, settingErr(k.name, err.Error())
		}
	}
	for name := range raw {
		return nil, settingErr(name, "is not known; \"jujuberamp "+string(role)+" --help\" lists the settings")
	}
	if undecoded := md.Undecoded(); len(undecoded) > 0 {
		return nil, settingErr(undecoded[0].String(), "is not known; remove it")
	}
	for _, k := range settingTable {
		if !slices.Contains(k.roles, role) {
			continue
		}
		if problem := k.check(s); problem != "" {
			return nil, settingErr(k.name, problem)
		}
	}
	return s, nil
}

// decode sets the field of a key from the file, or from the default if the file
// doesn't set the key.
func (k setting) decode(s *Settings, md toml.MetaData, p toml.Primitive, set bool) error {
	if set {
		return errors.WithMessage(md.PrimitiveDecode(p, k.field(s)), "wrong type or unit")
	}
	if k.defaultTOML == "" {
		return nil
	}
	var raw map[string]toml.Primitive
	md, err := toml.Decode("v = "+k.defaultTOML, &raw)
	if err != nil {
		return errors.Wrap(err, "default")
	}
	return errors.Wrap(md.PrimitiveDecode(raw["v"], k.field(s)), "default")
}

// Format returns the settings in force as TOML. The inner key is left out.
func (s *Settings) Format() string {
	var b strings.Builder
	for _, k := range settingTable {
		if !slices.Contains(k.roles, s.role) {
			continue
		}
		switch v := k.field(s).(type) {
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

// Help lists the settings of a role with their help texts and defaults.
func Help(role Role) string {
	var b strings.Builder
	for _, k := range settingTable {
		if !slices.Contains(k.roles, role) {
			continue
		}
		defaultTOML := k.defaultTOML
		if defaultTOML == "" {
			defaultTOML = "no default"
		}
		fmt.Fprintf(&b, "  %-14s %s (%s)\n", k.name, k.help, defaultTOML)
	}
	return b.String()
}
