package codec

// ExplainRequest asks where a request, an item of a model or the next item of a job would
// go now. It never holds a key.
type ExplainRequest struct {
	Method    string            `json:"method,omitempty"`
	Host      string            `json:"host,omitempty"`
	Path      string            `json:"path,omitempty"` // with the query
	Headers   map[string]string `json:"headers,omitempty"`
	Workspace string            `json:"workspace,omitempty"` // whose key the client would send
	Size      int64             `json:"size,omitempty"`      // of the body, if it is not given
	Body      []byte            `json:"body,omitempty"`      // without it, only an empty one is checked for the quarantine
	Model     string            `json:"model,omitempty"`     // of an item, on a route for jobs
	Tokens    int               `json:"tokens,omitempty"`    // of its output, 0 if not known
	Job       string            `json:"job,omitempty"`       // instead of the above, except the workspace
}

// Explanation is the answer to an [ExplainRequest].
type Explanation struct {
	Entry         string          `json:"entry"`
	Zone          string          `json:"zone"`
	Configuration int64           `json:"configuration"` // version, 0 if none is known
	AgeMS         int64           `json:"configuration-age-ms"`
	Route         string          `json:"route,omitempty"`
	RouteKind     string          `json:"route-kind,omitempty"`
	Workspace     string          `json:"workspace,omitempty"`
	Rank          int             `json:"rank"`
	Quarantine    string          `json:"quarantine,omitempty"` // clear, quarantined or not-checked
	Refusal       *Fault          `json:"refusal,omitempty"`    // before a service is chosen
	Ways          []ExplainedWay  `json:"ways,omitempty"`
	Items         *ExplainedItems `json:"items,omitempty"`
}

// ExplainedWay is where requests go that the route sends to one service.
type ExplainedWay struct {
	Service    string            `json:"service"`
	Share      float64           `json:"share"` // of the route's requests
	Outcome    string            `json:"outcome"`
	Server     string            `json:"server,omitempty"`
	ServerZone string            `json:"server-zone,omitempty"`
	Refusal    *Fault            `json:"refusal,omitempty"`
	WaitMS     *int64            `json:"wait-ms,omitempty"` // expected, for a place
	RateWaitMS int64             `json:"rate-wait-ms,omitempty"`
	Software   *string           `json:"software,omitempty"` // that began the stream
	Places     *ExplainedPlaces  `json:"places,omitempty"`
	Drawn      string            `json:"drawn-zone,omitempty"`
	Zones      []ExplainedZone   `json:"zones,omitempty"`
	Servers    []ExplainedServer `json:"servers"`
}

// ExplainedPlaces is the admission to a service.
type ExplainedPlaces struct {
	Scarce   bool   `json:"scarce"`
	Places   int    `json:"places"` // of this entry, if they are scarce
	InFlight int    `json:"in-flight"`
	Waiting  int    `json:"waiting"`
	AgeMS    *int64 `json:"age-ms,omitempty"` // of the lease
}

// ExplainedZone is a zone with its share of the requests.
type ExplainedZone struct {
	Zone       string  `json:"zone"`
	Share      float64 `json:"share"`
	Limit      float64 `json:"limit"`  // for requests from other zones
	Single     int     `json:"single"` // requests that may go there beyond the share
	Slots      int     `json:"slots"`
	InFlight   int     `json:"in-flight"`
	ExpectedMS float64 `json:"expected-ms"`
	AgeMS      *int64  `json:"age-ms,omitempty"`
}

// ExplainedServer is a candidate.
type ExplainedServer struct {
	Server     string  `json:"server"`
	Zone       string  `json:"zone"`
	State      string  `json:"state"`
	Software   string  `json:"software,omitempty"`
	Slots      int     `json:"slots"`
	InFlight   int     `json:"in-flight"`
	ExpectedMS float64 `json:"expected-ms"` // with the way to its zone
	TookMS     float64 `json:"took-ms,omitempty"`
	AgeMS      *int64  `json:"age-ms,omitempty"` // of took-ms
	Failures   int     `json:"failures,omitempty"`
	BackoffMS  int64   `json:"backoff-ms,omitempty"`
	PerSecond  float64 `json:"per-second,omitempty"` // its rate limit
}

// ExplainedItems is which engine may take the next item.
type ExplainedItems struct {
	Job        string            `json:"job,omitempty"`
	Owner      string            `json:"owner,omitempty"`
	OwnerAddr  string            `json:"owner-addr,omitempty"`
	Own        bool              `json:"own"` // this entry runs the job
	Open       bool              `json:"open"`
	Left       int               `json:"left"`
	Running    int               `json:"running"`
	Service    string            `json:"service,omitempty"`
	Model      string            `json:"model"`
	Item       string            `json:"item,omitempty"` // the next one, empty if none waits
	Events     int               `json:"events"`
	WaitedMS   int64             `json:"waited-ms"`
	Avoids     string            `json:"avoids,omitempty"`
	Best       string            `json:"best,omitempty"` // engine that would take the item
	StartsOver bool              `json:"starts-over,omitempty"`
	Counts     map[string]int    `json:"counts,omitempty"` // engines by verdict
	Unknown    int               `json:"unknown"`          // engines that have to be asked first
	Engines    []ExplainedEngine `json:"engines,omitempty"`
}

// ExplainedEngine is an engine with the verdict on it.
type ExplainedEngine struct {
	Engine     string  `json:"engine"`
	Zone       string  `json:"zone"`
	Verdict    string  `json:"verdict"`
	Unknown    bool    `json:"unknown,omitempty"`
	Software   string  `json:"software,omitempty"`
	Slots      int     `json:"slots"`
	Running    int     `json:"running"`
	IntervalMS float64 `json:"interval-ms,omitempty"` // between two events
	AgeMS      *int64  `json:"age-ms,omitempty"`
}
