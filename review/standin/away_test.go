//go:build review

package standin

import (
	"fmt"
	"strings"
	"time"
)

const (
	awayEngines = 4
	awayItems   = 13 // one more than the other engines have places
	// hintedEvents is the length of the items by their client's estimate, which is often far
	// off: the item of the step before has aheadEvents, and one item of the watched step that
	// runs on the same engine has longEvents.
	hintedEvents = 20
	aheadItem    = "ahead.0"
	aheadEvents  = 300
	longEvents   = 110
	evenInterval = 50 * time.Millisecond
	lateBreak    = 70 // events after which the stream of that item breaks off
)

// playAway lets one of several equal engines break off one stream of a step, while it runs
// a long item of the step before and the other engines are idle.
func playAway(w *world) (string, error) {
	var engines []*engine
	for n := range awayEngines {
		e, err := w.startEngineWith(n, evenInterval)
		if err != nil {
			return "", err
		}
		engines = append(engines, e)
	}
	if err := w.startModels(awayEngines); err != nil {
		return "", err
	}
	w.submitItems(w.entries[0], "warm-up", warmUpItems*awayEngines/2, 6)
	time.Sleep(20 * time.Second)
	w.submitItems(w.entries[0], strings.TrimSuffix(aheadItem, ".0"), 1, hintedEvents)
	time.Sleep(300 * time.Millisecond)
	submittedAt := time.Now()
	w.submitItems(w.entries[0], "step", awayItems, hintedEvents)
	return w.judgeStep(awayItems, w.watchPlaces(submittedAt, 0, engines...), engines...)
}

// startModels writes the configuration of the engines' service, and starts three entries
// and the agents.
func (w *world) startModels(engines int) error {
	if err := w.setModelConfig(); err != nil {
		return err
	}
	if err := w.startEntries(3); err != nil {
		return err
	}
	for n := range engines {
		if err := w.startAgent(n); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // The agents read their engines' reports.
	return nil
}

// judgeStep judges the rule for the step that was watched: full is the mean share of the
// places at the engines that were taken at the end.
func (w *world) judgeStep(items int, full float64, engines ...*engine) (string, error) {
	listed := w.listed("step")
	w.record.printf("trainer: %d of %d items of the step listed after %v; places taken in the last %v: %.2f", len(listed), items, stepLimit, maxAway, full)
	for i := range items {
		id := fmt.Sprintf("step.%d", i)
		if listed[id] {
			continue
		}
		away, begun := awayFor(id, engines...)
		w.record.printf("trainer: %s is not listed, at no engine for %v", id, away.Round(time.Millisecond))
		if begun && away >= maxAway && full < 0.5 {
			return fmt.Sprintf("LOST: the step ran out of time, and %s had been at no engine for %v, while %.0f %% of the places were taken",
				id, away.Round(time.Millisecond), 100*full), nil
		}
	}
	return "", nil
}
