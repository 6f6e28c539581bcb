package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
)

// Look finds what another entry knows, and unlike Find it does not keep it.
func TestLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cluster := newCluster(ctx, 2)
		cluster.setServers("v1", "v2")
		time.Sleep(time.Minute) // The entries have asked each other for origins.
		began := resume.Origin{Stream: "stream", Service: "s", Software: "v2"}
		cluster.stores["e-0"].Keep([]resume.Origin{began}, false)
		other := cluster.stores["e-1"]
		for range 2 {
			o, err := other.Look(ctx, "stream", "s")
			c.Assert(err, qt.IsNil)
			c.Check(o, qt.Equals, began)
			c.Check(other.Answer(resume.Query{Stream: "stream", Service: "s"}).Known, qt.IsFalse)
		}
		_, err := other.Look(ctx, "other", "s")
		c.Check(err, qt.IsNotNil)
		_, err = other.Find(ctx, "stream", "s")
		c.Assert(err, qt.IsNil)
		c.Check(other.Answer(resume.Query{Stream: "stream", Service: "s"}).Known, qt.IsTrue)
	})
}
