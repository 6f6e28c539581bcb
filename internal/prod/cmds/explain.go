package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/opcli"
)

// siteURL is the URL of an entry on the users' platform at its own VM.
const siteURL = "http://127.0.0.1:9464"

// explainCmd returns the command that says where a request would go. Its subcommand "job"
// does so for the next item of a job.
func explainCmd() *cobra.Command {
	f := &entryFlags{}
	var q codec.ExplainRequest
	var headers []string
	var body string
	cmd := f.addTo(&cobra.Command{
		Use:   "explain --host HOST --path PATH",
		Short: "Say where a request would go now, and why, without sending it",
		Long: "Say where a request would go now, and why, as an entry on the users' platform sees it.\n\n" +
			"Nothing is sent to a server, and nothing that a request depends on changes.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
				return fault.New(fault.BadRequest, "give --host, and --path with a leading slash")
			}
			var err error
			if q.Headers, err = parseHeaders(headers); err != nil {
				return err
			}
			if body != "" {
				if q.Body, err = os.ReadFile(body); err != nil {
					return fault.Wrap(fault.NoFile, err, "--body")
				}
			}
			return f.explain(cmd, q)
		},
	}, siteURL)
	cmd.Flags().StringVar(&q.Host, "host", "", "host of the request")
	cmd.Flags().StringVar(&q.Path, "path", "", "path of the request, with its query")
	cmd.Flags().StringVar(&q.Method, "method", "POST", "method of the request")
	cmd.Flags().StringArrayVar(&headers, "header", nil, "header of the request as \"Name: value\", repeated for further ones; no key")
	cmd.Flags().StringVar(&q.Workspace, "workspace", "", "workspace whose key the client has")
	cmd.Flags().Int64Var(&q.Size, "size", 0, "size of the body in bytes")
	cmd.Flags().StringVar(&body, "body", "", "file with the body, by which the quarantine is checked")
	cmd.Flags().StringVar(&q.Model, "model", "", "on a route for jobs: model of an item")
	cmd.Flags().IntVar(&q.Tokens, "tokens", 0, "on a route for jobs: length of the item's output, 0 if not known")
	cmd.AddCommand(explainJobCmd())
	return cmd
}

func explainJobCmd() *cobra.Command {
	f := &entryFlags{}
	var workspace string
	cmd := f.addTo(&cobra.Command{
		Use:   "job ID",
		Short: "Say which engines may take the next item of a job, and which not and why",
		Args:  oneArg("the client's ID of the job"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.explain(cmd, codec.ExplainRequest{Job: args[0], Workspace: workspace})
		},
	}, siteURL)
	cmd.Flags().StringVar(&workspace, "workspace", "", "workspace of the job")
	return cmd
}

// explain asks an entry, which needs no token, and prints its answer.
func (f *entryFlags) explain(cmd *cobra.Command, q codec.ExplainRequest) error {
	ctx, cancel := f.context()
	defer cancel()
	ask := func(c *opcli.Client, ctx context.Context) (codec.Explanation, error) { return c.Explain(ctx, q) }
	return queryWith(ctx, cmd, opcli.New("", f.entries...), f.json, ask, printExplanation)
}

func parseHeaders(lines []string) (map[string]string, error) {
	headers := make(map[string]string)
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return nil, fault.New(fault.BadRequest, fmt.Sprintf("--header %q is not \"Name: value\"", line))
		}
		headers[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	return headers, nil
}

func printExplanation(w io.Writer, e codec.Explanation) {
	fmt.Fprintf(w, "entry %s in zone %s, configuration %d, known to be the newest %d ms ago\n", e.Entry, e.Zone, e.Configuration, e.AgeMS)
	if e.Route != "" {
		fmt.Fprintf(w, "route %s (%s), workspace %s, rank %d\n", e.Route, e.RouteKind, orNone(e.Workspace), e.Rank)
	}
	if e.Quarantine != "" {
		fmt.Fprintf(w, "quarantine: %s\n", e.Quarantine)
	}
	if e.Refusal != nil {
		printRefusal(w, *e.Refusal)
	}
	for i := range e.Ways {
		printWay(w, &e.Ways[i])
	}
	if e.Items != nil {
		printItems(w, e.Items)
	}
}

func printRefusal(w io.Writer, f codec.Fault) {
	fmt.Fprintf(w, "refused: %s: %s", f.Kind, f.Detail)
	if f.AfterMS > 0 {
		fmt.Fprintf(w, "; the client returns after %d ms", f.AfterMS)
	}
	fmt.Fprintln(w)
}

func printWay(w io.Writer, way *codec.ExplainedWay) {
	fmt.Fprintf(w, "\nservice %s, %.0f%% of the route's requests: ", way.Service, 100*way.Share)
	switch {
	case way.Refusal != nil:
		fmt.Fprintln(w, way.Outcome)
		printRefusal(w, *way.Refusal)
	case way.WaitMS != nil:
		fmt.Fprintf(w, "waits for a place, expected %d ms\n", *way.WaitMS)
	default:
		fmt.Fprintf(w, "sent to %s in zone %s\n", way.Server, way.ServerZone)
	}
	if way.RateWaitMS > 0 {
		fmt.Fprintf(w, "waits %d ms for the rate limit of the server\n", way.RateWaitMS)
	}
	if way.Software != nil {
		fmt.Fprintf(w, "the stream began with software %q\n", *way.Software)
	}
	if p := way.Places; p != nil && p.Scarce {
		fmt.Fprintf(w, "places are scarce: %d for this entry, %d in flight, %d waiting, known %s ago\n", p.Places, p.InFlight, p.Waiting, age(p.AgeMS))
	} else if p != nil {
		fmt.Fprintf(w, "places are free: %d in flight\n", p.InFlight)
	}
	if way.Drawn != "" {
		fmt.Fprintf(w, "zone by the shares: %s\n", way.Drawn)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "ZONE\tSHARE\tLIMIT\tSINGLE\tIN-FLIGHT/SLOTS\tEXPECTED\tMEASURED")
		for _, z := range way.Zones {
			fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%d\t%d/%d\t%.0f ms\t%s\n", z.Zone, z.Share, z.Limit, z.Single, z.InFlight, z.Slots, z.ExpectedMS, ago(z.AgeMS))
		}
		t.Flush()
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVER\tZONE\tSTATE\tIN-FLIGHT/SLOTS\tEXPECTED\tRECENT\tMEASURED")
	for _, s := range way.Servers {
		state := s.State
		switch {
		case s.BackoffMS > 0:
			state += fmt.Sprintf(" (%d ms left, %d failures)", s.BackoffMS, s.Failures)
		case s.PerSecond > 0:
			state += fmt.Sprintf(" (%.1f/s)", s.PerSecond)
		}
		if s.Server == way.Server {
			state += " <-"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d/%d\t%.0f ms\t%.0f ms\t%s\n", s.Server, s.Zone, state, s.InFlight, s.Slots, s.ExpectedMS, s.TookMS, ago(s.AgeMS))
	}
	t.Flush()
}

func printItems(w io.Writer, x *codec.ExplainedItems) {
	if x.Job != "" {
		fmt.Fprintf(w, "job %s of model %s, open %t: %d items left, %d in progress\n", x.Job, x.Model, x.Open, x.Left, x.Running)
		if !x.Own {
			fmt.Fprintf(w, "its owner is %s", orNone(x.Owner))
			if x.OwnerAddr != "" {
				fmt.Fprintf(w, " (%s)", x.OwnerAddr)
			}
			fmt.Fprintln(w, "; ask that entry for its items")
			return
		}
		if x.Item == "" {
			fmt.Fprintln(w, "no item waits for an engine; the engines as a new item sees them:")
		} else {
			fmt.Fprintf(w, "next item %s, %d events so far, waits for %d ms, avoids %s\n", x.Item, x.Events, x.WaitedMS, orNone(x.Avoids))
		}
	}
	switch {
	case x.Best == "":
		fmt.Fprintf(w, "it would wait: %s; %d engines to be asked first\n", counts(x.Counts), x.Unknown)
	case x.StartsOver:
		fmt.Fprintf(w, "it would start over at %s\n", x.Best)
	default:
		fmt.Fprintf(w, "it would go to %s\n", x.Best)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ENGINE\tZONE\tVERDICT\tRUNNING/SLOTS\tINTERVAL\tSTATE FROM")
	for _, e := range x.Engines {
		verdict := e.Verdict
		if e.Unknown {
			verdict += ", to be asked"
		}
		if e.Engine == x.Best {
			verdict += " <-"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d/%d\t%.0f ms\t%s\n", e.Engine, e.Zone, verdict, e.Running, e.Slots, e.IntervalMS, ago(e.AgeMS))
	}
	t.Flush()
}

func counts(byVerdict map[string]int) string {
	if len(byVerdict) == 0 {
		return "no engine has the model"
	}
	var out []string
	for verdict, n := range byVerdict {
		out = append(out, fmt.Sprintf("%d %s", n, verdict))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func age(ms *int64) string {
	if ms == nil {
		return "an unknown time"
	}
	return fmt.Sprintf("%d ms", *ms)
}

func ago(ms *int64) string {
	if ms == nil {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", *ms)
}
