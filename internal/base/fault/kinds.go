package fault

import "net/http"

// The kinds of fault.
const (
	BadRequest       Kind = "bad-request"
	TooLarge         Kind = "too-large"
	Unauthorized     Kind = "unauthorized"
	KeyRefused       Kind = "key-refused"
	Forbidden        Kind = "forbidden"
	UnknownClass     Kind = "unknown-class"
	NotFound         Kind = "not-found"
	PastDeadline     Kind = "past-deadline"
	Overloaded       Kind = "overloaded"
	NoBackend        Kind = "no-backend"
	NotReady         Kind = "not-ready"
	Leaving          Kind = "leaving"
	Quarantined      Kind = "quarantined"
	KeyReused        Kind = "key-reused"
	KeyExpired       Kind = "key-expired"
	LogUnavailable   Kind = "log-unavailable"
	ClaimRefused     Kind = "claim-refused"
	ClaimUnsettled   Kind = "claim-unsettled"
	AnswerGone       Kind = "answer-gone"
	StaleAttempt     Kind = "stale-attempt"
	StaleOrder       Kind = "stale-order"
	Conflict         Kind = "conflict"
	BadDeclaration   Kind = "bad-declaration"
	BadSetting       Kind = "bad-setting"
	BadCursor        Kind = "bad-cursor"
	RoundReused      Kind = "round-reused"
	UnprovenVersion  Kind = "unproven-version"
	TooStale         Kind = "too-stale"
	Canceled         Kind = "canceled"
	BrokenAnswer     Kind = "broken-answer"
	BackendCrashed   Kind = "backend-crashed"
	OutcomeUnknown   Kind = "outcome-unknown"
	BadPeer          Kind = "bad-peer"
	BadTrace         Kind = "bad-trace"
	NoFile           Kind = "no-file"
	EntryUnreachable Kind = "entry-unreachable"
	BadOutcome       Kind = "bad-outcome"
	Internal         Kind = "internal"
)

// kinds describes all kinds.
var kinds = map[Kind]Info{
	BadRequest:       {http.StatusBadRequest, NotRun, "correct the named field and send again"},
	TooLarge:         {http.StatusRequestEntityTooLarge, NotRun, "send a smaller body"},
	Unauthorized:     {http.StatusUnauthorized, NotRun, "send a bearer token listed in the entry's settings"},
	KeyRefused:       {http.StatusUnauthorized, NotRun, "send one key of your workspace; operators check which keys the configuration in force has"},
	Forbidden:        {http.StatusForbidden, NotRun, "use a token whose role allows this call"},
	UnknownClass:     {http.StatusNotFound, NotRun, "apply a declaration of this class or correct its name"},
	NotFound:         {http.StatusNotFound, NotRun, "check the name"},
	PastDeadline:     {http.StatusGatewayTimeout, NotRun, "send again with a later deadline"},
	Overloaded:       {http.StatusTooManyRequests, NotRun, "send again after the time in Retry-After"},
	NoBackend:        {http.StatusServiceUnavailable, NotRun, "send again later; operators check that a backend server offers the service"},
	NotReady:         {http.StatusServiceUnavailable, NotRun, "send to another entry or again after the time in Retry-After"},
	Leaving:          {http.StatusServiceUnavailable, NotRun, "send to another server"},
	Quarantined:      {http.StatusUnprocessableEntity, NotRun, "change the request, or ask an operator to lift its quarantine"},
	KeyReused:        {http.StatusUnprocessableEntity, NotRun, "use a new idempotency key for a different request"},
	KeyExpired:       {http.StatusUnprocessableEntity, Unknown, "use a new UUIDv7 idempotency key after checking the effect of the old one"},
	LogUnavailable:   {http.StatusServiceUnavailable, NotRun, "send again with the same key after the time in Retry-After"},
	ClaimRefused:     {http.StatusServiceUnavailable, NotRun, "send again with the same key"},
	ClaimUnsettled:   {http.StatusServiceUnavailable, Unknown, "send again with the same key after the time in Retry-After"},
	AnswerGone:       {http.StatusGone, Done, "do not send again; read the effect from the service"},
	StaleAttempt:     {http.StatusConflict, NotRun, "drop the attempt; a newer one is in progress"},
	StaleOrder:       {http.StatusConflict, NotRun, "drop the order; a newer one is in force"},
	Conflict:         {http.StatusConflict, NotRun, "run plan again to see the newer revision, then apply"},
	BadDeclaration:   {http.StatusUnprocessableEntity, NotRun, "correct the named key and run check"},
	BadSetting:       {http.StatusUnprocessableEntity, NotRun, "correct the named key in the settings file"},
	BadCursor:        {http.StatusUnprocessableEntity, NotRun, "read with the cursor of the last answer for this round, or with none"},
	RoundReused:      {http.StatusUnprocessableEntity, NotRun, "use a new name for a round with another specification"},
	UnprovenVersion:  {http.StatusServiceUnavailable, Unknown, "the sample is made anew; read again"},
	TooStale:         {http.StatusConflict, NotRun, "the sample is made anew; read again"},
	Canceled:         {http.StatusConflict, Unknown, "send again if the answer is still wanted"},
	BrokenAnswer:     {http.StatusBadGateway, Unknown, "send again; use an idempotency key for work that must run once"},
	BackendCrashed:   {http.StatusBadGateway, Unknown, "send again; operators check the backend server's log"},
	OutcomeUnknown:   {http.StatusGatewayTimeout, Unknown, "ask again with the same key; check the effect before using a new key"},
	NoFile:           {http.StatusNotFound, NotRun, "check the path"},
	EntryUnreachable: {http.StatusBadGateway, Unknown, "check --entry and that the entry runs, then repeat the command"},
	BadTrace:         {http.StatusUnprocessableEntity, NotRun, "replay it with the program that wrote it, or record it again with this one"},
	BadOutcome:       {http.StatusUnprocessableEntity, NotRun, "correct the named key in the outcomes file"},
	BadPeer:          {http.StatusBadGateway, NotRun, "run one program version and one inner key on all nodes"},
	Internal:         {http.StatusInternalServerError, Unknown, "report the fault with the log lines of this node"},
}
