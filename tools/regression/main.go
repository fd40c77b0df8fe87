// Command regression scores the regression set of sites and compares the worth
// of each day with the latest committed scores.
//
// Usage, in the root of the repository:
//
//	go -C tools/regression run . -bench PATH -system DIR [-play=false]
//
// bench is the path of the users' bench and system the folder with their site
// files. With -play=false nothing is played; the newest entries of the journal are
// compared with the scores before them. The exit code is 1 if a rule is broken or
// a gate failed.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
)

// sites is the regression set: path of the site file below the system folder.
var sites = []string{
	"further/clopotar-dunare.toml",
	"further-grown/clopotar-dunare-grown.toml",
	"large/seedleaf-press-large.toml",
	"grown/seedleaf-press-grown.toml",
	"grown/gccv-basilmoor-grown.toml",
}

// day is a day of a score in the journal.
type day struct {
	Name  string         `json:"name"`
	Worth float64        `json:"G"`
	Rules map[string]any `json:"rules"`
	Gate  bool           `json:"gate"`
}

// entry is an entry of the journal.
type entry struct {
	Command string `json:"cmd"`
	Site    string `json:"site"`
	Days    []day  `json:"days"`
}

func main() {
	bench := flag.String("bench", "", "path of the users' bench")
	system := flag.String("system", "", "folder with the users' site files")
	root := flag.String("root", "../..", "root of the repository")
	play := flag.Bool("play", true, "play the days before the comparison")
	flag.Parse()
	broken, err := run(os.Stdout, *root, *bench, *system, *play)
	if err != nil {
		fmt.Fprintln(os.Stderr, "regression:", err)
		os.Exit(2)
	}
	if broken {
		os.Exit(1)
	}
}

// run scores the sites and prints the comparison to w. It reports whether a rule
// is broken or a gate failed.
func run(w io.Writer, root, bench, system string, play bool) (broken bool, err error) {
	for _, site := range sites {
		if !play {
			break
		}
		cmd := exec.Command(bench, "score", filepath.Join(system, site), "--jobs", "3", "--why", "regression set")
		cmd.Dir = root
		cmd.Stdout = os.Stderr
		cmd.Stderr = os.Stderr
		if err := cmd.Run(); err != nil {
			return false, fmt.Errorf("score of %s: %w", site, err)
		}
	}
	entries, err := readScores(filepath.Join(root, "journal"))
	if err != nil {
		return false, err
	}
	fmt.Fprintf(w, "%-24s %-10s %8s %8s %8s  %s\n", "site", "day", "before", "now", "change", "broken")
	for _, site := range sites {
		name := filepath.Base(site[:len(site)-len(".toml")])
		broken = compare(w, name, entries[name]) || broken
	}
	return broken, nil
}

// readScores returns the scores in the journal by site, the oldest first.
func readScores(dir string) (map[string][]entry, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(names) // names begin with the time
	scores := map[string][]entry{}
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var e entry
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if e.Command == "score" && len(e.Days) > 0 {
			scores[e.Site] = append(scores[e.Site], e)
		}
	}
	return scores, nil
}

// compare prints the newest score of a site beside the one before it, and reports
// whether the newest has a broken rule or a failed gate.
func compare(w io.Writer, site string, scores []entry) (broken bool) {
	if len(scores) == 0 {
		fmt.Fprintf(w, "%-24s no score in the journal\n", site)
		return false
	}
	now := scores[len(scores)-1]
	before := map[string]float64{}
	if len(scores) > 1 {
		for _, d := range scores[len(scores)-2].Days {
			before[d.Name] = d.Worth
		}
	}
	for _, d := range now.Days {
		broken = broken || len(d.Rules) > 0 || !d.Gate
		old, known := before[d.Name]
		if !known {
			fmt.Fprintf(w, "%-24s %-10s %8s %8.3f %8s  %v\n", site, d.Name, "-", d.Worth, "-", d.Rules)
			continue
		}
		fmt.Fprintf(w, "%-24s %-10s %8.3f %8.3f %+8.3f  %v\n", site, d.Name, old, d.Worth, d.Worth-old, d.Rules)
	}
	return broken
}
