package front

import (
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/access"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
)

// Authorize returns the route of a client's request and the workspace for which it runs
// (rule 9).
func (p *Proxy) Authorize(host, path string, c access.Credential) (*router.Route, access.Grant, error) {
	cfg, err := p.config()
	if err != nil {
		return nil, access.Grant{}, err
	}
	r, err := findRoute(cfg, host, path)
	if err != nil {
		return nil, access.Grant{}, err
	}
	g, err := p.decideAccess(cfg, r.Public, c)
	return r, g, err
}

// AuthorizeJob returns the workspace whose jobs a client may read and end. Without a key,
// these are the jobs that belong to no workspace, if anyone may submit any.
func (p *Proxy) AuthorizeJob(c access.Credential) (access.Grant, error) {
	cfg, err := p.config()
	if err != nil {
		return access.Grant{}, err
	}
	return p.decideAccess(cfg, c == access.Credential{} && cfg.HasPublicJobs(), c)
}

func (p *Proxy) decideAccess(cfg *router.Config, public bool, c access.Credential) (access.Grant, error) {
	g, refusal := cfg.Workspaces().Decide(p.Access, access.Request{Public: public, Credential: c, Age: p.Conf.Age()})
	if refusal != access.Allowed {
		p.ObserveRefusal(refusal)
	}
	return g, refusalError(cfg, refusal)
}

// refusalError returns the error for a refusal, nil if the request is allowed.
func refusalError(cfg *router.Config, refusal access.Refusal) error {
	switch {
	case refusal == access.Allowed:
		return nil
	case refusal.IsTemporary():
		return fault.New(fault.NotReady, "the configuration can't be read, and the key may be new or removed: "+string(refusal)).
			WithRetryAfter(retryAfter)
	}
	return fault.New(fault.KeyRefused, string(refusal)+" in configuration "+itoa(cfg.Version()))
}
