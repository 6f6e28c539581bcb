package plat

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/zones"
)

// Settings are the settings of a process from its settings file.
type Settings struct {
	Node            string
	IP              string
	Zone            string
	Region          string
	ZoneRegions     map[string]string // region by availability zone
	ZoneCosts       zones.Costs       // of traffic between zones
	InnerAddr       string            // IP:port for requests of other nodes
	InnerPort       int               // port of InnerAddr, the same on all VMs
	Seeds           []string          // IP:port of other VMs
	EngineAddr      string            // IP:port of the model engine on this VM, if any
	EngineService   string            // service of that engine
	FrontendAddr    string            // IP:port for clients
	ReadyAddr       string            // IP:port for the readiness probe
	MemoryMB        int               // memory of the VM, 0 if not limited
	MaxFDs          int               // descriptors of a process, 0 if not limited
	GracePeriod     clock.Millis      // time from the stop signal until the process is killed
	DrainTime       clock.Millis      // time for which a backend server that leaves still answers
	ResultRetention clock.Millis      // time for which results are retained after a job is accepted
	EndBound        clock.Millis      // time after the end of a job within which its items may still reach an engine
	// StrictRevocation is set if a node that can't read the configuration refuses every key
	// after RevokeBound, since any may have been removed.
	StrictRevocation bool
	RevokeBound      clock.Millis
	// ScarcePlaces is set if clients may ask for more than the plain services can serve, so
	// that their places have to be shared out.
	ScarcePlaces bool
	Store        StoreInfo
	Duties       DutyInfo
}

// DutyInfo says which calls to the platform's API the deployment asks of one VM at a time,
// and the bounds on them.
type DutyInfo struct {
	Address     string       // IP:port of the API; empty if there are no duties
	ReportUsage bool         // the use of each window is reported
	Scale       bool         // engines are ordered
	PerSecond   float64      // calls that the API takes from all VMs together
	Lease       clock.Millis // time within which a duty must not pass to another VM and back
	Window      clock.Millis // length of the windows of usage
	ReportBound clock.Millis // time after the end of a window by which its report is due
}

// StoreInfo is the address of the platform's store and its limits.
type StoreInfo struct {
	Address        string       // IP:port
	Partitions     int          // number of partitions of a topic
	MaxRecordBytes int          // maximum size of a record
	MaxAppendBytes int          // maximum size of all records of an append
	Retention      clock.Millis // time for which the store retains a record
}
