package plat

import "github.com/jujuberamp/jujuberamp/internal/base/clock"

// Boot is what a process is told of its place.
type Boot struct {
	Node      string
	IP        string
	Zone      string
	Region    string
	Regions   map[string]string // by availability zone
	Inner     string            // IP:port for the system's own processes
	InnerPort int               // the same on all VMs
	Seeds     []string
	Engine    string // IP:port of the model engine on this VM, if any
	Service   string // of that engine
	Front     string // IP:port for clients
	Ready     string // IP:port for the readiness probe
	MemoryMB  int
	Grace     clock.Millis // between the signal to stop and the end
	Status    clock.Millis // how long results are kept after a job was accepted
	Store     StoreInfo
}

// StoreInfo describes the platform's store.
type StoreInfo struct {
	Address     string // IP:port
	Parts       int    // partitions of a topic
	RecordBytes int    // of one record, at most
	CallBytes   int    // of the records of one append, at most
	Retention   clock.Millis
}
