//go:build review

// Package standin2 runs the scripts of the second independent review: it starts the project's
// own programs as separate processes on loopback addresses, with stand-ins for the platform's
// store, engines, plain servers and clients. It is a test binary without tests, so that
// `go build` and `go test` of `./...` pass it by.
//
// # Usage
//
//	go test -c -tags review -o target/review-2 ./review/standin2
//	target/review-2 -case NAME -binary target/jujuberamp -record review/N/record.txt
//
// The variable TROUBLE=0 leaves the disruption out. The exit status is 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.
package standin2

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// scenario plays a case and returns whether its rule held.
type scenario func(c *cluster, trouble bool) (held bool, err error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}

// TestMain runs one case in place of tests.
func TestMain(*testing.M) {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/jujuberamp", "program of the deploy file")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the processes' logs")
	flag.Parse()
	os.Exit(run(*name, *binary, *path, *keep))
}

func run(name, binary, path string, keep bool) int {
	play := scenarios[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no case "+name)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{start: time.Now()}
	rec.add("case %s, trouble %v", name, trouble)
	held, err := playIn(play, binary, rec, trouble, keep)
	code := 1
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		code = 2
	case held:
		rec.add("the rule held")
		code = 0
	default:
		rec.add("the rule was broken")
	}
	if err := rec.write(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(rec.lines[len(rec.lines)-1])
	return code
}

// playIn plays a case in a temporary folder and ends all that it started.
func playIn(play scenario, binary string, rec *record, trouble, keep bool) (bool, error) {
	dir, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return false, err
	}
	if keep {
		fmt.Println(dir)
	} else {
		defer os.RemoveAll(dir)
	}
	c, err := newCluster(binary, dir, rec)
	if err != nil {
		return false, err
	}
	defer c.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		c.close()
		os.Exit(2)
	}()
	return play(c, trouble)
}
