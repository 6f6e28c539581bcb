package plat

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// Settings is what a process is told of its place.
type Settings struct {
	Node            string
	IP              string
	Zone            string
	Region          string
	ZoneRegions     map[string]string // by availability zone
	InnerAddr       string            // IP:port for the system's own processes
	InnerPort       int               // the same on all VMs
	Seeds           []string
	EngineAddr      string // IP:port of the model engine on this VM, if any
	EngineService   string // of that engine
	FrontendAddr    string // IP:port for clients
	ReadyAddr       string // IP:port for the readiness probe
	MemoryMB        int
	GracePeriod     clock.Millis // between the signal to stop and the end
	ResultRetention clock.Millis // how long results are kept after a job was accepted
	Store           StoreInfo
}

// StoreInfo describes the platform's store.
type StoreInfo struct {
	Address        string // IP:port
	Partitions     int    // partitions of a topic
	MaxRecordBytes int    // of one record, at most
	MaxAppendBytes int    // of the records of one append, at most
	Retention      clock.Millis
}
