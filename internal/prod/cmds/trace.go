package cmds

import (
	"context"
	"os"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/prod/setup"
)

// megabyte is the unit of the setting trace-limit.
const megabyte = 1_000_000

// openTrace returns the recorder that the settings ask for, nil for none.
func openTrace(s *setup.Settings, role setup.Role) (*trace.Recorder, error) {
	if s.TraceFile() == "" {
		return nil, nil //nolint:nilnil // A nil recorder drops events.
	}
	f, err := os.Create(s.TraceFile())
	if err != nil {
		return nil, fault.Wrap(fault.BadSetting, err, "trace-file")
	}
	return trace.NewRecorder(f, s.TraceLimit()*megabyte, trace.Header{Node: s.Node(), Role: string(role)})
}

// traced is a node that ends its trace when it has shut down.
type traced struct {
	node
	rec *trace.Recorder
}

// Shutdown implements node.
func (t traced) Shutdown(ctx context.Context) error {
	err := t.node.Shutdown(ctx)
	if closing := t.rec.Close(); err == nil {
		return closing
	}
	return err
}
