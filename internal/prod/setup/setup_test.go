package setup

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

const goodEntry = `
node = "entry-1"
zone = "a"
region = "main"
inner-key = "0123456789abcdef"
log-url = "http://10.0.0.2:7300"
vms-url = "http://10.0.0.2:7300"
`

const goodAgent = `
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
		want []string // parts of the message
	}{
		"unknown key":       {RoleEntry, goodEntry + `speed = 3`, []string{"f.toml", "speed", "not known"}},
		"span without unit": {RoleEntry, goodEntry + `lease = "3"`, []string{"f.toml", "lease", "no unit", `"2s"`}},
		"span as number":    {RoleEntry, goodEntry + `lease = 3`, []string{"lease", "wrong type"}},
		"negative span":     {RoleEntry, goodEntry + `lease = "-1s"`, []string{"lease", "above 0"}},
		"address is a name": {RoleEntry, goodEntry + `http-listen = "entry:7400"`, []string{"http-listen", "no IP address"}},
		"URL with a name":   {RoleAgent, strings.Replace(goodAgent, "10.0.0.3:8000", "engine:8000", 1), []string{"engine-url", "IP address"}},
		"missing zone":      {RoleEntry, strings.Replace(goodEntry, `zone = "a"`, "", 1), []string{"zone", "missing; add it"}},
		"short key":         {RoleEntry, strings.Replace(goodEntry, "0123456789abcdef", "short", 1), []string{"inner-key", "16 characters"}},
		"key of the other":  {RoleEntry, goodEntry + `slots = 3`, []string{"slots", "not a setting of entry"}},
		"no backend server": {RoleAgent, strings.Replace(goodAgent, `engine-url = "http://10.0.0.3:8000"`, "", 1), []string{"engine-url", "exactly one"}},
		"two backends":      {RoleAgent, goodAgent + `service-url = "http://10.0.0.3:8001"`, []string{"exactly one"}},
		"token role":        {RoleEntry, goodEntry + "[[token]]\nname = \"x\"\nrole = \"boss\"\nsha256 = \"00\"", []string{"token", "boss", "operator"}},
		"token digest":      {RoleEntry, goodEntry + "[[token]]\nname = \"x\"\nrole = \"caller\"\nsha256 = \"00\"", []string{"token", "sha256sum"}},
		"token key":         {RoleEntry, goodEntry + "[[token]]\nname = \"x\"\nrole = \"caller\"\nsecret = \"00\"", []string{"token", "not known"}},
		"no TOML":           {RoleEntry, "node = ", []string{"f.toml"}},
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

func TestDefaultsAndPrint(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("f.toml", goodEntry, RoleEntry)
	c.Assert(err, qt.IsNil)
	c.Assert(s.LivenessTimeout(), qt.Equals, 3*clock.Second)
	c.Assert(s.Format(), qt.Not(qt.Contains), "0123456789abcdef")

	again, err := Parse("printed", s.Format()+`inner-key = "0123456789abcdef"`, RoleEntry)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Format(), qt.Equals, s.Format())
}
