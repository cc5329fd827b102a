package soak_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var mutants = flag.Int("soak-mutants", 0, "maximum number of seeds for each mutant; zero skips the mutants, which take minutes")

// edit replaces a text that occurs exactly once in a file.
type edit struct {
	file     string
	old, new string
}

// mutant removes the checks that keep one promise.
type mutant struct {
	promise string
	edits   []edit
}

var allMutants = []mutant{
	{"a job is accepted once", []edit{{"batch/ledger.go", "Expect: append([]table.Expect{{ID: HeadID(job), Version: from.Version}}, expect...),", "Expect: expect,"}}},
	{"a completed text is not truncated", []edit{{"runs/step.go", "case out.Ending == Complete && len(it.events) ==", "case (out.Ending == Complete || out.Ending == Interrupted) && len(it.events) =="}}},
	{"an event occurs once", []edit{{"platform/target.go", "if rq.After > 0 {", "if rq.After > 1000 {"}}},
	{"refused means not run", []edit{{"calls/calls.go", "} else if notRun {", "} else if true {"}}},
	{"a request that may run once runs once", []edit{{"calls/calls.go", "if (mayHaveRun && !repeatable(at.re.Route)) ||", "if (mayHaveRun && false) ||"}}},
	{"a job continues after its owner fails", []edit{{"intake/adopt.go", "if !en.members.Dead(now, he.Owner) {", "if he.Owner != \"\" {"}}},
	{"fencing tokens increase", []edit{{"order/guard.go", "gu.fence = version", "gu.fence = 1 << 40 / version"}}},
	{"no text from weights older than allowed", []edit{{"place/snapshot.go", "en.continues(it) && en.Version >= it.MinVersion && (fi", "en.continues(it) && (fi"}, {"runs/job.go", "if ev.Version < minVersion {", "if ev.Version == 0 {"}}},
	{"an interrupted stream never looks complete", []edit{{"platform/stream.go", "server.Abort(out, req)", "_ = server.Abort"}}},
	{"a request that crashes targets reaches only a few", []edit{{"calls/calls.go", "at.latencyShare(minTimeShare) || at.condemned() != nil {", "at.latencyShare(minTimeShare) {"}}},
	{"a target that leaves gets no new work", []edit{{"fleet/departure.go", "_, found := de.lastListed[ta.Incarnation()]\n	return found", "return false"}, {"fleet/departure.go", "de.lastListed[all[at].Incarnation()], all[at].Draining = now, true", "de.lastListed[all[at].Incarnation()] = now"}}},
	{"a response without end is never complete", []edit{{"limit/read.go", "case total > most:\n			return nil, ErrTooLarge", "case total > most:\n			return chunk, nil"}}},
	{"a target gets no more than its limit", []edit{{"quota/limits.go", "st != nil && st.limit > 0 {", "st != nil && st.limit > 1e9 {"}}},
	{"a text goes on at the software that began it", []edit{{"place/snapshot.go", "return it.Software == \"\" || en.Software == it.Software", "return true"}, {"runs/step.go", "it.software != en.target.Software {", "false {"}}},
	{"a stream goes on at the software that began it", []edit{{"calls/origin.go", "return ta.Software == software", "return true"}}},
	{"a lost origin is not guessed from what serves now", []edit{{"intake/places.go", "} else if ok {\n			all = append(all, pa)", "} else if ok && en.places.has(pa) {\n			all = append(all, pa)"}}},
	{"a request gets its own response", []edit{{"platform/target.go", "echo != \"\" && echo != id", "false"}, {"platform/target.go", "res.Header.Get(headerRequestID) != re.ID || res.Header.Get(headerStamp) == \"\"", "false"}}},
}

// Checks that the soak test detects each mutant: it must break a promise within a few
// seeds.
func TestMutants(t *testing.T) {
	if *mutants == 0 {
		t.Skip("to run it, pass -soak-mutants 5")
	}
	for _, mu := range allMutants {
		t.Run(mu.promise, func(t *testing.T) {
			binary := mu.build(t)
			for seed := range uint64(*mutants) {
				var violations []string
				t.Run(fmt.Sprintf("seed-%d", seed+1), func(t *testing.T) { violations = runScenario(t, binary, seed+1, faultKindCount) })
				if len(violations) > 0 {
					t.Logf("seed %d: %s", seed+1, violations[0])
					return
				}
			}
			t.Errorf("not detected by %d seeds", *mutants)
		})
	}
}

// Each edit must fit the code as it is now, also when the mutants are not run.
func TestMutantsFitTheCode(t *testing.T) {
	for _, mu := range allMutants {
		mu.overlay(t)
	}
}

// build compiles the program with the edits applied as an overlay.
func (mu mutant) build(t *testing.T) string {
	list := mu.overlay(t)
	binary := filepath.Join(filepath.Dir(list), "bilberryshelf")
	out, err := exec.Command("go", "build", "-overlay", list, "-o", binary, "bilberryshelf/cmd/bilberryshelf").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return binary
}

// overlay writes the edited files and returns the file that lists them.
func (mu mutant) overlay(t *testing.T) string {
	dir := t.TempDir()
	replace := map[string]string{}
	for at, ed := range mu.edits {
		file, err := filepath.Abs(filepath.Join("..", ed.file))
		require.NoError(t, err)
		from := file
		if changed, found := replace[file]; found {
			from = changed
		}
		raw, err := os.ReadFile(from)
		require.NoError(t, err)
		require.Equal(t, 1, bytes.Count(raw, []byte(ed.old)), "the text to replace must occur exactly once")
		replace[file] = filepath.Join(dir, fmt.Sprintf("changed-%d.go", at))
		require.NoError(t, os.WriteFile(replace[file], bytes.Replace(raw, []byte(ed.old), []byte(ed.new), 1), 0o600))
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	require.NoError(t, err)
	list := filepath.Join(dir, "overlay.json")
	require.NoError(t, os.WriteFile(list, overlay, 0o600))
	return list
}
