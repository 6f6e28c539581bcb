package demo

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
)

const (
	validDraft        = `{"class":"live-draft","body":"x","max-tokens":4}`
	roundSpec         = `{"round":"r","class":"train-notices","version":1,"prompts":["p"],"samples-per-group":1,"seed":1}`
	roundRead         = `{"round":"r","version":1,"wait-ms":2000}`
	overlongBodyBytes = 9 << 20
)

// TestRefusals sends requests that must be refused. It checks that each answer has
// the expected fault kind, its outcome, remedy and HTTP status.
func TestRefusals(t *testing.T) {
	r := newSmallRun(t, Options{Entries: 2, Engines: 1, Apps: 1, Seed: 1})
	tests := map[string]struct {
		method, path, token, body string
		want                      fault.Kind // empty for success
	}{
		"valid request":                        {"POST", "/v1/requests", callerToken, validDraft, ""},
		"no token":                             {"POST", "/v1/requests", "", validDraft, fault.Unauthorized},
		"unknown token":                        {"POST", "/v1/requests", "guess", validDraft, fault.Unauthorized},
		"digest as token":                      {"POST", "/v1/requests", "9f86d081884c7d659a2feaa0c55ad015", validDraft, fault.Unauthorized},
		"trainer sends a request":              {"POST", "/v1/requests", trainerToken, validDraft, fault.Forbidden},
		"operator sends a request":             {"POST", "/v1/requests", operatorToken, validDraft, fault.Forbidden},
		"caller opens a round":                 {"POST", "/v1/rounds", callerToken, roundSpec, fault.Forbidden},
		"caller announces a version":           {"POST", "/v1/versions", callerToken, `{"model":"notice-model","version":9}`, fault.Forbidden},
		"caller changes a class":               {"POST", "/v1/changes", callerToken, `{"edits":[]}`, fault.Forbidden},
		"trainer changes a class":              {"POST", "/v1/changes", trainerToken, `{"edits":[]}`, fault.Forbidden},
		"caller reads the audit":               {"GET", "/v1/audit", callerToken, "", fault.Forbidden},
		"caller lifts a quarantine":            {"POST", "/v1/quarantine/lift", callerToken, `{"request":"x"}`, fault.Forbidden},
		"trainer lists quarantine":             {"GET", "/v1/quarantine", trainerToken, "", fault.Forbidden},
		"not JSON":                             {"POST", "/v1/requests", callerToken, `class=live-draft`, fault.BadRequest},
		"truncated message":                    {"POST", "/v1/requests", callerToken, validDraft[:20], fault.BadRequest},
		"data after the message":               {"POST", "/v1/requests", callerToken, validDraft + "{}", fault.BadRequest},
		"unknown field":                        {"POST", "/v1/requests", callerToken, `{"class":"live-draft","body":"x","weight":3}`, fault.BadRequest},
		"wrong type":                           {"POST", "/v1/requests", callerToken, `{"class":7}`, fault.BadRequest},
		"body too large":                       {"POST", "/v1/requests", callerToken, `{"class":"live-draft","body":"` + strings.Repeat("x", overlongBodyBytes) + `"}`, fault.TooLarge},
		"unknown class":                        {"POST", "/v1/requests", callerToken, `{"class":"none","body":"x"}`, fault.UnknownClass},
		"class for rounds":                     {"POST", "/v1/requests", callerToken, `{"class":"train-notices","body":"x"}`, fault.BadRequest},
		"negative length":                      {"POST", "/v1/requests", callerToken, `{"class":"live-draft","body":"x","max-tokens":-1}`, fault.BadRequest},
		"deadline in the past":                 {"POST", "/v1/requests", callerToken, `{"class":"live-draft","body":"x","deadline-ms":-1}`, fault.PastDeadline},
		"action without a key":                 {"POST", "/v1/requests", callerToken, `{"class":"branch-notice","body":"x"}`, fault.BadRequest},
		"action with a malformed key":          {"POST", "/v1/requests", callerToken, `{"class":"branch-notice","body":"x","key":"1"}`, fault.BadRequest},
		"action with an expired key":           {"POST", "/v1/requests", callerToken, `{"class":"branch-notice","body":"x","key":"01890a5d-ac96-774b-bcce-b302099a8057"}`, fault.KeyExpired},
		"late action, perhaps a repeated send": {"POST", "/v1/requests", callerToken, `{"class":"branch-notice","body":"x","deadline-ms":-1,"key":"` + newKey() + `"}`, fault.ClaimUnsettled},
		"unknown round":                        {"POST", "/v1/rounds/read", trainerToken, `{"round":"none","version":1}`, fault.NotFound},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			status, h, f := sendRaw(c, tc.method, r.cluster.entryURLs()[0]+tc.path, tc.token, tc.body)
			if tc.want == "" {
				c.Assert(status, qt.Equals, http.StatusOK)
				return
			}
			info := tc.want.Info()
			c.Assert(f.Kind, qt.Equals, string(tc.want), qt.Commentf("%+v", f))
			c.Assert(status, qt.Equals, info.Status)
			c.Assert(f.Outcome, qt.Equals, info.Outcome.String())
			c.Assert(f.Remedy, qt.Equals, info.Remedy)
			c.Assert(f.Detail, qt.Not(qt.Equals), "")
			if f.AfterMS > 0 {
				after, err := strconv.Atoi(h.Get("Retry-After"))
				c.Assert(err, qt.IsNil)
				c.Assert(int64(after)*1000 >= f.AfterMS, qt.IsTrue)
			}
		})
	}
}

// sendRaw sends a request and returns the status, the header and the fault of the
// answer, which is empty after a success.
func sendRaw(c *qt.C, method, u, token, body string) (int, http.Header, codec.Fault) {
	req, err := http.NewRequest(method, u, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	var f codec.Fault
	_ = json.NewDecoder(resp.Body).Decode(&f) // The body of a success has another format.
	return resp.StatusCode, resp.Header, f
}

// TestTrainersApart checks that a trainer can't read or cancel the round of
// another trainer by its name.
func TestTrainersApart(t *testing.T) {
	c := qt.New(t)
	r := newSmallRun(t, Options{Entries: 2, Engines: 1, Apps: 1, Seed: 1})
	urls := r.cluster.entryURLs()
	status, _, f := sendRaw(c, "POST", urls[0]+"/v1/rounds", trainerToken, roundSpec)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%+v", f))
	for _, u := range urls {
		_, _, f := sendRaw(c, "POST", u+"/v1/rounds/read", otherTrainerToken, roundRead)
		c.Assert(f.Kind, qt.Equals, string(fault.NotFound))
		sendRaw(c, "POST", u+"/v1/rounds/cancel", otherTrainerToken, `{"round":"r"}`)
		status, _, _ := sendRaw(c, "POST", u+"/v1/rounds/read", trainerToken, roundRead)
		c.Assert(status, qt.Equals, http.StatusOK)
	}
}
