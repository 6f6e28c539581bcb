package cmds

import (
	"context"
	"os"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/prod/setup"
)

// bytesPerMB converts the setting trace-limit to bytes.
const bytesPerMB = 1_000_000

// openTrace returns a recorder for the trace file of the settings, or nil if the
// settings name none.
func openTrace(s *setup.Settings, role setup.Role) (*trace.Recorder, error) {
	if s.TraceFile() == "" {
		return nil, nil //nolint:nilnil // A nil recorder discards events.
	}
	f, err := os.Create(s.TraceFile())
	if err != nil {
		return nil, fault.Wrap(fault.BadSetting, err, "trace-file")
	}
	return trace.NewRecorder(f, s.TraceLimit()*bytesPerMB, trace.Header{Node: s.Node(), Role: string(role)})
}

// tracedNode is a node that closes its trace after its shutdown.
type tracedNode struct {
	node
	rec *trace.Recorder
}

// Shutdown implements node.
func (t tracedNode) Shutdown(ctx context.Context) error {
	err := t.node.Shutdown(ctx)
	if closeErr := t.rec.Close(); err == nil {
		return closeErr
	}
	return err
}
