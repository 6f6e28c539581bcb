package setup

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

const validEntry = `
node = "entry-1"
zone = "a"
region = "main"
inner-key = "0123456789abcdef"
log-url = "http://10.0.0.2:7300"
vms-url = "http://10.0.0.2:7300"
`

const validAgent = `
node = "agent-1"
zone = "a"
region = "main"
inner-key = "0123456789abcdef"
vms-url = "http://10.0.0.2:7300"
weights-url = "http://10.0.0.2:7300"
engine-url = "http://10.0.0.3:8000"
`

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		role Role
		text string
		want []string // substrings of the message
	}{
		"unknown key":            {RoleEntry, validEntry + `speed = 3`, []string{"f.toml", "speed", "not known"}},
		"duration without unit":  {RoleEntry, validEntry + `lease = "3"`, []string{"f.toml", "lease", "no unit", `"2s"`}},
		"duration as number":     {RoleEntry, validEntry + `lease = 3`, []string{"lease", "wrong type"}},
		"negative duration":      {RoleEntry, validEntry + `lease = "-1s"`, []string{"lease", "above 0"}},
		"address with host name": {RoleEntry, validEntry + `http-listen = "entry:7400"`, []string{"http-listen", "no IP address"}},
		"URL with host name":     {RoleAgent, strings.Replace(validAgent, "10.0.0.3:8000", "engine:8000", 1), []string{"engine-url", "IP address"}},
		"missing zone":           {RoleEntry, strings.Replace(validEntry, `zone = "a"`, "", 1), []string{"zone", "missing; add it"}},
		"short key":              {RoleEntry, strings.Replace(validEntry, "0123456789abcdef", "short", 1), []string{"inner-key", "16 characters"}},
		"key of other role":      {RoleEntry, validEntry + `slots = 3`, []string{"slots", "not a setting of entry"}},
		"no backend server":      {RoleAgent, strings.Replace(validAgent, `engine-url = "http://10.0.0.3:8000"`, "", 1), []string{"engine-url", "exactly one"}},
		"two backend servers":    {RoleAgent, validAgent + `service-url = "http://10.0.0.3:8001"`, []string{"exactly one"}},
		"token role":             {RoleEntry, validEntry + "[[token]]\nname = \"x\"\nrole = \"boss\"\nsha256 = \"00\"", []string{"token", "boss", "operator"}},
		"token digest":           {RoleEntry, validEntry + "[[token]]\nname = \"x\"\nrole = \"caller\"\nsha256 = \"00\"", []string{"token", "sha256sum"}},
		"token key":              {RoleEntry, validEntry + "[[token]]\nname = \"x\"\nrole = \"caller\"\nsecret = \"00\"", []string{"token", "not known"}},
		"invalid TOML":           {RoleEntry, "node = ", []string{"f.toml"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse("f.toml", tc.text, tc.role)
			c.Assert(fault.Is(err, fault.BadSetting), qt.IsTrue, qt.Commentf("%v", err))
			for _, w := range tc.want {
				c.Assert(err.Error(), qt.Contains, w)
			}
		})
	}
}

func TestDefaultsAndFormat(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("f.toml", validEntry, RoleEntry)
	c.Assert(err, qt.IsNil)
	c.Assert(s.LivenessTimeout(), qt.Equals, 3*clock.Second)
	c.Assert(s.Format(), qt.Not(qt.Contains), "0123456789abcdef")

	reparsed, err := Parse("printed", s.Format()+`inner-key = "0123456789abcdef"`, RoleEntry)
	c.Assert(err, qt.IsNil)
	c.Assert(reparsed.Format(), qt.Equals, s.Format())
}
